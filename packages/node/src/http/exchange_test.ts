import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {Client, buildConnector} from 'undici';
import {expect, it} from 'vitest';
import {HttpExchange} from './exchange';
import type {ExchangeResult} from './exchange';

const CONNECT_DELAY_MS = 100;

// A request that is cancelled while it waits for a connection would reach the server once the connection is there.
it('ends an exchange that waits for a connection when it is aborted, and never sends it', async () => {
  const arrivals: string[] = [];
  const server = createServer((req, res) => {
    arrivals.push(req.url ?? '');
    res.end();
  });
  await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
  const {port} = server.address() as AddressInfo;
  const connect = buildConnector({});
  const client = new Client(`http://127.0.0.1:${port}`, {
    connect: (options, callback) =>
      setTimeout(() => connect(options, callback), CONNECT_DELAY_MS),
  });
  const start = (path: string, done: (result: ExchangeResult) => void) => {
    const body = Buffer.alloc(0);
    const req = {method: 'GET', path, headers: {}, body, maxBufferedBytes: 1};
    const exchange = new HttpExchange(req, done);
    exchange.start(client);
    return exchange;
  };
  const results: ExchangeResult[] = [];
  const aborted = start('/aborted', result => results.push(result));
  const answered = new Promise(done => start('/answered', done));
  expect(aborted.isSent).toBe(false);
  aborted.abort('cancelled');
  expect(results).toMatchObject([{type: 'broke', sent: false}]);
  expect(await answered).toMatchObject({type: 'answer', status: 200});
  expect(arrivals).toEqual(['/answered']);
  expect(results).toHaveLength(1);
  await client.close();
  server.close();
});
