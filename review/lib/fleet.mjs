// A small deployment on loopback addresses: the store, and machines of three zones,
// each with the project's own program (by the command of the deploy file) and a server.
import {spawn} from 'node:child_process';
import {createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {request} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {AppServer, HEARTBEAT_MS} from './server.mjs';
import {Relay} from './relay.mjs';
import {Store} from './store.mjs';

const REPOSITORY = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
const ZONES = ['zone-a', 'zone-b', 'zone-c'];
const RESTART_DELAY_MS = 500;
const READY_INTERVAL_MS = 1_000;
export const VIRTUAL_HOST = 'shop.example';
/** Bounds of the small site `mantas-pedidos`. */
export const BOUNDS = {
  contactMs: 3_000,
  drainMs: 2_000,
  graceMs: 6_000,
  lossSlackMs: 200,
};

/** Fills in a settings template after DEPLOY.md; sections are not needed here. */
function render(template, fields) {
  return template.replaceAll(/\{\{([\w.]+)\}\}/g, (_all, path) => {
    const value = path.split('.').reduce((at, key) => at?.[key], fields);
    return value === undefined || value === null ? '' : String(value);
  });
}

function deployFile() {
  const text = readFileSync(join(REPOSITORY, 'deploy/system.toml'), 'utf8');
  const value = key => new RegExp(`^${key} = "(.*)"$`, 'm').exec(text)?.[1];
  return {run: value('run').split(' '), template: value('template')};
}

function isFree(host, port) {
  return new Promise(done => {
    const probe = createServer();
    probe.once('error', () => done(false));
    probe.listen(port, host, () => probe.close(() => done(true)));
  });
}

export class Machine {
  constructor(fleet, index, service) {
    this.fleet = fleet;
    this.index = index;
    this.service = service;
    this.zone = ZONES[index % ZONES.length];
    this.name = `sidecar-${this.zone}-${index}`;
    this.ip = `${fleet.prefix}.${index + 1}`;
    const at = offset => `${this.ip}:${fleet.basePort + offset}`;
    this.listen = {inbound: at(6), outbound: at(7), ready: at(1), control: at(4)};
    this.app = at(5);
    this.starts = 0;
    /** Times at which the process ended by itself. */
    this.ownEnds = [];
    this.isRestarting = true;
  }

  get outbound() {
    return this.listen.outbound;
  }

  startProcess() {
    const {fleet, ip, zone, name, service} = this;
    const {run, template} = fleet.deploy;
    const settings = {
      node_name: name,
      role: 'node',
      ip,
      zone,
      region: 'region-1',
      listen: this.listen,
      port_range: [fleet.basePort + 20, fleet.basePort + 35],
      limits: {memory_mb: 350},
      heartbeat: `${HEARTBEAT_MS}ms`,
      bounds: {
        contact: '3000ms',
        drain: '2000ms',
        grace_period: '6s',
        config_apply: '2000ms',
        retry_budget_ratio: 0.2,
        budget_window: '10s',
        budget_slack: 64,
        probes_per_s: 60,
      },
      app_address: this.app,
      service,
      platform: {address: fleet.storeAddress, writes_per_s: 400, reads_per_s: 2_000},
    };
    const file = join(fleet.folder, `${name}.ini`);
    const source = readFileSync(join(REPOSITORY, template), 'utf8');
    writeFileSync(file, render(source, settings));
    const [program, ...args] = run;
    const {PATH, HOME, LANG} = process.env;
    const child = spawn(program, args, {
      cwd: REPOSITORY,
      env: {PATH, HOME, LANG, GOLDCRESTHILL_NODE_FILE: file},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.starts++;
    const log = createWriteStream(join(fleet.folder, `${name}.${this.starts}.log`));
    child.stdout.pipe(log, {end: false});
    child.stderr.pipe(log, {end: false});
    let errors = '';
    child.stderr.on('data', chunk => {
      if (errors.length < 4_000) errors += chunk;
    });
    this.child = child;
    this.startedAt = fleet.recorder.now();
    fleet.recorder.write('start', {machine: name, pid: child.pid});
    child.on('exit', (code, signal) => this.onExit(child, code, signal, errors));
  }

  onExit(child, code, signal, errors) {
    const {recorder} = this.fleet;
    recorder.write('exit', {machine: this.name, code, signal});
    const lastLines = errors.trim().split('\n').slice(0, 12).join(' | ');
    if (lastLines !== '') recorder.write('stderr', {machine: this.name, text: lastLines});
    if (child !== this.child) return;
    this.child = undefined;
    if (this.signalled === undefined) this.ownEnds.push(recorder.now());
    this.signalled = undefined;
    // A process that exits is restarted after a short delay.
    if (this.fleet.closed || !this.isRestarting) return;
    setTimeout(() => {
      if (!this.fleet.closed) this.startProcess();
    }, RESTART_DELAY_MS);
  }

  signal(name) {
    this.signalled = name;
    this.fleet.recorder.write('signal', {machine: this.name, signal: name});
    this.child?.kill(name);
  }

  /** Starts a boot of this machine's server and its liveness reports. */
  async startServer(id, options = {}) {
    const [host, port] = (options.behind ?? this.app).split(':');
    const server = new AppServer({
      id,
      service: this.service,
      zone: this.zone,
      host,
      port: Number(port),
      control: this.listen.control,
      slots: 11,
      workMs: 120,
      recorder: this.fleet.recorder,
      ...options,
    });
    await server.start();
    this.server = server;
    await server.startReports();
    return server;
  }

  /** Asks whether the node is ready, as the platform does. */
  isReady() {
    const [host, port] = this.listen.ready.split(':');
    return new Promise(done => {
      const req = request(
        {host, port: Number(port), path: '/v1/ready', agent: false, timeout: 900},
        res => {
          res.resume();
          done(res.statusCode === 200);
        },
      );
      req.on('timeout', () => req.destroy(new Error('timeout')));
      req.on('error', () => done(false));
      req.end();
    });
  }
}

export class Fleet {
  /** services: the service of each machine. */
  constructor(recorder, services) {
    this.recorder = recorder;
    this.services = services;
    this.deploy = deployFile();
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.closed = false;
  }

  async start(desiredState) {
    await this.findAddresses();
    this.store = new Store(`${this.prefix}.200`);
    this.relay = new Relay(`${this.prefix}.201`, await this.store.listen());
    this.storeAddress = await this.relay.listen();
    this.store.write('config', 'main', desiredState);
    this.machines = this.services.map((service, i) => new Machine(this, i, service));
    for (const machine of this.machines) machine.startProcess();
    await this.until(() => this.allReady(), 20_000, 'all nodes are ready');
  }

  // Every machine has a loopback address of its own, as the ports of a day are the same on all machines.
  async findAddresses() {
    for (let i = 0; i < 50; i++) {
      const part = () => 10 + Math.floor(Math.random() * 240);
      this.prefix = `127.${part()}.${part()}`;
      this.basePort = 20_000 + Math.floor(Math.random() * 1_000) * 40;
      const offsets = [1, 4, 5, 6, 7, 20];
      const checks = [];
      this.services.forEach((_service, index) => {
        const ip = `${this.prefix}.${index + 1}`;
        checks.push(isFree(ip, 9_464));
        offsets.forEach(o => checks.push(isFree(ip, this.basePort + o)));
      });
      if ((await Promise.all(checks)).every(Boolean)) return;
    }
    throw new Error('no free ports');
  }

  async allReady() {
    const ready = await Promise.all(this.machines.map(m => m.isReady()));
    return ready.every(Boolean);
  }

  async until(condition, limitMs, what) {
    const endAt = this.recorder.now() + limitMs;
    while (!(await condition())) {
      if (this.recorder.now() > endAt) throw new Error(`not in time: ${what}`);
      await sleep(READY_INTERVAL_MS / 5);
    }
  }

  async close() {
    this.closed = true;
    for (const {child} of this.machines ?? []) child?.kill('SIGKILL');
    for (const {server} of this.machines ?? []) await server?.close();
    await this.relay?.close();
    await this.store?.close();
    await sleep(200);
    if (process.env.KEEP_LOGS === undefined) rmSync(this.folder, {recursive: true, force: true});
    else console.log(`logs: ${this.folder}`);
  }
}

/** Desired state with one route for each entry: path_prefix, type, service, timeout. */
export function desiredState(version, routes) {
  const services = [...new Set(routes.map(route => route.service))];
  return {
    version,
    services: services.map(name => ({
      name,
      health_check_path: '/healthz',
      max_connections: 260,
      protocol: 'h1',
      tls: false,
    })),
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 67_108_864,
      header_timeout: '3000ms',
      idle_timeout: '15000ms',
    },
    hosts: [
      {
        host: VIRTUAL_HOST,
        paths: routes.map((route, i) => ({
          name: `r-${i}`,
          target_latency: '300ms',
          priority: 1,
          attempts: 2,
          ...route,
        })),
      },
    ],
  };
}
