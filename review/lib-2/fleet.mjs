/** A small deployment: the project's program as one process a machine, each with a server, and the platform's store. */
import {spawn} from 'node:child_process';
import {appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {get} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {AppServer} from './server.mjs';
import {Store} from './store.mjs';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '../..');
/** Settings as in the example of DEPLOY.md. */
const BOUNDS = {
  drain: '2000ms',
  contact: '3000ms',
  grace_period: '6s',
  config_apply: '2000ms',
  retry_budget_ratio: 0.2,
  budget_slack: 64,
  budget_window: '10s',
  probes_per_s: 60,
  max_stretch: '5000ms',
};
const HEARTBEAT_MS = 1_500;
const RESTART_DELAY_MS = 500;
/** Time in which the nodes find each other, more than `contact`. */
const SETTLE_MS = 3_500;

export const sleep = ms => new Promise(done => setTimeout(done, ms));

/** The command and the template of the deploy file. */
function readDeployFile() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const value = name => new RegExp(`^${name} = "(.*)"$`, 'm').exec(text)[1];
  return {run: value('run').split(' '), template: readFileSync(join(ROOT, value('template')), 'utf8')};
}

function render(template, fields) {
  return template.replaceAll(/\{\{([\w.]+)\}\}/g, (_, path) =>
    String(path.split('.').reduce((value, name) => value?.[name], fields) ?? ''),
  );
}

async function isFree(host, port) {
  return new Promise(done => {
    const probe = createServer();
    probe.on('error', () => done(false));
    probe.listen(port, host, () => probe.close(() => done(true)));
  });
}

/** A loopback network of its own for this run, so that fixed ports are free. */
async function freeNetwork() {
  for (;;) {
    const part = () => 2 + Math.floor(Math.random() * 250);
    const network = `127.${part()}.${part()}`;
    if ((await isFree(`${network}.1`, 9_464)) && (await isFree(`${network}.1`, 8_147))) return network;
  }
}

export class Fleet {
  /** What was sent, answered and run, in order. */
  lines = [];
  nodes = [];
  servers = [];
  startedAt = Date.now();

  /** `machines` is a list of services, one a machine. */
  static async start({folder, machines, limits, paths, children = new Set()}) {
    const fleet = new Fleet();
    fleet.children = children;
    fleet.recordFile = join(folder, 'record.txt');
    writeFileSync(fleet.recordFile, '');
    fleet.temporary = mkdtempSync(join(tmpdir(), 'review-'));
    fleet.network = await freeNetwork();
    fleet.store = new Store();
    await fleet.store.listen(`${fleet.network}.250`);
    fleet.configure('r7', {limits, paths, services: [...new Set(machines)]});
    machines.forEach((service, i) => fleet.addMachine(service, i));
    for (const node of fleet.nodes) fleet.startNode(node);
    for (const server of fleet.servers) await server.start();
    if (!(await fleet.allReady(15_000))) throw new Error('the nodes were not ready within 15 s');
    await sleep(SETTLE_MS);
    return fleet;
  }

  /** Writes a desired state; the operator's write is acknowledged when it returns. */
  configure(version, {limits, paths, services}) {
    const spec = {
      version,
      services: services.map(name => ({name, health_check_path: '/healthz', max_connections: 260, protocol: 'h1', tls: false})),
      limits: {max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout: '3000ms', idle_timeout: '15000ms', ...limits},
      hosts: [{host: 'ficu95.example', paths}],
    };
    this.store.operatorPut('config', 'main', spec);
    this.record({what: 'operator', version});
  }

  addMachine(service, i) {
    const ip = `${this.network}.${i + 1}`;
    const zone = `scl-${'abc'[i % 3]}`;
    const name = `sidecar-${zone}-${i + 1}`;
    const at = port => `${ip}:${port}`;
    const node = {name, ip, zone, service, outbound: 8_147, isFirst: true, exits: []};
    node.fields = () => ({
      node_name: name,
      zone,
      region: 'scl',
      ip,
      listen: {inbound: at(8_146), outbound: at(8_147), ready: at(8_141), control: at(8_144)},
      port_range: [7_380, 7_395],
      bootstrap: node.isFirst,
      limits: {memory_mb: 350, max_fds: 4_100},
      heartbeat: `${HEARTBEAT_MS}ms`,
      bounds: BOUNDS,
      app_address: at(8_145),
      service,
      platform: {address: this.store.address, writes_per_s: 400, reads_per_s: 2_000},
    });
    this.nodes.push(node);
    const record = line => this.record(line);
    const id = `i-${i + 1}-${Math.random().toString(16).slice(2, 8)}`;
    this.servers.push(new AppServer({id, service, host: ip, port: 8_145, control: at(8_144), zone, heartbeatMs: HEARTBEAT_MS, record}));
  }

