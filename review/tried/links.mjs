// Faults of servers and of their links only (silence, resets, delays, faulty answers, crashes), judged by TWICE, REFUSED, MIXED, LOST and the answer by the route's timeout.
import {createHash} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {connect, createServer} from 'node:net';
import {runCase} from '../lib/case.mjs';
import {Client} from '../lib/client.mjs';
import {desiredState, Fleet, VIRTUAL_HOST} from '../lib/fleet.mjs';
import {lostRequests, stopTraffic, summarize} from '../lib/traffic.mjs';

let state = Number(process.env.SEED ?? 1) * 2_654_435_761 + 1;
const random = () => {
  state = (Math.imul(state ^ (state >>> 15), 2_246_822_507) + 0x9e3779b9) >>> 0;
  return state / 2 ** 32;
};
const SECONDS = Number(process.env.SECONDS ?? 60);
const pick = list => list[Math.floor(random() * list.length)];
const TIMEOUT_MS = 700;
const DEADLINE_MS = 1_500;
const ROUTES = [
  {path_prefix: '/stock/', type: 'idempotent', service: 'orders', timeout: `${TIMEOUT_MS}ms`},
  {path_prefix: '/place/', type: 'non_idempotent', service: 'orders', timeout: `${TIMEOUT_MS}ms`},
  {path_prefix: '/book/', type: 'non_idempotent', service: 'booking', timeout: `${TIMEOUT_MS}ms`},
  {path_prefix: '/check/', type: 'idempotent', service: 'booking', timeout: `${TIMEOUT_MS}ms`},
];

class Link {
  constructor(front, behind) {
    this.pairs = new Set();
    this.delayMs = 0;
    const [host, port] = front.split(':');
    const [backHost, backPort] = behind.split(':');
    this.server = createServer(socket => {
      const target = connect({host: backHost, port: Number(backPort)});
      const pair = {sockets: [socket, target], silentUp: false, silentDown: false};
      this.pairs.add(pair);
      const relay = (from, to, isUp) => {
        from.on('data', chunk => setTimeout(() => {
          if (isUp ? pair.silentUp : pair.silentDown) return;
          if (!to.destroyed) to.write(chunk);
        }, this.delayMs));
        from.on('error', () => undefined);
        from.on('end', () => setTimeout(() => !(pair.silentUp || pair.silentDown) && to.end(), this.delayMs));
        from.on('close', () => {
          this.pairs.delete(pair);
          if (!(pair.silentUp || pair.silentDown)) setTimeout(() => (from.resetSeen || from.errored ? to.resetAndDestroy() : to.destroy()), this.delayMs);
        });
      };
      relay(socket, target, true);
      relay(target, socket, false);
    });
    this.listening = new Promise(done => this.server.listen(Number(port), host, done));
  }
  silence(kind) {
    for (const pair of this.pairs) {
      if (kind !== 'down') pair.silentUp = true;
      if (kind !== 'up') pair.silentDown = true;
    }
  }
  reset() {
    for (const {sockets} of this.pairs) sockets.forEach(s => s.resetAndDestroy());
  }
}

