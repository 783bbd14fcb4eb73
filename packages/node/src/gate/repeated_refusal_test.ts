import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {RealTimers} from '@goldcresthill/timers';
import {DEFAULT_SERVICE_RULES} from '@goldcresthill/types';
import {rethrow} from '@goldcresthill/test-utils';
import {expect, it} from 'vitest';
import type {AttemptResult} from './messages';
import {HttpServerConnections} from './server_connections';
import {OwnServerInterface} from './server_interface';
import {ServerLink} from './server_link';

const HOST = '127.0.0.1';
const REFUSAL = 'HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n';
const ANSWER = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok';
const RUN_MS = 50;

// The server wrote a refusal again with the next request on its connection, which ran and was said not to have run.
it('a refusal without the id of its request ends its connection', async () => {
  let requests = 0;
  const server = createServer(socket => {
    let isReused = false;
    socket.on('error', () => undefined);
    socket.on('data', () => {
      if (requests++ === 0) {
        isReused = true;
        socket.write(REFUSAL);
        return;
      }
      if (isReused) socket.write(REFUSAL);
      setTimeout(() => socket.write(ANSWER), RUN_MS);
    });
  });
  await new Promise<void>(done => server.listen(0, HOST, done));
  const {port} = server.address() as AddressInfo;
  const connections = new HttpServerConnections({host: HOST, port}, 1);
  const timers = new RealTimers();
  const replies: Array<(result: AttemptResult) => void> = [];
  const link = new ServerLink({
    announcement: {
      service: 'orders',
      port,
      slots: 1,
      instance: 'i-1',
      state: 'up',
    },
    rules: {...DEFAULT_SERVICE_RULES, warmUpMs: 0, shedStatuses: [503]},
    timers,
    connections,
    serverInterface: new OwnServerInterface(),
    events: {
      onStart: () => undefined,
      onEnd: (_req, result) => replies.shift()?.(result),
      onCancelled: () => undefined,
      onLeaving: () => undefined,
      onRateLimitChanged: () => undefined,
      onDied: () => undefined,
      onDrained: () => undefined,
      onFault: rethrow,
    },
  });
  const attempt = (seq: number): Promise<AttemptResult> => {
    const now = timers.now();
    return new Promise(done => {
      replies.push(done);
      link.attempt({
        id: {gateway: 'vm-2', incarnation: 1, seq},
        once: true,
        gateIncarnation: 1,
        callId: `call-${seq}`,
        service: 'orders',
        method: 'POST',
        path: '/order',
        headers: {},
        body: Buffer.alloc(0),
        deadline: now + 5_000,
        route: '',
        origin: '',
        priority: 0,
        objective: now + 5_000,
        returning: false,
        suspect: false,
        mustEnd: false,
        reply: () => undefined,
      });
    });
  };
  const results = [await attempt(1), await attempt(2)];
  await link.close();
  server.close();
  expect(results).toMatchObject([
    {type: 'refused'},
    {type: 'answered', status: 200},
  ]);
});