  /** Starts the process of a node. One that ends is started again, as the platform does. */
  startNode(node) {
    const {run, template} = readDeployFile();
    const settings = join(this.temporary, `${node.name}.ini`);
    writeFileSync(settings, render(template, node.fields()));
    const {PATH, HOME, LANG} = process.env;
    const [program, ...args] = run;
    const child = spawn(program, args, {
      cwd: ROOT,
      env: {PATH, HOME, LANG, GOLDCRESTHILL_NODE_FILE: settings},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    node.child = child;
    this.children.add(child);
    node.isFirst = false;
    let errors = '';
    child.stdout.resume();
    if (process.env.NODE_LOGS) child.stdout.on('data', text => appendFileSync(join(process.env.NODE_LOGS, `${node.name}.log`), text));
    child.stderr.on('data', text => (errors = (errors + text).slice(-2_000)));
    child.on('close', (code, signal) => {
      this.children.delete(child);
      const error = /\w*Error: .*/.exec(errors)?.[0] ?? errors.trim().split('\n').at(-1);
      node.exits.push({code, signal, isOwn: !node.wasKilled, error});
      this.record({what: 'process ended', node: node.name, code, signal, byTest: node.wasKilled === true, error});
      node.wasKilled = false;
      node.child = undefined;
      if (!this.isClosing) node.restart = setTimeout(() => this.startNode(node), RESTART_DELAY_MS);
    });
  }

  kill(node, signal = 'SIGKILL') {
    node.wasKilled = true;
    this.record({what: 'signal', node: node.name, signal});
    node.child?.kill(signal);
  }

  async isReady({ip}) {
    return new Promise(done => {
      const req = get({host: ip, port: 8_141, path: '/v1/ready', agent: false}, res => {
        res.resume();
        done(res.statusCode === 200);
      });
      req.setTimeout(900, () => req.destroy());
      req.on('error', () => done(false));
    });
  }

  async allReady(withinMs) {
    const endAt = Date.now() + withinMs;
    while (Date.now() < endAt) {
      const ready = await Promise.all(this.nodes.map(node => this.isReady(node)));
      if (ready.every(Boolean)) return true;
      await sleep(100);
    }
    return false;
  }

  record(line) {
    const entry = {ms: Date.now() - this.startedAt, ...line};
    this.lines.push(entry);
    appendFileSync(this.recordFile, `${JSON.stringify(entry)}\n`);
    return entry;
  }

  /** Entries of the record of one kind. */
  all(what) {
    return this.lines.filter(line => line.what === what);
  }

  async close() {
    this.isClosing = true;
    for (const node of this.nodes) {
      clearTimeout(node.restart);
      const {child} = node;
      if (child === undefined) continue;
      const ended = new Promise(done => child.once('close', done));
      node.wasKilled = true;
      child.kill('SIGKILL');
      await ended;
    }
    await Promise.all(this.servers.map(server => server.close()));
    await this.store.close();
    rmSync(this.temporary, {recursive: true, force: true});
  }
}

/**
 * Runs a case and ends with its result: 1 if the rule was broken, 0 if it held, 2 if the case could not run. `trouble`
 * says whether the disruption takes place.
 */
export async function runCase({trouble, ...options}, play) {
  let fleet;
  let code = 2;
  const children = new Set();
  // No process stays behind if the case itself fails or is stopped.
  process.on('exit', () => {
    children.forEach(child => child.kill('SIGKILL'));
    if (fleet !== undefined) rmSync(fleet.temporary, {recursive: true, force: true});
  });
  for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => process.exit(2));
  process.on('uncaughtException', err => {
    console.error(err);
    process.exit(2);
  });
  try {
    fleet = await Fleet.start({...options, children});
    const broken = await play(fleet);
    code = broken ? 1 : 0;
    fleet.record({what: 'result', trouble, broken});
  } catch (err) {
    console.error(err);
  } finally {
    await fleet?.close();
  }
  console.log(code === 1 ? 'rule broken' : code === 0 ? 'rule held' : 'could not run');
  process.exit(code);
}