await runCase(import.meta.url, async context => {
  const {recorder} = context;
  const runs = new Map();
  const onRun = (attempt, at) => runs.set(attempt, [...(runs.get(attempt) ?? []), {server: at.options.id, at: recorder.now()}]);
  const fleet = new Fleet(recorder, ['orders', 'orders', 'orders', 'booking', 'booking', 'booking']);
  context.fleet = fleet;
  await fleet.start(desiredState('r3', ROUTES));
  const links = [];
  let boot = 0;
  const startServer = async machine => {
    const [, port] = machine.app.split(':');
    const behind = `${machine.ip}:${Number(port) + 3}`;
    return machine.startServer(`i-${machine.index}-${boot++}`, {behind, address: machine.app, onRun, workMs: 40 + random() * 250, answer: (job, text, signature) => answer(machine, job, text, signature)});
  };
  const share = new Map();
  const answer = (machine, job, text, signature) => {
    if (Math.random() >= (share.get(machine) ?? 0)) return false;
    const {res, attempt} = job;
    const {socket} = res;
    if (socket === null || socket.destroyed) return true;
    const head = `HTTP/1.1 200 OK\r\nx-attempt-id: ${attempt}\r\nx-response-signature: ${signature}\r\n`;
    const whole = `${head}content-length: ${text.length}\r\n\r\n${text}`;
    const kind = pick(['half', 'extra', 'late', 'reset', 'lost', 'slowBody', 'headOnly', 'chunkCut', 'garbage', 'interim']);
    if (kind === 'half') socket.end(whole.slice(0, -5));
    if (kind === 'extra') socket.write(whole + whole);
    if (kind === 'late') socket.write(whole), setTimeout(() => !socket.destroyed && socket.write(whole), 30 + random() * 300);
    if (kind === 'reset') socket.resetAndDestroy();
    if (kind === 'slowBody') socket.write(whole.slice(0, -3)), setTimeout(() => !socket.destroyed && socket.write(whole.slice(-3)), 200 + random() * 900);
    if (kind === 'headOnly') socket.write(head);
    if (kind === 'chunkCut') socket.end(`${head}transfer-encoding: chunked\r\n\r\n${text.length.toString(16)}\r\n${text}\r\n`);
    if (kind === 'garbage') socket.write('\u0000\u0001 nonsense\r\n\r\n');
    if (kind === 'interim') socket.write(`HTTP/1.1 103 Early Hints\r\n\r\n${whole}`);
    return true;
  };
  for (const machine of fleet.machines) {
    const [, port] = machine.app.split(':');
    const link = new Link(machine.app, `${machine.ip}:${Number(port) + 3}`);
    await link.listening;
    links.push(link);
    await startServer(machine);
  }
  await sleep(1_500);
  const kinds = [['GET', '/stock/2f', ''], ['POST', '/place/2f', 'x'.repeat(200)], ['PUT', '/book/2f', 'y'.repeat(120_000)], ['GET', '/check/2f', '']];
  const clients = fleet.machines.flatMap(machine => Array.from({length: 7}, (_, i) => new Client(recorder, {
    outbound: machine.outbound, virtualHost: VIRTUAL_HOST, pauseMs: 60,
    makeRequest: () => { const [method, path, body] = kinds[Math.floor(Math.random() * 4)]; return {method, path, body, deadlineMs: DEADLINE_MS}; },
  })));
  clients.forEach(c => c.start());
  await sleep(3_500);
  const endAt = recorder.now() + SECONDS * 1_000;
  while (recorder.now() < endAt) {
    await sleep(100 + random() * 900);
    const i = Math.floor(random() * fleet.machines.length);
    const action = pick(['silence', 'silenceUp', 'silenceDown', 'reset', 'delay', 'calm', 'faults', 'faults', 'crash', 'allSilent']);
    recorder.write('action', {action, machine: fleet.machines[i].name});
    if (action === 'silence') links[i].silence('both');
    if (action === 'allSilent') links.forEach(l => l.silence('both'));
    if (action === 'silenceUp') links[i].silence('up');
    if (action === 'silenceDown') links[i].silence('down');
    if (action === 'reset') links[i].reset();
    if (action === 'delay') links[i].delayMs = random() * 300;
    if (action === 'calm') links.forEach(l => (l.delayMs = 0)), share.clear();
    if (action === 'faults') share.set(fleet.machines[i], random() * 0.6);
    if (action === 'crash' && fleet.machines[i].server.isUp) {
      fleet.machines[i].server.crash();
      links[i].reset();
      setTimeout(() => !fleet.closed && startServer(fleet.machines[i]).catch(() => undefined), 300 + random() * 2_000);
    }
  }
  const outcomes = await stopTraffic(clients);
  await sleep(1_500);
  for (const link of links) { link.reset(); link.server.close(); }
  const unsafe = o => o.path.startsWith('/place/') || o.path.startsWith('/book/');
  const twice = outcomes.filter(o => unsafe(o) && (runs.get(o.attempt) ?? []).length > 1);
  const refused = outcomes.filter(o => unsafe(o) && o.type === 'answer' && [408, 421, 429, 503].includes(o.status) && runs.has(o.attempt));
  const mixed = outcomes.filter(o => {
    if (o.type !== 'answer' || o.status < 200 || o.status > 299) return false;
    return !o.text.includes(` ${o.attempt} `) || o.headers['x-response-signature'] !== createHash('sha256').update(o.text).digest('hex');
  });
  const lost = lostRequests(outcomes, runs);
  const unanswered = outcomes.filter(o => o.type === 'gaveUp' || o.endedAt - o.startedAt > TIMEOUT_MS + 500);
  const ends = fleet.machines.flatMap(m => m.ownEnds);
  recorder.say(`${outcomes.length} outcomes ${summarize(outcomes)}`);
  recorder.say(`TWICE ${twice.length} REFUSED ${refused.length} MIXED ${mixed.length} LOST ${lost.length} unanswered ${unanswered.length} own ends ${ends.length}`);
  [...twice, ...refused, ...mixed, ...lost, ...unanswered].slice(0, 10).forEach(o => recorder.say(JSON.stringify({...o, text: o.text?.slice(0, 60), runs: runs.get(o.attempt)})));
  return twice.length + refused.length + mixed.length + lost.length + unanswered.length + ends.length > 0;
});
