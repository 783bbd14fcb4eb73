import {freePorts} from '@goldcresthill/test-utils';
import {expect, it} from 'vitest';
import type {ExchangeResult} from '../http/exchange';
import {HttpServerConnections} from './server_connections';

// A node ended when a load check of a server that was gone failed and was at once followed by another.
it('fails a load check that starts while the failure of the last one is handled', async () => {
  const faults: unknown[] = [];
  const onFault = (err: unknown) => faults.push(err);
  process.on('uncaughtException', onFault);
  const [port = 0] = await freePorts(1);
  const connections = new HttpServerConnections({host: '127.0.0.1', port}, 2);
  const results = await new Promise<ExchangeResult[]>(done => {
    const ended: ExchangeResult[] = [];
    const check = (): void =>
      connections.fetchLoad('/load', result => {
        ended.push(result);
        if (ended.length < 3) check();
        else done(ended);
      });
    check();
  });
  expect(results.map(({type}) => type)).toEqual(['broke', 'broke', 'broke']);
  await connections.close();
  process.off('uncaughtException', onFault);
  expect(faults).toEqual([]);
});
