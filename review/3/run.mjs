// A node that is being stopped by a rolling restart gets the SIGTERM of its machine's removal, and dies at once with requests at work.
import {setTimeout as sleep} from 'node:timers/promises';
import {runCase} from '../lib/case.mjs';
import {BOUNDS} from '../lib/fleet.mjs';
import {startFleet, stopTraffic, summarize} from '../lib/traffic.mjs';

/** Time from the SIGTERM of the rolling restart to that after the end of the server. */
const OVERLAP_MS = 1_000;

await runCase(import.meta.url, async context => {
  const {recorder, trouble} = context;
  const {fleet, runs, clients} = await startFleet(context, {workMs: 250, clients: 7});
  await sleep(2_000);
  const [machine] = fleet.machines;
  // Planned: the server of this machine drains, deregisters and ends; then its node gets SIGTERM.
  const {server} = machine;
  recorder.say(`draining report: ${await server.report('draining')}`);
  server.stopReports();
  await sleep(BOUNDS.drainMs);
  // Planned too: a rolling restart has reached this machine.
  const firstAt = recorder.now();
  if (trouble) machine.signal('SIGTERM');
  await sleep(OVERLAP_MS - 100);
  await server.deregister();
  await server.close();
  await sleep(100);
  machine.isRestarting = false;
  const removedAt = recorder.now();
  machine.signal('SIGTERM');
  await sleep(BOUNDS.graceMs + 1_000);
  const outcomes = await stopTraffic(clients);
  const until = removedAt + BOUNDS.graceMs + 1_000;
  const cut = outcomes.filter(
    o =>
      o.outbound === machine.outbound &&
      o.type === 'closed' &&
      o.wholeSent &&
      o.endedAt >= firstAt &&
      o.endedAt <= until &&
      (runs.has(o.attempt) || o.endedAt - o.startedAt > BOUNDS.lossSlackMs),
  );
  const passedOn = cut.filter(o => runs.has(o.attempt));
  cut.forEach(o => recorder.write('lost', {attempt: o.attempt, ran: runs.has(o.attempt)}));
  recorder.say(`outcomes ${summarize(outcomes)}`);
  recorder.say(
    `connections of ${machine.name} that ended without an answer around the SIGTERM: ${cut.length}, ${passedOn.length} of them with the request at a server; allowed 0`,
  );
  return cut.length > 0;
});
