/** A small fleet of real processes on this host, for the demo and experiments. */
import {setTimeout as sleep} from 'node:timers/promises';
import {spawn} from 'node:child_process';
import {constants} from 'node:os';
import type {ChildProcess} from 'node:child_process';
import {freePorts} from '@goldcresthill/test-utils';
import {request} from 'undici';

/** A server and its node. */
export interface FleetMember {
  readonly nodeId: string;
  readonly domain: string;
  readonly region: string;
  readonly service: string;
  readonly ports: {
    caller: number;
    data: number;
    control: number;
    operator: number;
  };
  readonly serverPort: number;
  node: ChildProcess;
  server: ChildProcess;
}

/** Servers of one service. */
export interface FleetService {
  readonly name: string;
  readonly servers: number;
  readonly slots: number;
  readonly meanMs: number;
  /** Of the service time: 0 is constant, 1 is exponential. */
  readonly variability: number;
}

/** Options of a fleet. */
export interface FleetOptions {
  /** Program and leading arguments that run the goldcresthill command line. */
  readonly command: readonly string[];
  readonly services: readonly FleetService[];
  readonly domains: readonly string[];
  /** Appended to the settings of each node. */
  readonly extraSettings?: string;
  /** Whether the owner closes the fleet on SIGINT; by default the fleet kills its processes and exits. */
  readonly handlesInterrupt?: boolean;
  /** Receives the log lines of all nodes. */
  readonly onLog?: (line: string) => void;
}

/** A process ended by signal N exits with 128 + N, as shells report it. */
const SIGNAL_EXIT_BASE = 128;
const START_TIMEOUT_MS = 30_000;
const POLL_MS = 50;
/** The V8 option that operators are advised to set for nodes with bounded memory. */
const SMALL_HEAP_OPTION = '--max-semi-space-size=2';

/** Starts the processes of a fleet and kills them, and no others, on close or on SIGTERM or SIGINT. */
export class Fleet {
  readonly members: FleetMember[] = [];
  platformUrl = '';
  private readonly children = new Set<ChildProcess>();
  private readonly killChildrenAndExit = (signal: NodeJS.Signals): void => {
    this.children.forEach(child => child.kill('SIGKILL'));
    process.exit(SIGNAL_EXIT_BASE + constants.signals[signal]);
  };

  constructor(private readonly options: FleetOptions) {
    process.once('SIGTERM', this.killChildrenAndExit);
    // With an owner that waits for SIGINT, exiting here would pre-empt its close.
    if (options.handlesInterrupt !== true) {
      process.once('SIGINT', this.killChildrenAndExit);
    }
  }

  /** Starts the stand-in platform, then all nodes and servers; resolves once all nodes answer. */
  async start(): Promise<void> {
    const [port] = await freePorts(1);
    this.platformUrl = `http://127.0.0.1:${port}`;
    this.spawnCommand(['stand-in', 'platform', '--port', String(port)]);
    await this.waitForUrl(`${this.platformUrl}/counts`);
    const plans = this.planMembers();
    const ports = await freePorts(plans.length * 5);
    for (const [index, plan] of plans.entries()) {
      const memberPorts = ports.slice(index * 5, index * 5 + 5);
      this.members.push(this.startMember(plan, memberPorts));
    }
    await Promise.all(
      this.members.map(member =>
        this.waitForUrl(`${operatorUrl(member)}/status`),
      ),
    );
  }

  /** Submits a ticket to the first node and returns the JSON of its answer. */
  async submit(ticket: string): Promise<unknown> {
    const [first] = this.members;
    if (first === undefined) throw new Error('the fleet has no node');
    const res = await request(`${operatorUrl(first)}/tickets`, {
      method: 'POST',
      body: ticket,
    });
    return res.body.json();
  }

  /** Waits until a condition holds for the status of every running node; returns the time taken, milliseconds. Throws on a timeout. */
  async waitForAll(
    condition: (status: FleetStatus) => boolean,
    timeoutMs = START_TIMEOUT_MS,
  ): Promise<number> {
    const startedAt = performance.now();
    for (;;) {
      const statuses = await this.statuses();
      if (
        statuses.length === this.running.length &&
        statuses.every(condition)
      ) {
        return performance.now() - startedAt;
      }
      if (performance.now() - startedAt > timeoutMs)
        throw new Error('nodes did not reach the expected state in time');
      await sleep(POLL_MS);
    }
  }

  /** Waits until every node has at least a configuration revision and sees exactly `count` servers up. */
  async waitForServers(
    revision: number,
    count: number,
    timeoutMs = START_TIMEOUT_MS,
  ): Promise<void> {
    const isUp = (server: {state: string}): boolean => server.state === 'up';
    await this.waitForAll(
      status =>
        status.configRevision >= revision &&
        status.servers.filter(isUp).length === count,
      timeoutMs,
    );
  }

  /** Status of each running node that answers. */
  async statuses(): Promise<FleetStatus[]> {
    const results = await Promise.all(
      this.running.map(member =>
        getJson<FleetStatus>(`${operatorUrl(member)}/status`),
      ),
    );
    return results.filter(status => status !== undefined);
  }

  /** Members whose node process runs. */
  get running(): FleetMember[] {
    return this.members.filter(
      member =>
        member.node.exitCode === null && member.node.signalCode === null,
    );
  }

