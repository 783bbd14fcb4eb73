// Unusual but legal requests of clients, reports and store entries of other writers, and unusual answers of servers; judged by own ends of processes, UNASKED, MIXED, TWICE and REFUSED.
import {connect} from 'node:net';
import {createHash} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {runCase} from '../lib/case.mjs';
import {callControl} from '../lib/server.mjs';
import {VIRTUAL_HOST} from '../lib/fleet.mjs';
import {startFleet, stopTraffic, summarize} from '../lib/traffic.mjs';

const SECONDS = Number(process.env.SECONDS ?? 60);
const pick = list => list[Math.floor(Math.random() * list.length)];
const METHODS = ['GET', 'POST', 'PUT', 'DELETE', 'PATCH', 'HEAD', 'OPTIONS', 'PURGE', 'QUERY', 'SEARCH', 'TRACE', 'LINK', 'M-SEARCH'];
const PATHS = ['/', '/stock/%', '/stock/%zz', '/stock/%F1', '/place/..', '/place/../book/x', '/stock//', '/stock/?', '/stock/?a=%F1&b', '/place/;x=1', '/stock/#frag', '/stock/\u00e9', '/book/a b'.replace(' ', '%20'), '/check/' + 'a/'.repeat(3_000), '/stock/"quoted"', '/stock/<x>', '/stock/{x}', '/stock/|x', '/stock/\\x', '/stock/^`', "/stock/'", '*', `http://${VIRTUAL_HOST}/stock/abs`, '/.gh', '/.gh/', '/.gh/load/orders', '/.gh/resolve', '/.gh/members', '/.gh/config', '/.gh/acknowledge', '/.gh/nothing', '/.GH/key/%F1', '//.gh/key/x'];
const HEADERS = ['Connection: close', 'Connection: keep-alive, X-Attempt-Id', 'Connection: X-Deadline-Ms', 'Connection: upgrade\r\nUpgrade: h2c', 'Upgrade: websocket', 'TE: trailers', 'Expect: 100-continue', 'X-\u00e9: a', 'X-Latin: caf\u00e9', 'X-Empty:', 'X-Tab:\ta\tb', 'Cookie: a=1\r\nCookie: b=2', 'gh-attempt: x:1:1', 'gh-service: booking', 'gh-once: 0', 'gh-error-kind: fenced', 'gh-resolution: notRun', 'X-Expected-Instance: other', 'X-Caller-Service: other', 'X-Deadline-Ms: abc', 'X-Deadline-Ms: 999999999', 'X-Deadline-Ms: 0', 'X-Deadline-Ms: -5', 'X-Deadline-Ms: 1e3', 'Accept-Encoding: gzip', 'Content-Encoding: gzip', '__proto__: x', 'constructor: x', 'Host2: a', 'X-Long: ' + 'v'.repeat(12_000), 'Proxy-Connection: keep-alive', 'Keep-Alive: timeout=5', 'Trailer: X-T', 'Range: bytes=0-1', 'X-Response-Signature: fake', 'X-Not-Executed: 1', 'Server-Leaving: 1'];
const BODIES = [['', ''], ['Content-Length: 0', ''], ['Content-Length: 5', 'hello'], ['Transfer-Encoding: chunked', '5\r\nhello\r\n0\r\n\r\n'], ['Transfer-Encoding: chunked', '5;ext=1\r\nhello\r\n0\r\nX-T: 1\r\n\r\n'], ['Transfer-Encoding: chunked', '0\r\n\r\n'], ['Content-Length: 47', 'GET /place/smuggled HTTP/1.1\r\nHost: x\r\n\r\n.......']];
let seq = 0;

function raw(outbound, bytes) {
  const [host, port] = outbound.split(':');
  return new Promise(done => {
    let text = '';
    const socket = connect({host, port: Number(port)}, () => socket.write(Buffer.from(bytes, 'latin1')));
    socket.setTimeout(1_300, () => socket.destroy());
    socket.on('data', d => (text += d.toString('latin1')));
    socket.on('error', () => undefined);
    socket.on('close', () => done(text));
  });
}

const STORE_ENTRIES = [null, 7, 'x', [], {}, {address: null}, {address: {nodeId: 5}}, {address: {nodeId: 'x', bootId: 'y', host: 'h'}}, {address: {nodeId: 'zz', bootId: 1, host: 'not an ip', dataPort: 1, controlPort: 1, domain: 'd', region: 'r'}, incarnation: 1}, {address: {nodeId: 'z2', bootId: 1, host: '127.0.0.1', dataPort: 70_000, controlPort: -1, domain: 'd', region: 'r'}, incarnation: 1, servers: 'x'}];
const REPORTS = ['', 'null', '[]', '7', '"x"', '{}', '{', '\u0000', '{"service":null}', '{"__proto__":{"a":1}}', 'x'.repeat(70_000)];
const IDS = ['x', '', 'a/b', 'a%2Fb', '%00', 'x?y=1', 'x'.repeat(5_000), '..', '@', 'i-0@5'];

