// A liveness report of another writer, whose id holds bytes that cannot be read, ends the node's process.
import {setTimeout as sleep} from 'node:timers/promises';
import {runCase} from '../lib/case.mjs';
import {callControl} from '../lib/server.mjs';
import {lostRequests, startFleet, stopTraffic, summarize} from '../lib/traffic.mjs';

/** LOST allows three such requests. */
const ALLOWED_LOST = 3;
/** An id in ISO 8859-1, which is not UTF-8; and one that can be read. */
const UNREADABLE_ID = 'caja-espa%F1a';
const READABLE_ID = 'caja-espana';
const REPORTED_MACHINES = 3;
const GAP_MS = 4_000;

await runCase(import.meta.url, async context => {
  const {recorder, trouble} = context;
  const {fleet, runs, clients} = await startFleet(context, {clients: 8});
  await sleep(2_000);
  for (const machine of fleet.machines.slice(0, REPORTED_MACHINES)) {
    const id = trouble ? UNREADABLE_ID : READABLE_ID;
    recorder.write('foreignReport', {machine: machine.name, id});
    const status = await callControl(machine.listen.control, 'PUT', id, '{"phase":7}').catch(
      err => err.code ?? err.message,
    );
    recorder.say(`report of another writer to ${machine.name}: ${status}`);
    await sleep(GAP_MS);
  }
  const outcomes = await stopTraffic(clients);
  const lost = lostRequests(outcomes, runs);
  lost.forEach(o => recorder.write('lost', {attempt: o.attempt, at: o.outbound}));
  const ends = fleet.machines.flatMap(m => m.ownEnds.map(at => `${m.name} at ${Math.round(at)} ms`));
  recorder.say(`outcomes ${summarize(outcomes)}`);
  recorder.say(`processes that ended by themselves: ${ends.length} (${ends.join(', ')})`);
  recorder.say(`run at a server and closed without an answer, on kept connections: ${lost.length}, allowed ${ALLOWED_LOST}`);
  return lost.length > ALLOWED_LOST;
});