  /** Starts a new node and server on the ports of a member whose processes have ended. */
  restart(member: FleetMember): void {
    const plan = this.planMembers().find(p => p.nodeId === member.nodeId);
    if (plan === undefined) return;
    const {caller, data, control, operator} = member.ports;
    const ports = [caller, data, control, operator, member.serverPort];
    const next = this.startMember(plan, ports);
    member.node = next.node;
    member.server = next.server;
  }

  /** Requests a control path of a member's stand-in server, such as `slowdown/5`; returns undefined if it does not answer. */
  async control(member: FleetMember, path: string): Promise<unknown> {
    return getJson(`http://127.0.0.1:${member.serverPort}/control/${path}`);
  }

  async close(): Promise<void> {
    await Promise.all([...this.children].map(killProcess));
    process.off('SIGTERM', this.killChildrenAndExit);
    process.off('SIGINT', this.killChildrenAndExit);
  }

  private planMembers(): Array<{
    nodeId: string;
    domain: string;
    service: FleetService;
  }> {
    const {domains, services} = this.options;
    let count = 0;
    return services.flatMap(service =>
      Array.from({length: service.servers}, () => {
        const domain = domains[count % domains.length] ?? 'domain-a';
        return {nodeId: `vm-${++count}`, domain, service};
      }),
    );
  }

  private startMember(
    plan: {nodeId: string; domain: string; service: FleetService},
    ports: readonly number[],
  ): FleetMember {
    const [caller = 0, data = 0, control = 0, operator = 0, serverPort = 0] =
      ports;
    const settings = `[node]
id = ${plan.nodeId}
domain = ${plan.domain}
caller_port = ${caller}
data_port = ${data}
control_port = ${control}
operator_port = ${operator}
grace_seconds = 10

[platform]
url = ${this.platformUrl}
${this.options.extraSettings ?? ''}`;
    const node = this.spawnCommand(['node', '--settings', '-'], settings);
    const {service} = plan;
    const server = this.spawnCommand([
      'stand-in',
      'server',
      ...['--service', service.name],
      ...['--port', String(serverPort)],
      ...['--operator', `http://127.0.0.1:${operator}`],
      ...['--gateway', `http://127.0.0.1:${caller}`],
      ...['--slots', String(service.slots)],
      ...['--mean-ms', String(service.meanMs)],
      ...['--variability', String(service.variability)],
    ]);
    return {
      nodeId: plan.nodeId,
      domain: plan.domain,
      region: 'region-1',
      service: service.name,
      ports: {caller, data, control, operator},
      serverPort,
      node,
      server,
    };
  }

  private spawnCommand(args: readonly string[], input = ''): ChildProcess {
    const [program = process.execPath, ...leading] = this.options.command;
    const child = spawn(program, [...leading, ...args], {
      env: {...process.env, NODE_OPTIONS: SMALL_HEAP_OPTION},
      stdio: [
        'pipe',
        this.options.onLog === undefined ? 'ignore' : 'pipe',
        'inherit',
      ],
    });
    this.children.add(child);
    child.once('exit', () => this.children.delete(child));
    child.stdin?.end(input);
    const {onLog} = this.options;
    if (onLog !== undefined) {
      child.stdout?.setEncoding('utf8').on('data', (text: string) => {
        text
          .split('\n')
          .filter(line => line !== '')
          .forEach(onLog);
      });
    }
    return child;
  }

  private async waitForUrl(url: string): Promise<void> {
    const end = performance.now() + START_TIMEOUT_MS;
    while ((await getJson(url)) === undefined) {
      if (performance.now() > end) throw new Error(`no answer from ${url}`);
      await sleep(POLL_MS);
    }
  }
}

/** The parts of a node's status that experiments use. */
export interface FleetStatus {
  readonly node: string;
  readonly configRevision: number;
  readonly membershipDigest: number;
  readonly members: ReadonlyArray<{
    nodeId: string;
    status: string;
    servers: string[];
  }>;
  readonly servers: ReadonlyArray<{id: string; state: string}>;
  readonly invariants: {checked: number; broken: number};
  readonly store: {made: number; failed: number};
  readonly process: {
    rssBytes: number;
    heapUsedBytes: number;
    cpuMicros: number;
    uptimeSeconds: number;
    eventLoopP99Us: number;
  };
}

/** URL of the operator interface of a member's node. */
export function operatorUrl(member: FleetMember): string {
  return `http://127.0.0.1:${member.ports.operator}`;
}

/** URL of the caller interface of a member's node. */
export function callerUrl(member: FleetMember): string {
  return `http://127.0.0.1:${member.ports.caller}`;
}

/** Kills a child process with SIGKILL and resolves once it has exited. */
export async function killProcess(child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) return;
  const gone = new Promise<void>(done => child.once('exit', () => done()));
  child.kill('SIGKILL');
  await gone;
}

async function getJson<T>(url: string): Promise<T | undefined> {
  try {
    const res = await request(url, {headersTimeout: 2_000});
    const text = await res.body.text();
    return res.statusCode === 200 ? (parseJsonOrText(text) as T) : undefined;
  } catch {
    return undefined;
  }
}

function parseJsonOrText(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}
