// RECOVER: the last machine of a fleet never serves a tenant whose cap is new.
import {desiredState, runCase, sleep} from '../lib-3/fleet.mjs';
import {Load, startServers} from '../lib-3/load.mjs';

const RECOVERY_MS = 15_000;
const DOWN_MS = 1_000;
const RATE_PER_S = 60; // more than the 40 requests a second that are sent

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
const stateWith = (version, rate) =>
  desiredState(version, ['svc-a'], routes, {
    tenants: [
      {
        name: 'tenant-1',
        api_keys: ['key-1'],
        priority: 1,
        rate_per_s: rate,
        burst: rate === 0 ? 0 : 20,
      },
    ],
  });

runCase(import.meta.dirname, async ({fleet, recorder, isTrouble}) => {
  // As in demands/LATER.md.
  Object.assign(fleet.bounds, {
    strict_revocation: true,
    revoke: '5000ms',
    quota_window: '5s',
    quota_overshoot: 0.1,
    quota_slack: 20,
  });
  await fleet.create(
    ['z-a', 'z-b', 'z-c'].map(zone => ({service: 'svc-a', zone})),
  );
  fleet.store.operatorPut('config', 'main', stateWith(3, 0));
  await fleet.start();
  const servers = await startServers(fleet, recorder);
  await sleep(5_000);
  const [last, ...others] = fleet.machines;
  const load = new Load([last], recorder, {
    kinds: [
      {
        kind: 'look',
        host: HOST,
        path: '/look/1',
        headers: {'api-key': 'key-1'},
      },
    ],
  });
  load.start();
  await sleep(4_000);

  if (isTrouble)
    for (const [i, machine] of others.entries()) {
      recorder.add('machine lost for good, with its server', {
        node: machine.name,
      });
      machine.signal('SIGKILL');
      await servers[i + 1].crash();
    }
  await sleep(8_000);

  fleet.store.operatorPut('config', 'main', stateWith(8, RATE_PER_S));
  const faultAt = Date.now();
  recorder.add(
    'desired state acknowledged; final fault: all processes are killed',
    {version: 'r8'},
  );
  for (const machine of fleet.machines) {
    if (machine.child === undefined) continue;
    machine.restartMs = DOWN_MS;
    machine.signal('SIGKILL');
  }
  await sleep(DOWN_MS);
  await last.untilReady();
  const backAt = Date.now();
  recorder.add('machine is back and ready', {node: last.name});
  await sleep(RECOVERY_MS + 15_000);
  await load.stop();

  const shareOf = select => {
    const answers = load.answers.filter(select);
    return {
      asked: answers.length,
      share:
        answers.filter(({status}) => status === 200).length / answers.length,
    };
  };
  const summary = {
    before: shareOf(answer => answer.answeredAt < faultAt),
    later: shareOf(answer => answer.sentAt > backAt + RECOVERY_MS),
    answersBefore: load.counts(answer => answer.answeredAt < faultAt),
    answersLater: load.counts(answer => answer.sentAt > backAt + RECOVERY_MS),
  };
  recorder.add('summary', summary);
  console.log(summary);
  for (const server of servers) await server.crash().catch(() => undefined);
  const isBroken = summary.before.share >= 0.25 && summary.later.share < 0.25;
  return isBroken
    ? [
        `RECOVER: a share of ${summary.later.share} of ${summary.later.asked} requests served later than ${RECOVERY_MS} ms after the machine was back, ${summary.before.share} before`,
      ]
    : [];
});
