// DENIED, CONFIG: requests for a host that a new desired state writes with capital letters get 404.
import {desiredState, runCase, sleep} from '../../lib-3/fleet.mjs';
import {Load, startServers} from '../../lib-3/load.mjs';

const CONFIG_APPLY_MS = 2_000;

const FIRST = 'shop.example';
const route = (name, host) => ({
  name,
  host,
  path_prefix: '/look/',
  type: 'idempotent',
  service: 'svc-a',
});

runCase(import.meta.dirname, async ({fleet, recorder, isTrouble}) => {
  await fleet.create(
    ['z-a', 'z-b', 'z-c'].map(zone => ({service: 'svc-a', zone})),
  );
  fleet.store.operatorPut(
    'config',
    'main',
    desiredState(3, ['svc-a'], [route('first', FIRST)]),
  );
  await fleet.start();
  const servers = await startServers(fleet, recorder);
  await sleep(5_000);
  const added = isTrouble ? 'Orders.Example' : 'orders.example';
  fleet.store.operatorPut(
    'config',
    'main',
    desiredState(8, ['svc-a'], [route('first', FIRST), route('added', added)]),
  );
  const ackedAt = Date.now();
  recorder.add('desired state acknowledged', {version: 'r8', addedHost: added});
  await sleep(CONFIG_APPLY_MS + 3_000);
  const load = new Load(fleet.machines, recorder, {
    kinds: [
      {kind: 'first', host: FIRST, path: '/look/1'},
      {kind: 'added', host: added, path: '/look/1'},
    ],
  });
  load.start();
  await sleep(10_000);
  await load.stop();

  const denied = load.answers.filter(
    answer =>
      answer.status === 404 && answer.sentAt > ackedAt + CONFIG_APPLY_MS,
  );
  const bound = 5 + load.answers.length / 500;
  const summary = {
    requests: load.answers.length,
    denied: denied.length,
    bound,
    first: load.counts(({kind}) => kind === 'first'),
    added: load.counts(({kind}) => kind === 'added'),
  };
  recorder.add('summary', summary);
  console.log(summary);
  for (const server of servers) await server.crash();
  return denied.length > bound
    ? [
        `DENIED: ${denied.length} proper requests of ${load.answers.length} got 404, more than ${bound}`,
      ]
    : [];
});
