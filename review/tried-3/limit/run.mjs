// LIMIT: a Server-Limit with more than nine decimals is taken for none.
import {desiredState, runCase, sleep} from '../../lib-3/fleet.mjs';
import {Load, startServers} from '../../lib-3/load.mjs';

const CONTACT_MS = 3_000;
const WINDOW_MS = 4_000;
const LIMIT = 10 / 3;

const HOST = 'shop.example';
const routes = [
  {
    name: 'look',
    host: HOST,
    path_prefix: '/look/',
    type: 'idempotent',
    service: 'svc-a',
  },
];

runCase(import.meta.dirname, async ({fleet, recorder, isTrouble}) => {
  await fleet.create(
    ['z-a', 'z-b', 'z-c'].map(zone => ({service: 'svc-a', zone})),
  );
  fleet.store.operatorPut('config', 'main', desiredState(3, ['svc-a'], routes));
  await fleet.start();
  const servers = await startServers(fleet, recorder);
  await sleep(5_000);
  const load = new Load(fleet.machines, recorder, {
    kinds: [{kind: 'look', host: HOST, path: '/look/1'}],
  });
  load.start();
  await sleep(3_000);
  const [server] = servers;
  // The whole number as a program prints it, or rounded.
  const header = isTrouble ? String(LIMIT) : LIMIT.toFixed(3);
  server.extraHeaders = {'server-limit': header};
  const namedAt = Date.now();
  recorder.add('server in need', {server: server.id, serverLimit: header});
  await sleep(15_000);
  await load.stop();

  // All machines have passed on such answers half a second before `contact` has passed.
  const arrivals = server.received
    .map(({at}) => at)
    .filter(at => at > namedAt + CONTACT_MS);
  const most = Math.max(
    0,
    ...arrivals.map(
      from =>
        arrivals.filter(at => at >= from && at <= from + WINDOW_MS).length,
    ),
  );
  const bound = 1.5 * LIMIT * (WINDOW_MS / 1_000) + 5;
  const summary = {
    serverLimit: header,
    mostIn4s: most,
    bound,
    answers: load.counts(),
  };
  recorder.add('summary', summary);
  console.log(summary);
  for (const each of servers) await each.crash();
  return most > bound
    ? [`LIMIT: ${most} requests in ${WINDOW_MS} ms, more than ${bound}`]
    : [];
});
