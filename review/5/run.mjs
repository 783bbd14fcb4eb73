// The open connections to the store go silent; a desired state that follows is in force only seconds late.
import {setTimeout as sleep} from 'node:timers/promises';
import {runCase} from '../lib/case.mjs';
import {send} from '../lib/client.mjs';
import {BOUNDS, desiredState, VIRTUAL_HOST} from '../lib/fleet.mjs';
import {ROUTES, startFleet, stopTraffic, summarize} from '../lib/traffic.mjs';

const CONFIG_APPLY_MS = 2_000;
const MOVED = {path_prefix: '/moved/', type: 'idempotent', timeout: '1000ms'};
/** All machines are in touch again this long after the silence began. */
const CALM_MS = BOUNDS.contactMs + 300;
const WATCHED_MS = 14_000;
const PROBE_GAP_MS = 100;

const stateWith = (version, service) => desiredState(version, [...ROUTES, {...MOVED, service}]);

await runCase(import.meta.url, async context => {
  const {recorder, trouble} = context;
  const {fleet, runs, clients} = await startFleet(context);
  await sleep(3_000);
  fleet.store.write('config', 'main', stateWith('r5', 'orders'));
  recorder.write('desiredState', {version: 'r5'});
  await sleep(CONFIG_APPLY_MS + 500);
  const silentAt = recorder.now();
  if (trouble) recorder.say(`connections to the store that went silent: ${fleet.relay.silence()}`);
  await sleep(CALM_MS);
  fleet.store.write('config', 'main', stateWith('r8', 'booking'));
  const ackedAt = recorder.now();
  recorder.write('desiredState', {version: 'r8'});
  const probes = [];
  while (recorder.now() < ackedAt + WATCHED_MS) {
    for (const {outbound} of fleet.machines) {
      const request = {outbound, virtualHost: VIRTUAL_HOST, path: '/moved/2f', deadlineMs: 1_000};
      probes.push(send(recorder, request).then(outcome => ({...outcome, outbound})));
    }
    await sleep(PROBE_GAP_MS);
  }
  const outcomes = await Promise.all(probes);
  const orders = new Set(fleet.machines.filter(m => m.service === 'orders').map(m => m.server.options.id));
  const old = outcomes.filter(
    o =>
      o.startedAt > ackedAt + CONFIG_APPLY_MS &&
      o.startedAt > silentAt + BOUNDS.contactMs &&
      (runs.get(o.attempt) ?? []).some(({server}) => orders.has(server)),
  );
  const all = await stopTraffic(clients);
  const last = Math.max(0, ...old.map(o => o.startedAt - ackedAt));
  old.forEach(o => recorder.write('old', {attempt: o.attempt, at: o.outbound, ms: Math.round(o.startedAt - ackedAt)}));
  recorder.say(`usual traffic ${summarize(all)}`);
  recorder.say(
    `requests sent later than ${CONFIG_APPLY_MS} ms after the ack of r8 and run by the service of r5: ${old.length} of ${outcomes.length}, allowed 0; the last ${Math.round(last)} ms after it, at ${new Set(old.map(o => o.outbound)).size} machines`,
  );
  return old.length > 0;
});