await runCase(import.meta.url, async context => {
  const {recorder} = context;
  const received = new Map();
  const {fleet, runs, clients, onRun} = await startFleet(context, {clients: 2, workMs: 20});
  for (const m of fleet.machines) {
    const before = m.server.options.onRun;
    m.server.options.onRun = (attempt, at, req) => {
      before(attempt, at, req);
      received.set(attempt, [...(received.get(attempt) ?? []), {method: req.method, url: req.url, caller: req.headers['x-caller-service'], server: at.options.id}]);
    };
  }
  const sent = [];
  const endAt = recorder.now() + SECONDS * 1_000;
  const worker = async () => {
    while (recorder.now() < endAt) {
      const machine = pick(fleet.machines);
      const attempt = `f${++seq}`;
      const [method, path] = [pick(METHODS), pick(PATHS)];
      const [length, body] = pick(BODIES);
      const extra = [pick(HEADERS), pick(HEADERS)].filter(() => Math.random() < 0.6);
      const lines = [`${method} ${path} HTTP/1.1`, `Host: ${VIRTUAL_HOST}`, `X-Attempt-Id: ${attempt}`, 'X-Deadline-Ms: 800', ...extra, ...(length ? [length] : []), '', ''];
      const text = await raw(machine.outbound, lines.join('\r\n') + body);
      const statuses = [...text.matchAll(/HTTP\/1\.1 (\d\d\d)/g)].map(m => Number(m[1]));
      sent.push({attempt, method, path, extra, body, statuses, service: machine.service, text: text.slice(0, 300)});
    }
  };
  const other = async () => {
    while (recorder.now() < endAt) {
      await sleep(100);
      const machine = pick(fleet.machines);
      await callControl(machine.listen.control, pick(['PUT', 'DELETE', 'GET', 'POST']), encodeURI(pick(IDS)).slice(0, 4_000), pick(REPORTS)).catch(() => 0);
      if (Math.random() < 0.1) fleet.store.write('nodes', `foreign-${Math.floor(Math.random() * 20)}`, pick(STORE_ENTRIES));
    }
  };
  await Promise.all([...Array.from({length: 12}, worker), other()]);
  const outcomes = await stopTraffic(clients);
  const ids = new Set([...sent.map(s => s.attempt), ...outcomes.map(o => o.attempt)]);
  const unasked = [...received].filter(([a]) => !ids.has(a) && !/^f\d+/.test(a));
  const changed = sent.flatMap(s => (received.get(s.attempt) ?? []).filter(r => r.method !== s.method || r.url !== s.path || r.caller !== s.service).map(r => ({...s, r})));
  const safe = p => !p.startsWith('/place/') && !p.startsWith('/book/');
  const twice = sent.filter(s => !safe(s.path) && (received.get(s.attempt) ?? []).length > 1);
  const refused = sent.filter(s => !safe(s.path) && s.statuses.length === 1 && [408, 421, 429, 503].includes(s.statuses[0]) && received.has(s.attempt));
  const several = sent.filter(s => s.statuses.filter(n => n >= 200).length > 1);
  const counts = {};
  for (const s of sent) counts[s.statuses.join('+') || 'none'] = (counts[s.statuses.join('+') || 'none'] ?? 0) + 1;
  const ends = fleet.machines.flatMap(m => m.ownEnds);
  recorder.say(`${sent.length} sent ${JSON.stringify(counts)}; usual ${summarize(outcomes)}`);
  recorder.say(`own ends ${ends.length} unasked ${unasked.length} changed ${changed.length} TWICE ${twice.length} REFUSED ${refused.length} several answers ${several.length}`);
  [...unasked, ...changed, ...twice, ...refused, ...several].slice(0, 12).forEach(x => recorder.say(JSON.stringify(x).slice(0, 500)));
  const none = sent.filter(s => s.statuses.length === 0).slice(0, 10);
  none.forEach(x => recorder.say('none ' + JSON.stringify({m: x.method, p: x.path.slice(0, 50), e: x.extra.map(h => h.slice(0, 40)), b: x.body.slice(0, 20)})));
  return ends.length > 0;
});
