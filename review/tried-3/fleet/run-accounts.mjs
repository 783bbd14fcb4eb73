// Trial: random disruptions on a small fleet; prints suspicious events. Usage: SEED=n MODE=... node chaos.mjs
import {Agent} from 'node:http';
import {
  Fleet,
  Recorder,
  desiredState,
  send,
  sleep,
  HEARTBEAT_MS,
} from '../../lib-3/fleet.mjs';
import {AppServer} from '../../lib-3/app_server.mjs';
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
const seed = Number(process.env.SEED ?? 1);
const LEN = Number(process.env.LEN ?? 60) * 1000;
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
const fleet = new Fleet(rec, {
  bounds: {
    strict_revocation: true,
    revoke: '5000ms',
    quota_window: '5s',
    quota_overshoot: 0.1,
    quota_slack: 20,
  },
});
const NAMES = ['svc-a', 'svc-a', 'svc-a', 'svc-b', 'svc-b', 'svc-b'];
await fleet.create(NAMES.map((service, i) => ({service, zone: `z-${i % 3}`})));
let version = 3;
let moved = false;
const services = ['svc-a', 'svc-b'];
const state = () =>
  desiredState(
    version,
    services,
    [
      {
        name: 'a-get',
        host: 'h.example',
        path_prefix: '/ag/',
        type: 'idempotent',
        service: moved ? 'svc-b' : 'svc-a',
      },
      {
        name: 'a-post',
        host: 'h.example',
        path_prefix: '/ap/',
        type: 'non_idempotent',
        service: 'svc-a',
      },
      {
        name: 'b-get',
        host: 'h.example',
        path_prefix: '/bg/',
        type: 'idempotent',
        service: 'svc-b',
      },
      {
        name: 'b-post',
        host: 'h.example',
        path_prefix: '/bp/',
        type: 'non_idempotent',
        service: 'svc-b',
      },
    ],
    {
      tenants: Object.entries(tenants).map(([name, t]) => ({
        name,
        api_keys: t.keys,
        priority: 1,
        rate_per_s: t.rate,
        burst: t.burst,
      })),
    },
  );
const acksCfg = [];
let keySeq = 0;
const tenants = {
  t1: {keys: ['key-t1-0'], rate: 20, burst: 10},
  t2: {keys: ['key-t2-0', 'key-t2-b'], rate: 0, burst: 0},
  t3: {keys: ['key-t3-0'], rate: 12, burst: 5},
};
const keyLog = []; // {at, holders: Map key->tenant}

const putCfg = () => {
  fleet.store.operatorPut('config', 'main', state());
  acksCfg.push({at: Date.now(), version, moved});
  const holders = new Map();
  for (const [name, t] of Object.entries(tenants))
    for (const k of t.keys) holders.set(k, name);
  keyLog.push({at: Date.now(), holders});
};
putCfg();
await fleet.start();
for (const m of fleet.machines) m.restartMs = 400;
const boots = []; // all AppServer boots
const cur = new Map();
let idSeq = 0;
const disturbed = new Map(fleet.machines.map(m => [m, -Infinity])); // last disruption end
let storeDisturbed = -Infinity;
const touch = (m, until = Date.now()) =>
  disturbed.set(m, Math.max(disturbed.get(m), until));
