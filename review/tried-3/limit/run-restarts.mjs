import {desiredState, runCase, sleep} from '../../lib-3/fleet.mjs';
import {Load, startServers} from '../../lib-3/load.mjs';
const HOST = 'shop.example';
const LIMIT = Number(process.env.L ?? 3);
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
  const servers = await startServers(fleet, recorder, {
    workMs: Number(process.env.W ?? 300),
    slots: 18,
  });
  await sleep(4000);
  const load = new Load(fleet.machines.slice(1), recorder, {
    kinds: [{kind: 'look', host: HOST, path: '/look/1'}],
    everyMs: 10,
  });
  load.start();
  await sleep(2000);
  const [server] = servers;
  const [g] = fleet.machines;
  g.restartMs = 300;
  server.extraHeaders = {'server-limit': String(LIMIT)};
  const namedAt = Date.now();
  for (const s of process.env.ALL ? servers.slice(1) : [])
    s.extraHeaders = {'server-limit': String(LIMIT)};
  await sleep(4000);
  const ks = [];
  for (let i = 0; i < 3; i++) {
    if (process.env.STORE) g.storeGate.mode = 'silent';
    g.signal('SIGKILL');
    ks.push(Date.now());
    await sleep(5000);
    g.storeGate.mode = 'up';
    await sleep(1500);
  }
  await load.stop();
  const at = server.received.map(r => r.at).filter(t => t > namedAt + 3000);
  let max = 0,
    w = 0;
  for (const t of at) {
    const c = at.filter(u => u >= t && u <= t + 4000).length;
    if (c > max) {
      max = c;
      w = t;
    }
  }
  console.log({
    max,
    bound: 6 * LIMIT + 5,
    at: w - ks[0],
    counts: load.counts(),
    kills: ks.map(k => k - ks[0]),
    hist: Array.from(
      {length: 24},
      (_, i) =>
        at.filter(
          t => t - ks[0] >= i * 1000 - 2000 && t - ks[0] < i * 1000 - 1000,
        ).length,
    ).join(' '),
  });
  for (const s of servers) await s.crash();
  return max > 6 * LIMIT + 5 ? [String(max)] : [];
});
