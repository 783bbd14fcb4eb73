// Random disruptions on real processes, judged by TWICE, REFUSED and MIXED. SEED and SECONDS set the run.
import {createHash} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {runCase} from '../lib/case.mjs';
import {startFleet, stopTraffic, summarize} from '../lib/traffic.mjs';

let state = Number(process.env.SEED ?? 1) * 2_654_435_761 + 1;
const random = () => {
  state = (Math.imul(state ^ (state >>> 15), 2_246_822_507) + 0x9e3779b9) >>> 0;
  return state / 2 ** 32;
};
const SECONDS = Number(process.env.SECONDS ?? 60);
const pick = list => list[Math.floor(random() * list.length)];
const FAULTS = ['none', 'lose', 'reset', 'truncate', 'extra', 'extraLate', 'unframed', 'early', 'refuseTwice', 'wrongId', 'hang'];

/** Replaces the answer of a run by a faulty one. */
function faultyAnswer(server, kind, job, text, signature) {
  const {res, attempt} = job;
  const {socket} = res;
  if (socket === null || socket.destroyed) return;
  const head = `HTTP/1.1 200 OK\r\nx-attempt-id: ${attempt}\r\nx-response-signature: ${signature}\r\n`;
  const whole = `${head}content-length: ${text.length}\r\n\r\n${text}`;
  switch (kind) {
    case 'lose':
    case 'hang':
      return;
    case 'reset':
      socket.resetAndDestroy();
      return;
    case 'truncate':
      socket.end(`${head}content-length: ${text.length + 10}\r\n\r\n${text}`);
      return;
    case 'extra':
      socket.write(whole + whole);
      return;
    case 'extraLate':
      socket.write(whole);
      setTimeout(() => !socket.destroyed && socket.write(whole), 20 + random() * 200);
      return;
    case 'unframed':
      socket.end(`${head}connection: close\r\n\r\n${text}`);
      return;
    case 'wrongId':
      socket.write(`HTTP/1.1 200 OK\r\nx-attempt-id: other\r\nx-response-signature: ff\r\ncontent-length: 2\r\n\r\nno`);
      return;
    default:
      res.setHeader('x-response-signature', signature);
      res.writeHead(200).end(text);
  }
}

await runCase(import.meta.url, async context => {
  const {recorder} = context;
  const {fleet, runs, clients, onRun} = await startFleet(context, {workMs: 60 + random() * 200, clients: 8});
  const faultShare = new Map();
  const arm = server => {
    server.options.answer = (job, text, signature) => {
      const share = faultShare.get(server.options.id) ?? 0;
      if (Math.random() >= share) return false;
      faultyAnswer(server, pick(FAULTS), job, text, signature);
      return true;
    };
  };
  fleet.machines.forEach(m => arm(m.server));
  const endAt = recorder.now() + SECONDS * 1_000;
  let boot = 0;
  while (recorder.now() < endAt) {
    await sleep(200 + random() * 1_500);
    const machine = pick(fleet.machines);
    const action = pick(['faults', 'stop', 'stop', 'kill', 'term', 'crash', 'leave', 'calm', 'twoStops', 'slow']);
    recorder.write('action', {action, machine: machine.name});
    const {server} = machine;
    if (action === 'faults') faultShare.set(server.options.id, random());
    if (action === 'calm') faultShare.clear();
    if (action === 'stop' || action === 'twoStops') {
      const stopped = [machine, ...(action === 'twoStops' ? [pick(fleet.machines)] : [])];
      for (const m of stopped) {
        const {child} = m;
        child?.kill('SIGSTOP');
        setTimeout(() => child?.kill('SIGCONT'), 100 + random() * 3_000);
      }
    }
    if (action === 'kill') machine.signal('SIGKILL');
    if (action === 'term' && machine.signalled === undefined) machine.signal('SIGTERM');
    if (action === 'slow') server.options.workMs = 40 + random() * 900;
    if ((action === 'crash' || action === 'leave') && server.isUp) {
      if (action === 'leave') {
        await server.report('draining').catch(() => undefined);
        server.stopReports();
        await sleep(1_000);
        await server.deregister().catch(() => undefined);
      }
      server.crash();
      setTimeout(() => {
        if (fleet.closed) return;
        const sameId = random() < 0.5 ? server.options.id : `i-${machine.index}-${++boot}`;
        machine.startServer(sameId, {onRun, workMs: 60 + random() * 200}).then(arm, () => undefined);
      }, 200 + random() * 3_000);
    }
  }
  const outcomes = await stopTraffic(clients);
  await sleep(1_500);
  const unsafe = o => o.path.startsWith('/place/') || o.path.startsWith('/book/');
  const twice = outcomes.filter(o => unsafe(o) && (runs.get(o.attempt) ?? []).length > 1);
  const refused = outcomes.filter(o => unsafe(o) && o.type === 'answer' && [408, 421, 429, 503].includes(o.status) && runs.has(o.attempt));
  const mixed = outcomes.filter(o => {
    if (o.type !== 'answer' || o.status < 200 || o.status > 299) return false;
    const signature = createHash('sha256').update(o.text).digest('hex');
    return !o.text.includes(` ${o.attempt} `) || o.headers['x-response-signature'] !== signature;
  });
  const wrongService = outcomes.filter(o => {
    const booking = o.path.startsWith('/book/') || o.path.startsWith('/check/');
    return (runs.get(o.attempt) ?? []).some(r => Number(r.server.split('-')[1]) >= 3 !== booking);
  });
  const ends = fleet.machines.flatMap(m => m.ownEnds);
  recorder.say(`${outcomes.length} outcomes ${summarize(outcomes)}`);
  recorder.say(`TWICE ${twice.length} REFUSED ${refused.length} MIXED ${mixed.length} ROUTE ${wrongService.length} own ends ${ends.length}`);
  [...twice, ...refused, ...mixed, ...wrongService].slice(0, 20).forEach(o => recorder.say(JSON.stringify({...o, runs: runs.get(o.attempt)})));
  return twice.length + refused.length + mixed.length + wrongService.length + ends.length > 0;
});