async function boot(m, id = `i-${seed}-${idSeq++}`) {
  const app = new AppServer({
    id,
    service: m.service,
    host: m.host,
    port: m.appPort,
    control: m.control,
    zone: m.zone,
    slots: 10,
    workMs: () => 10 + rnd() * 120,
  });
  app.machine = m;
  app.acks = [];
  try {
    await app.listen();
  } catch (e) {
    console.log('listen', String(e));
    return;
  }
  boots.push(app);
  cur.set(m, app);
  app.startReports(HEARTBEAT_MS);
  rec.add('boot', {id, node: m.name, born: app.born});
}
for (const m of fleet.machines) await boot(m);
await sleep(4000);
const sent = new Map();
let stop = false;
let n = 0;
const agents = new Map(
  fleet.machines.map(m => [m, new Agent({keepAlive: true, maxSockets: 30})]),
);
async function one() {
  const m = pick(fleet.machines);
  const kind = pick(['ag', 'ap', 'bg', 'bp']);
  const id = `q${n++}`;
  const tname = pick(['t1', 't1', 't2', 't3']);
  const all = [
    ...new Set(
      keyLog.flatMap(l =>
        [...l.holders].filter(([, h]) => h === tname).map(([k]) => k),
      ),
    ),
  ];
  const key =
    rnd() < 0.02
      ? 'never-' + id
      : rnd() < 0.3
        ? pick(all)
        : pick(tenants[tname].keys.length ? tenants[tname].keys : all);
  const post = kind[1] === 'p';
  const r = {id, m, kind, key, tname, at: Date.now()};
  sent.set(id, r);
  const a = await send({
    host: m.host,
    port: m.outboundPort,
    method: post ? 'POST' : 'GET',
    path: `/${kind}/${id}?v=1`,
    headers: {
      host: 'h.example',
      'x-attempt-id': id,
      'x-deadline-ms': '1500',
      'x-caller-service': 'forged',
      'x-tenant': 'forged',
      'api-key': key,
    },
    body: post ? `body ${id}` : '',
    timeoutMs: 1600,
    agent: rnd() < 0.7 ? agents.get(m) : false,
  });
  Object.assign(r, {
    status: a.status,
    body: a.body,
    sig: a.headers['x-response-signature'],
    doneAt: a.answeredAt,
  });
}
const load = (async () => {
  while (!stop) {
    one();
    await sleep(8);
  }
})();
process.on('unhandledRejection', e => console.log('unhandled', e));
const log = (what, f = {}) => rec.add(what, f);
const serverOps = {
  async sameId(m) {
    const a = cur.get(m);
    await a.crash();
    await sleep(rnd() * 300);
    await boot(m, a.id);
  },
  async newId(m) {
    await cur.get(m).crash();
    await sleep(rnd() * 300);
    await boot(m);
  },
  async drain(m) {
    const a = cur.get(m);
    a.phase = 'draining';
    const s = await a.report('draining').catch(() => 0);
    const at = Date.now();
    if (s === 200) a.acks.push(at);
    log('drain', {id: a.id, s});
    await sleep(2500 + rnd() * 6000);
    await a.deregister().catch(() => 0);
    await a.crash();
    await boot(m, rnd() < 0.5 ? a.id : undefined);
  },
  async del(m) {
    const a = cur.get(m);
    a.stopReports();
    const s = await a.deregister().catch(() => 0);
    const at = Date.now();
    if (s === 200) a.acks.push(at);
    log('delete', {id: a.id, s});
    const late = a.report('ready');
    void late;
    a.sequence -= 1;
    await sleep(2500 + rnd() * 6000);
    await a.crash();
    await boot(m, rnd() < 0.5 ? a.id : undefined);
  },
};
const nodeOps = {
  async kill(m) {
    touch(m, Date.now() + 1500);
    m.signal('SIGKILL');
    await sleep(800);
    touch(m);
  },
  async stop(m) {
    const d = 500 + rnd() * 4000;
    touch(m, Date.now() + d);
    m.signal('SIGSTOP');
    await sleep(d);
    m.signal('SIGCONT');
    touch(m);
  },
  async term(m) {
    touch(m, Date.now() + 7500);
    m.signal('SIGTERM');
    await sleep(7000);
    touch(m);
  },
  async store(m) {
    const d = 1000 + rnd() * 4500;
    touch(m, Date.now() + d);
    m.storeGate.mode = pick(['silent', 'busy']);
    log('store', {node: m.name, mode: m.storeGate.mode, d});
    await sleep(d);
    m.storeGate.mode = 'up';
    touch(m);
  },
  async storeAll() {
    const d = 1000 + rnd() * 4000;
    const mode = pick(['silent', 'busy']);
    storeDisturbed = Date.now() + d;
    log('store all', {mode, d});
    fleet.machines.forEach(m => (m.storeGate.mode = mode));
    await sleep(d);
    fleet.machines.forEach(m => (m.storeGate.mode = 'up'));
    storeDisturbed = Date.now();
  },
  async keys() {
    version += 1;
    const t = tenants[pick(['t1', 't2', 't3'])];
    const w = rnd();
    const nk = `key-n${keySeq++}`;
    if (w < 0.5) t.keys = [nk];
    else if (w < 0.7) t.keys = [...t.keys.slice(-2), nk];
    else {
      const o = tenants[pick(['t1', 't2', 't3'])];
      if (o !== t && t.keys.length > 1) {
        o.keys = [...o.keys, t.keys.pop()];
      } else t.keys = [nk];
    }
    putCfg();
    log('keys', {version, tenants});
  },
  async keys2() {
    return nodeOps.keys();
  },
  async cfg() {
    version += 1 + Math.floor(rnd() * 4);
    if (rnd() < 0.5) moved = !moved;
    putCfg();
    log('config', {version, moved});
  },
};
const busy = new Set();
const run = (name, f, m) => {
  const key = m ? `${name[0]}${m.name}` : name;
  if (busy.has(key)) return;
  busy.add(key);
  log('op', {name, node: m?.name});
  f(m)
    .catch(e => console.log('op', name, String(e)))
    .finally(() => busy.delete(key));
};
const endAt = Date.now() + LEN;
while (Date.now() < endAt) {
  const m = pick(fleet.machines);
  const w = rnd();
  if (w < 0.45) {
    const k = pick(Object.keys(serverOps));
    run(`S${k}`, serverOps[k], m);
  } else if (w < 0.85) {
    const k = pick(Object.keys(nodeOps));
    run(
      `N${k}`,
      nodeOps[k],
      k === 'cfg' || k === 'storeAll' || k.startsWith('keys') ? undefined : m,
    );
  }
  await sleep(400 + rnd() * 1200);
}
await sleep(9000);
stop = true;
await sleep(2500);
// checks
const runsOf = new Map();
for (const b of boots)
  for (const r of b.runs) {
    const l = runsOf.get(r.id) ?? [];
    l.push({...r, b});
    runsOf.set(r.id, l);
  }
