// A request that crashes servers comes again and again while the nodes are restarted in turn.
import {setTimeout as sleep} from 'node:timers/promises';
import {runCase} from '../../lib/case.mjs';
import {send} from '../../lib/client.mjs';
import {BOUNDS, VIRTUAL_HOST} from '../../lib/fleet.mjs';
import {startFleet, stopTraffic, summarize} from '../../lib/traffic.mjs';

/** BUDGET allows three such retries. */
const ALLOWED_RETRIES = 3;
const CRASHING_PATH = '/place/crashing';
/** A crashed server is back after this time. */
const DOWN_MS = 3_000;
/** Each machine's client sends the request again after this time. */
const RETRY_MS = 4_000;
const ROLL_GAP_MS = 6_000;
const DEADLINE_MS = 1_000;

await runCase(import.meta.url, async context => {
  const {recorder, trouble} = context;
  const crashes = [];
  let boot = 0;
  const setup = {};
  const onCrash = server => {
    crashes.push(recorder.now());
    server.crash();
    const machine = setup.fleet.machines.find(m => m.server === server);
    setTimeout(async () => {
      if (setup.fleet.closed) return;
      const id = `i-${machine.index}-${++boot}`;
      await machine.startServer(id, {onRun: setup.onRun, crashesOn: CRASHING_PATH, onCrash});
    }, DOWN_MS);
  };
  const started = await startFleet(context, {
    clients: 6,
    items: 40,
    server: {crashesOn: CRASHING_PATH, onCrash},
  });
  Object.assign(setup, started);
  const {fleet, runs, clients} = started;
  const attempts = [];
  let stopped = false;
  const retrying = fleet.machines.map(async (machine, i) => {
    await sleep((i * RETRY_MS) / fleet.machines.length);
    while (!stopped) {
      const sentAt = recorder.now();
      const inTouch = sentAt - machine.startedAt > BOUNDS.contactMs && machine.signalled === undefined;
      const outcome = await send(recorder, {
        outbound: machine.outbound,
        virtualHost: VIRTUAL_HOST,
        method: 'POST',
        path: CRASHING_PATH,
        body: 'an order that no server survives',
        deadlineMs: DEADLINE_MS,
      });
      attempts.push({...outcome, inTouch, machine: machine.name});
      await sleep(RETRY_MS - Math.min(RETRY_MS, recorder.now() - sentAt));
    }
  });
  await sleep(10_000);
  // Planned: all machines are stopped and started in turn.
  for (const machine of fleet.machines) {
    if (trouble) machine.signal('SIGTERM');
    await sleep(ROLL_GAP_MS);
  }
  await sleep(2 * RETRY_MS);
  stopped = true;
  await Promise.all(retrying);
  const outcomes = await stopTraffic(clients);
  const third = crashes[2] ?? Infinity;
  const reached = attempts.filter(a => runs.has(a.attempt));
  const counted = reached.filter(a => a.inTouch && a.startedAt > third + BOUNDS.contactMs);
  counted.forEach(a => recorder.write('counted', {attempt: a.attempt, machine: a.machine}));
  recorder.say(`usual traffic ${summarize(outcomes)}; the crashing request ${summarize(attempts)}`);
  recorder.say(`servers crashed: ${crashes.length}; retries that reached a server: ${reached.length} of ${attempts.length}`);
  recorder.say(
    `retries by machines in touch that reached a server later than ${BOUNDS.contactMs} ms after the third crash: ${counted.length}, allowed ${ALLOWED_RETRIES}`,
  );
  return counted.length > ALLOWED_RETRIES;
});
