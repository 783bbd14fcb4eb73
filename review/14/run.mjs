// DENIED, CONFIG: requests with a key of more than 256 characters, which a new desired state adds, get 401.
import {desiredState, runCase, sleep} from '../lib-3/fleet.mjs';
import {Load, startServers} from '../lib-3/load.mjs';

const CONFIG_APPLY_MS = 2_000;
/** Characters of the new key; the limit for all headers is max_header_bytes, 16384. */
const LONG_KEY = 400;
const SHORT_KEY = 40;

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
const stateWith = (version, keys) =>
  desiredState(version, ['svc-a'], routes, {
    tenants: [
      {name: 'tenant-1', api_keys: keys, priority: 1, rate_per_s: 0, burst: 0},
    ],
  });

runCase(import.meta.dirname, async ({fleet, recorder, isTrouble}) => {
  await fleet.create(
    ['z-a', 'z-b', 'z-c'].map(zone => ({service: 'svc-a', zone})),
  );
  const firstKey = 'first-key';
  fleet.store.operatorPut('config', 'main', stateWith(3, [firstKey]));
  await fleet.start();
  const servers = await startServers(fleet, recorder);
  await sleep(5_000);
  // A JSON Web Token has this many characters.
  const newKey = 'eyJ'.padEnd(isTrouble ? LONG_KEY : SHORT_KEY, 'x');
  fleet.store.operatorPut('config', 'main', stateWith(8, [firstKey, newKey]));
  const ackedAt = Date.now();
  recorder.add('desired state acknowledged', {
    version: 'r8',
    newKeyLength: newKey.length,
  });
  await sleep(CONFIG_APPLY_MS + 3_000);
  const load = new Load(fleet.machines, recorder, {
    kinds: [
      {
        kind: 'first key',
        host: HOST,
        path: '/look/1',
        headers: {'api-key': firstKey},
      },
      {
        kind: 'new key',
        host: HOST,
        path: '/look/1',
        headers: {'api-key': newKey},
      },
    ],
  });
  load.start();
  await sleep(10_000);
  await load.stop();

  const denied = load.answers.filter(
    answer =>
      answer.status === 401 && answer.sentAt > ackedAt + CONFIG_APPLY_MS,
  );
  const bound = 5 + load.answers.length / 500;
  const summary = {
    requests: load.answers.length,
    denied: denied.length,
    bound,
    firstKey: load.counts(({kind}) => kind === 'first key'),
    newKey: load.counts(({kind}) => kind === 'new key'),
  };
  recorder.add('summary', summary);
  console.log(summary);
  for (const server of servers) await server.crash();
  return denied.length > bound
    ? [
        `DENIED: ${denied.length} proper requests of ${load.answers.length} got 401, more than ${bound}`,
      ]
    : [];
});
