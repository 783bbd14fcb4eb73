// Random planned work in series and overlapping, on real processes, judged by LOST, DRAIN, CONFIG, DENIED, TWICE and REFUSED. SEED and SECONDS set the run.
import {setTimeout as sleep} from 'node:timers/promises';
import {runCase} from '../lib/case.mjs';
import {send} from '../lib/client.mjs';
import {BOUNDS, desiredState, VIRTUAL_HOST} from '../lib/fleet.mjs';
import {ROUTES, startFleet, stopTraffic, summarize} from '../lib/traffic.mjs';

let state = Number(process.env.SEED ?? 1) * 2_654_435_761 + 1;
const random = () => {
  state = (Math.imul(state ^ (state >>> 15), 2_246_822_507) + 0x9e3779b9) >>> 0;
  return state / 2 ** 32;
};
const SECONDS = Number(process.env.SECONDS ?? 60);
const pick = list => list[Math.floor(random() * list.length)];
const SERVICES = ['orders', 'booking'];

await runCase(import.meta.url, async context => {
  const {recorder} = context;
  const {fleet, runs, clients, onRun} = await startFleet(context, {workMs: 120 + random() * 200, clients: 6});
  const endAt = recorder.now() + SECONDS * 1_000;
  const acks = new Map();
  const changes = [];
  const probes = [];
  const lastTerm = new Map();
  let boot = 0;
  let version = 3;
  let moved = 'orders';
  const probing = (async () => {
    while (recorder.now() < endAt) {
      for (const {outbound} of fleet.machines)
        if (changes.length > 0)
          probes.push(send(recorder, {outbound, virtualHost: VIRTUAL_HOST, path: '/moved/2f', deadlineMs: 1_000}).then(o => ({...o, outbound})));
      await sleep(150);
    }
  })();
  while (recorder.now() < endAt) {
    await sleep(200 + random() * 1_500);
    const machine = pick(fleet.machines);
    const action = pick(['term', 'term', 'leave', 'deleteFirst', 'config', 'hup']);
    recorder.write('action', {action, machine: machine.name});
    const {server} = machine;
    if (action === 'term' && machine.signalled === undefined && machine.child) {
      lastTerm.set(machine.outbound, [...(lastTerm.get(machine.outbound) ?? []), recorder.now()]);
      machine.signal('SIGTERM');
    }
    if (action === 'hup') machine.child?.kill('SIGHUP');
    if (action === 'config') {
      moved = moved === 'orders' ? 'booking' : 'orders';
      version += 1 + Math.floor(random() * 3);
      const route = {path_prefix: '/moved/', type: 'idempotent', timeout: '1000ms', service: moved};
      fleet.store.write('config', 'main', desiredState(`r${version}`, [...ROUTES, route]));
      changes.push({at: recorder.now(), service: moved});
    }
    const peers = fleet.machines.filter(m => m.service === machine.service && m.server.isUp && !m.server.leaving);
    if ((action === 'leave' || action === 'deleteFirst') && server.isUp && !server.leaving && peers.length > 2) {
      server.leaving = true;
      void (async () => {
        const status = await (action === 'leave' ? server.report('draining') : server.deregister()).catch(() => 0);
        if (status >= 200 && status < 300) acks.set(server.options.id, recorder.now());
        server.stopReports();
        await sleep(BOUNDS.drainMs + random() * 4_000);
        if (action === 'leave') await server.deregister().catch(() => 0);
        await server.close();
        await sleep(500 + random() * 2_000);
        if (fleet.closed) return;
        await machine.startServer(`i-${machine.index}-${++boot}`, {onRun, workMs: 120 + random() * 200}).catch(() => undefined);
      })();
    }
  }
  await probing;
  const outcomes = await stopTraffic(clients);
  const probed = await Promise.all(probes);
  await sleep(1_000);
  const unsafe = o => o.path.startsWith('/place/') || o.path.startsWith('/book/');
  const startedLate = at => [...lastTerm.values()];
  const twice = outcomes.filter(o => unsafe(o) && (runs.get(o.attempt) ?? []).length > 1);
  const refused = outcomes.filter(o => unsafe(o) && o.type === 'answer' && [408, 421, 429, 503].includes(o.status) && runs.has(o.attempt));
  const closed = outcomes.filter(o => o.type === 'closed' && o.wholeSent && (runs.has(o.attempt) || o.endedAt - o.startedAt > BOUNDS.lossSlackMs));
  const denied = outcomes.filter(o => o.type === 'answer' && o.status >= 300 && o.status < 500 && ![408, 421, 429].includes(o.status));
  const late = [...runs].flatMap(([attempt, all]) => all.filter(r => r.at > (acks.get(r.server) ?? Infinity) + BOUNDS.drainMs).map(r => ({attempt, ...r, after: r.at - acks.get(r.server)})));
  const old = probed.filter(o => {
    const inForce = changes.filter(c => c.at < o.startedAt - 2_000).at(-1);
    const allowed = new Set([inForce?.service, ...changes.filter(c => c.at >= o.startedAt - 2_000).map(c => c.service)]);
    if (inForce === undefined) return false;
    return (runs.get(o.attempt) ?? []).some(r => !allowed.has(SERVICES[Number(r.server.split('-')[1]) >= 3 ? 1 : 0])) || o.status === 404;
  });
  recorder.say(`${outcomes.length} outcomes ${summarize(outcomes)}, leavings ${acks.size}, changes ${changes.length}`);
  const ends = fleet.machines.flatMap(m => m.ownEnds);
  recorder.say(`TWICE ${twice.length} REFUSED ${refused.length} LOST ${closed.length} DENIED ${denied.length} DRAIN ${late.length} CONFIG ${old.length} own ends ${ends.length}`);
  [...twice, ...refused, ...closed, ...denied, ...late, ...old].slice(0, 12).forEach(o => recorder.say(JSON.stringify({...o, terms: lastTerm.get(o.outbound), runs: runs.get(o.attempt)})));
  return twice.length + refused.length + closed.length + denied.length + late.length + old.length + ends.length > 0;
});