const out = [];
for (const [id, runs] of runsOf) {
  const q = sent.get(id);
  if (!q) {
    out.push(`UNASKED unknown ${id}`);
    continue;
  }
  for (const r of runs) {
    if (r.headers['x-caller-service'] !== q.m.service)
      out.push(`UNASKED caller ${id} ${r.headers['x-caller-service']}`);
    if (r.path !== `/${q.kind}/${id}?v=1`)
      out.push(`UNASKED path ${id} ${r.path}`);
    const svc = r.b.service;
    if (
      (q.kind === 'ap' && svc !== 'svc-a') ||
      (q.kind[0] === 'b' && svc !== 'svc-b')
    )
      out.push(`ROUTE ${id}`);
    if ('api-key' in r.headers) out.push(`UNASKED key passed ${id}`);
    const holdersOver = keyLog
      .filter((l, i) => {
        const end = keyLog[i + 1]?.at ?? Infinity;
        return end + 5100 > q.at && l.at <= r.at;
      })
      .map(l => l.holders.get(q.key));
    if (!holdersOver.includes(r.headers['x-tenant']))
      out.push(
        `UNASKED tenant ${id} key ${q.key} ran as ${r.headers['x-tenant']}, holders ${[...new Set(holdersOver)]} `,
      );
    {
      const last = keyLog.findLastIndex(l => l.holders.has(q.key));
      if (last < 0) out.push(`ROUTE key never held ${id}`);
      else if (last + 1 < keyLog.length) {
        const gone = keyLog[last + 1].at;
        if (q.at > gone + 5000)
          out.push(`CONFIG revoked ${id} sent ${q.at - gone} ms after`);
      }
    }
    const ack = r.b.acks[0];
    if (ack !== undefined && r.at > ack + 2050) {
      const inTouch = m => r.at - disturbed.get(m) > 3000;
      out.push(
        `DRAIN ${id} at ${r.b.id}, ${r.at - ack} ms after ack; origin ${q.m.name} in touch ${inTouch(q.m)}, server's node ${r.b.machine.name} in touch ${inTouch(r.b.machine)}`,
      );
    }
  }
  if (q.kind[1] === 'p' && runs.length > 1)
    out.push(`TWICE ${id} ${runs.map(r => r.b.id)}`);
  if (q.kind[1] === 'p' && [408, 421, 429, 503].includes(q.status))
    out.push(`REFUSED ${id} ${q.status}`);
}
for (const [name, t] of Object.entries(tenants)) {
  if (!t.rate) continue;
  const arr = [...runsOf]
    .filter(
      ([id, runs]) => runs[0].headers['x-tenant'] === name && sent.has(id),
    )
    .map(([id, runs]) => ({
      sent: sent.get(id).at,
      at: Math.min(...runs.map(r => r.at)),
    }))
    .filter(r => r.at)
    .sort((a, b) => a.sent - b.sent);
  const bound = (t.rate * 5 + t.burst) * 1.1 + 20;
  let max = 0;
  for (const a of arr) {
    const c = arr.filter(b => b.sent >= a.sent && b.at <= a.sent + 5000).length;
    max = Math.max(max, c);
  }
  console.log('quota', name, max, bound, arr.length);
  if (max > bound) out.push(`QUOTA ${name} ${max} > ${bound}`);
}
const counts = {};
for (const q of sent.values()) {
  counts[q.status] = (counts[q.status] ?? 0) + 1;
  if (q.status === 200 && !(q.sig && q.body.endsWith(`ran ${q.id}`)))
    out.push(`MIXED ${q.id} ${q.body}`);
  if ([400, 403, 404, 413, 431].includes(q.status))
    out.push(`DENIED ${q.id} ${q.status}`);
}
for (const m of fleet.machines)
  for (const e of m.exits)
    if (e.signal === null && e.code !== 0) out.push(`EXIT ${m.name} ${e.code}`);
for (const m of fleet.machines) {
  const l = m.log();
  const f = l
    .split('\n')
    .filter(s => /"fault"|invariantBroken|^\S*Error/.test(s));
  if (f.length) out.push(`FAULT ${m.name} ${f.length} ${f[0].slice(0, 300)}`);
}
console.log(`seed ${seed}`, counts, out.length, out.slice(0, 40).join('\n'));
for (const b of boots) await b.crash().catch(() => 0);
await fleet.close();
process.exit();
