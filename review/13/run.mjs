// CONFIG: a route that is added with a timeout of more than six decimals serves nothing.
import {desiredState, runCase, sleep} from '../lib-3/fleet.mjs';
import {Load, startServers} from '../lib-3/load.mjs';

const CONFIG_APPLY_MS = 2_000;
/** Four thirds of a second, as a program prints it, or rounded. */
const TIMEOUT_MS = 4_000 / 3;

const HOST = 'shop.example';
const route = (name, timeout) => ({
  name,
  host: HOST,
  path_prefix: `/${name}/`,
  type: 'non_idempotent',
  service: 'svc-a',
  timeout,
});

runCase(import.meta.dirname, async ({fleet, recorder, isTrouble}) => {
  await fleet.create(
    ['z-a', 'z-b', 'z-c'].map(zone => ({service: 'svc-a', zone})),
  );
  const first = route('first', '2000ms');
  fleet.store.operatorPut(
    'config',
    'main',
    desiredState(3, ['svc-a'], [first]),
  );
  await fleet.start();
  const servers = await startServers(fleet, recorder);
  await sleep(5_000);
  const timeout = `${isTrouble ? TIMEOUT_MS : Math.round(TIMEOUT_MS)}ms`;
  fleet.store.operatorPut(
    'config',
    'main',
    desiredState(8, ['svc-a'], [first, route('added', timeout)]),
  );
  const ackedAt = Date.now();
  recorder.add('desired state acknowledged', {
    version: 'r8',
    addedTimeout: timeout,
  });
  await sleep(CONFIG_APPLY_MS + 3_000);
  const load = new Load(fleet.machines, recorder, {
    kinds: [
      {kind: 'first', method: 'POST', host: HOST, path: '/first/1'},
      {kind: 'added', method: 'POST', host: HOST, path: '/added/1'},
    ],
  });
  load.start();
  await sleep(10_000);
  await load.stop();

  const served = kind => {
    const answers = load.answers.filter(
      answer =>
        answer.kind === kind && answer.sentAt > ackedAt + CONFIG_APPLY_MS,
    );
    return {
      asked: answers.length,
      share:
        answers.filter(({status}) => status === 200).length / answers.length,
    };
  };
  const summary = {
    timeout,
    first: served('first'),
    added: served('added'),
    firstAnswers: load.counts(({kind}) => kind === 'first'),
    addedAnswers: load.counts(({kind}) => kind === 'added'),
  };
  recorder.add('summary', summary);
  console.log(summary);
  for (const server of servers) await server.crash();
  const isBroken =
    summary.added.asked >= 20 && summary.added.share < summary.first.share / 4;
  return isBroken
    ? [
        `CONFIG: ${summary.added.asked} requests on the added route, a share of ${summary.added.share} served, ${summary.first.share} of those on the first`,
      ]
    : [];
});
