// Trial: contents of requests and answers of all framings, with faulty answers, large bodies, client aborts and small reads.
import {createHash} from 'node:crypto';
import {connect} from 'node:net';
import {createServer} from 'node:net';
import {
  Fleet,
  Recorder,
  desiredState,
  sleep,
  HEARTBEAT_MS,
} from '../../lib-3/fleet.mjs';
import {AppServer} from '../../lib-3/app_server.mjs';
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
const seed = Number(process.env.SEED ?? 1);
const LEN = Number(process.env.LEN ?? 30) * 1000;
let x = (seed * 2654435761) >>> 0 || 1;
const rnd = () => {
  x ^= x << 13;
  x >>>= 0;
  x ^= x >>> 17;
  x ^= x << 5;
  x >>>= 0;
  return x / 4294967296;
};
const pick = a => a[Math.floor(rnd() * a.length)];
const DIR = mkdtempSync(join(tmpdir(), 'tried-'));
const rec = new Recorder(DIR);
const fleet = new Fleet(rec);
await fleet.create([0, 1, 2].map(i => ({service: 'svc-a', zone: `z-${i}`})));
fleet.store.operatorPut(
  'config',
  'main',
  desiredState(
    3,
    ['svc-a'],
    [
      {
        name: 'g',
        host: 'h.example',
        path_prefix: '/g/',
        type: 'idempotent',
        service: 'svc-a',
        timeout: '4s',
      },
      {
        name: 'p',
        host: 'h.example',
        path_prefix: '/p/',
        type: 'non_idempotent',
        service: 'svc-a',
        timeout: '4s',
      },
    ],
  ),
);
await fleet.start();
const sha = b => createHash('sha1').update(b).digest('hex');
const bodyFor = (id, n) => {
  const b = Buffer.alloc(n);
  let s = parseInt(sha(id).slice(0, 8), 16) || 1;
  for (let i = 0; i < n; i++) {
    s = (s * 1103515245 + 12345) >>> 0;
    b[i] = 33 + ((s >>> 16) % 90);
  }
  return b;
};
const runs = new Map();
const out = [];
const apps = [];
// raw HTTP server on the machine's app port
class Raw extends AppServer {
  listen() {
    this.server = createServer({noDelay: true}, s => this.conn(s));
    return new Promise((d, f) => {
      this.server.once('error', f);
      this.server.listen(this.port, this.host, d);
    });
  }
  conn(s) {
    this.sockets.add(s);
    s.on('close', () => this.sockets.delete(s));
    s.on('error', () => 0);
    let buf = Buffer.alloc(0);
    let busy = false;
    const ended = false;
    const next = async () => {
      if (busy) return;
      const e = buf.indexOf('\r\n\r\n');
      if (e < 0) return;
      const head = buf.subarray(0, e).toString('latin1').split('\r\n');
      const [method, path] = head[0].split(' ');
      const h = Object.fromEntries(
        head
          .slice(1)
          .map(l => [
            l.slice(0, l.indexOf(':')).toLowerCase(),
            l.slice(l.indexOf(':') + 1).trim(),
          ]),
      );
      if (h['transfer-encoding']) {
        out.push('chunked to server');
      }
      const len = Number(h['content-length'] ?? 0);
      const q = new URL(path, 'http://x').searchParams;
      const f = q.get('f');
      busy = true;
      if (f === 'early' && len > 2000 && buf.length < e + 4 + len) {
        /* answer before the body is in */
      }
      const body = await this.read(s, () => buf, e + 4 + len, f === 'early');
      if (body === undefined) return;
      const got = buf.subarray(e + 4, e + 4 + len);
      buf = buf.subarray(e + 4 + len);
      await this.respond(s, method, path, h, got, q);
      busy = false;
      if (!ended && !s.destroyed) next();
    };
    this.read = async (sock, get, n) => {
      while (get().length < n) {
        if (sock.destroyed) return undefined;
        await new Promise(d => {
          sock.once('data', d);
          sock.once('close', d);
        });
        await 0;
      }
      return true;
    };
    s.on('data', d => {
      buf = Buffer.concat([buf, d]);
      next();
    });
  }
  async respond(s, method, path, h, got, q) {
    const load = `x-server-load: ${this.running},0,${this.slots},100\r\n`;
    if (path === '/healthz') {
      s.write(
        `HTTP/1.1 200 OK\r\nx-instance-id: ${this.id}\r\n${load}content-length: 0\r\n\r\n`,
      );
      return;
    }
    const id = h['x-attempt-id'];
    if (h['x-expected-instance'] !== this.id) {
      s.write(
        `HTTP/1.1 421 X\r\nx-attempt-id: ${id}\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n`,
      );
      return;
    }
    if (this.running >= this.slots) {
      s.write(
        `HTTP/1.1 503 X\r\nx-attempt-id: ${id}\r\nx-not-executed: 1\r\n${load}content-length: 0\r\n\r\n`,
      );
      return;
    }
    this.running++;
    const n = Number(q.get('n'));
    const fr = q.get('fr');
    let f = q.get('f');
    runs.set(id, (runs.get(id) ?? 0) + 1);
    if (
      q.get('up') !== null &&
      (got.length !== Number(q.get('up')) ||
        sha(got) !== sha(bodyFor(`u${id}`, Number(q.get('up')))))
    )
      out.push(`UNASKED body ${id} ${got.length} of ${q.get('up')}`);
    await sleep(5 + rnd() * 60);
    this.running--;
    if (s.destroyed) return;
    if (runs.get(id) > 1 && f !== 'always') f = 'none';
    const status = q.get('st') ?? '200';
    const body = method === 'HEAD' ? Buffer.alloc(0) : bodyFor(id, n);
    const base = `HTTP/1.1 ${status} OK\r\nx-attempt-id: ${id}\r\nx-response-signature: s.${this.id}.${id}\r\n${load}`;
    const parts = [];
    if (fr === 'len') {
      parts.push(Buffer.from(`${base}content-length: ${n}\r\n\r\n`), body);
    } else if (fr === 'chunk') {
      parts.push(Buffer.from(`${base}transfer-encoding: chunked\r\n\r\n`));
      for (let i = 0; i < body.length;) {
        const k = Math.min(
          body.length - i,
          1 + Math.floor(rnd() * pick([20, 900, 30000, 200000])),
        );
        parts.push(
          Buffer.from(`${k.toString(16)}\r\n`),
          body.subarray(i, i + k),
          Buffer.from('\r\n'),
        );
        i += k;
      }
      if (method !== 'HEAD') parts.push(Buffer.from('0\r\n\r\n'));
    } else {
      parts.push(
        Buffer.from(`${base}${rnd() < 0.5 ? 'connection: close\r\n' : ''}\r\n`),
        body,
      );
    }
    let all = Buffer.concat(parts);
    const w = b =>
      new Promise(d => (s.destroyed ? d() : s.write(b, () => d())));
    if (f === 'cut' || f === 'reset') {
      const at = Math.floor(rnd() * all.length);
      // A late copy of another answer must not be written into this one.
      s.mid = true;
      await w(all.subarray(0, at));
      if (rnd() < 0.5) await sleep(rnd() * 30);
      if (f === 'reset' || fr === 'close') s.resetAndDestroy();
      else s.end();
      return;
    }
    if (f === 'mute') return;
    if (f === 'junk') {
      await w(
        Buffer.from(
          pick([
            'HTTP/1.1 000 X\r\n\r\n',
            'garbage\r\n\r\n',
            '\0\0\0',
            'HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 7\r\n\r\nhello',
            'HTTP/1.1 99999 X\r\n\r\n',
            'HTTP/2 200\r\n\r\n',
            `${base}content-length: -1\r\n\r\n`,
            `${base}transfer-encoding: chunked\r\n\r\nzz\r\n`,
          ]),
        ),
      );
      if (rnd() < 0.5) s.end();
      return;
    }
    if (f === 'nosig') {
      all = Buffer.from(
        all.toString('latin1').replace(/x-response-signature[^\r]*\r\n/, ''),
        'latin1',
      );
    }
    if (f === 'wrongid') {
      all = Buffer.from(
        all
          .toString('latin1')
          .replace(`x-attempt-id: ${id}`, 'x-attempt-id: other'),
        'latin1',
      );
    }
    if (f === 'enc') {
      all = Buffer.from(
        all
          .toString('latin1')
          .replace('x-server-load', 'content-encoding: gzip\r\nx-server-load'),
        'latin1',
      );
    }
    if (f === 'interim')
      await w(Buffer.from('HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n'));
    s.mid = true;
    if (rnd() < 0.4 && all.length > 10) {
      let i = 0;
      while (i < all.length) {
        const k = 1 + Math.floor(rnd() * all.length);
        await w(all.subarray(i, i + k));
        i += k;
        if (rnd() < 0.3) await sleep(rnd() * 10);
      }
    } else await w(all);
    s.mid = false;
    if (fr === 'close') {
      s.end();
      return;
    }
    if (f === 'extra') await w(all);
    if (f === 'late') {
      setTimeout(() => s.destroyed || s.mid || s.write(all), 5 + rnd() * 60);
    }
  }
}
for (const m of fleet.machines) {
  const a = new Raw({
    id: `i-${m.name}`,
    service: 'svc-a',
    host: m.host,
    port: m.appPort,
    control: m.control,
    zone: m.zone,
    slots: 16,
  });
  a.phase = 'ready';
  await a.listen();
  a.startReports(HEARTBEAT_MS);
  apps.push(a);
}
await sleep(3500);
let n = 0;
const counts = {};
function client() {
  // one kept connection, requests in sequence, raw
  const m = pick(fleet.machines);
  const s = connect(m.outboundPort, m.host);
  s.on('error', () => 0);
  let left = 1 + Math.floor(rnd() * 8);
  return new Promise(done => {
    let cur;
    let buf = Buffer.alloc(0);
    const go = () => {
      if (left-- <= 0 || s.destroyed) {
        s.end();
        return;
      }
      const id = `h${seed}-${n++}`;
      const method = pick(['GET', 'GET', 'POST', 'POST', 'PUT', 'HEAD']);
      const p = method === 'POST' ? 'p' : 'g';
      const size = Math.floor(
        pick([0, 1, 100, 3000, 70000, 300000, 1048576, 1048577, 2500000]) *
          (rnd() < 0.5 ? 1 : rnd()),
      );
      const up =
        method === 'POST' || method === 'PUT'
          ? Math.floor(
              pick([0, 10, 2000, 60000, 200000, 900000]) *
                (rnd() < 0.5 ? 1 : rnd()),
            )
          : 0;
      const f =
        rnd() < 0.55
          ? 'none'
          : pick([
              'cut',
              'reset',
              'junk',
              'nosig',
              'wrongid',
              'enc',
              'extra',
              'late',
              'interim',
              'mute',
              'cut',
              'reset',
              'late',
            ]);
      const fr = pick(['len', 'len', 'chunk', 'close']);
      const st = rnd() < 0.9 ? 200 : pick([201, 404, 500, 302]);
      const path = `/${p}/${id}?n=${size}&fr=${fr}&f=${f}&st=${st}${up ? `&up=${up}` : ''}`;
      const b = bodyFor(`u${id}`, up);
      const chunked = up > 0 && rnd() < 0.4;
      let head = `${method} ${path} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: ${id}\r\nX-Deadline-Ms: 3000\r\n`;
      head +=
        up === 0
          ? '\r\n'
          : chunked
            ? 'Transfer-Encoding: chunked\r\n\r\n'
            : `Content-Length: ${up}\r\n\r\n`;
      cur = {
        id,
        method,
        size,
        f,
        fr,
        st,
        up,
        slow: rnd() < 0.1,
        abort: rnd() < 0.05,
      };
      buf = Buffer.alloc(0);
      s.write(head);
      if (up) {
        if (chunked) {
          for (let i = 0; i < up;) {
            const k = Math.min(up - i, 1 + Math.floor(rnd() * 50000));
            s.write(`${k.toString(16)}\r\n`);
            s.write(b.subarray(i, i + k));
            s.write('\r\n');
            i += k;
          }
          s.write('0\r\n\r\n');
        } else s.write(b);
      }
      if (cur.abort) setTimeout(() => s.destroy(), rnd() * 60);
    };
    const fin = (status, complete, body, h) => {
      const c = cur;
      cur = undefined;
      counts[`${status}${complete ? '' : '-'}`] =
        (counts[`${status}${complete ? '' : '-'}`] ?? 0) + 1;
      if (complete && status >= 200 && status < 300 && status !== undefined) {
        if (h['x-attempt-id'] !== c.id)
          out.push(`MIXED id ${c.id} got ${h['x-attempt-id']}`);
        if (!h['x-response-signature']?.endsWith(`.${c.id}`))
          out.push(`MIXED sig ${c.id} ${h['x-response-signature']}`);
        if (
          c.method !== 'HEAD' &&
          (body.length !== c.size || sha(body) !== sha(bodyFor(c.id, c.size)))
        )
          out.push(`MIXED body ${JSON.stringify(c)} got ${body.length}`);
        if (c.st !== status)
          out.push(`MIXED status ${c.id} ${status} for ${c.st}`);
      }
      if (complete && h['x-response-signature'] && status !== c.st)
        out.push(`MIXED signed status ${c.id} ${status} for ${c.st}`);
      if (
        complete &&
        [400, 404, 413, 431, 401].includes(status) &&
        !h['x-response-signature']
      )
        out.push(`DENIED ${status} ${JSON.stringify(c)} ${body}`);
      if ([408, 421, 429, 503].includes(status) && c.method === 'POST')
        setTimeout(
          () =>
            runs.get(c.id) &&
            out.push(`REFUSED ${c.id} ${status} ${JSON.stringify(c)}`),
          6000,
        );
      if (h?.connection === 'close') s.end();
      else setTimeout(go, rnd() * 20);
    };
    const parse = ended => {
      if (!cur) {
        if (buf.length)
          out.push(`MIXED bytes without request ${buf.subarray(0, 60)}`);
        return;
      }
      const e = buf.indexOf('\r\n\r\n');
      if (e < 0) {
        if (ended) fin(0, false);
        return;
      }
      const lines = buf.subarray(0, e).toString('latin1').split('\r\n');
      const status = Number(lines[0].split(' ')[1]);
      const h = Object.fromEntries(
        lines
          .slice(1)
          .map(l => [
            l.slice(0, l.indexOf(':')).toLowerCase(),
            l.slice(l.indexOf(':') + 1).trim(),
          ]),
      );
      const rest = buf.subarray(e + 4);
      if (status < 200) {
        buf = rest;
        return parse(ended);
      }
      if (cur.method === 'HEAD' || status === 204 || status === 304) {
        buf = rest;
        return fin(status, true, Buffer.alloc(0), h);
      }
      if (h['transfer-encoding'] === 'chunked') {
        const got = [];
        let i = 0;
        for (;;) {
          const l = rest.indexOf('\r\n', i);
          if (l < 0) break;
          const k = parseInt(rest.subarray(i, l).toString(), 16);
          if (rest.length < l + 2 + k + 2) break;
          if (k === 0) {
            buf = rest.subarray(l + 4);
            return fin(status, true, Buffer.concat(got), h);
          }
          got.push(rest.subarray(l + 2, l + 2 + k));
          i = l + 2 + k + 2;
        }
        if (ended) fin(status, false, undefined, h);
        return;
      }
      const len = Number(h['content-length'] ?? NaN);
      if (Number.isNaN(len)) {
        out.push(`no framing ${JSON.stringify(cur)}`);
        return;
      }
      if (rest.length >= len) {
        buf = rest.subarray(len);
        return fin(status, true, rest.subarray(0, len), h);
      }
      if (ended) fin(status, false, undefined, h);
    };
    let chunks = [];
    let pend = false;
    s.on('data', d => {
      chunks.push(d);
      if (cur?.slow && rnd() < 0.2) {
        s.pause();
        setTimeout(() => s.resume(), 30);
      }
      if (!pend) {
        pend = true;
        setImmediate(() => {
          pend = false;
          buf = Buffer.concat([buf, ...chunks]);
          chunks = [];
          parse(false);
        });
      }
    });
    s.on('close', () => {
      setImmediate(() => {
        buf = Buffer.concat([buf, ...chunks]);
        chunks = [];
        if (cur && !cur.abort) parse(true);
        done();
      });
    });
    s.on('connect', go);
    setTimeout(() => s.destroy(), 25000);
  });
}
const endAt = Date.now() + LEN;
let open = 0;
while (Date.now() < endAt) {
  if (open < 25) {
    open++;
    client().finally(() => open--);
  }
  await sleep(15);
}
await sleep(8000);
for (const [id, c] of runs)
  if (c > 1) {
    /* idempotent may repeat */
  }
for (const m of fleet.machines) {
  for (const e of m.exits) out.push(`EXIT ${m.name} ${JSON.stringify(e)}`);
  const f = m
    .log()
    .split('\n')
    .filter(s => /"fault"|invariantBroken|^\S*Error/.test(s));
  if (f.length) out.push(`FAULT ${m.name} ${f.length} ${f[0].slice(0, 400)}`);
}
console.log(`seed ${seed}`, n, JSON.stringify(counts), out.length);
console.log(out.slice(0, 25).join('\n'));
for (const a of apps) {
  a.stopReports();
}
await fleet.close();
process.exit();
