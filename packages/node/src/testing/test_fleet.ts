/** Runs a few nodes with fake servers and a platform in one process, on real sockets, for tests. */
import {PassThrough} from 'node:stream';
import {Logger} from '@goldcresthill/logger';
import {PlatformStore} from '@goldcresthill/platform';
import {parseSettings} from '@goldcresthill/settings';
import {
  Announcer,
  FakeServer,
  freePorts,
  PlatformServer,
  TcpRelay,
  seededRandom,
} from '@goldcresthill/test-utils';
import {request} from 'undici';
import {Node} from '../node';

/** One VM of the fleet: a node and its server. */
export interface TestMember {
  readonly id: string;
  readonly node: Node;
  readonly callerUrl: string;
  readonly operatorUrl: string;
  readonly dataUrl: string;
  /** Relays the connections of other gateways to this node's gate. */
  readonly dataRelay: TcpRelay;
  server: FakeServer;
  announcer: Announcer;
  /** Number of crashes of its server. */
  crashes: number;
}

/** The parts of an answer that tests check. */
export interface TestAnswer {
  readonly status: number;
  readonly kind: string | undefined;
  readonly runState: string | undefined;
  readonly resendSafe: string | undefined;
  readonly callId: string;
  readonly text: string;
}

export interface TestFleetOptions {
  readonly nodes: number;
  readonly ticket?: string;
  readonly meanMs?: number;
  /** Slots of each server. */
  readonly slots?: number;
  /** Time after which a node takes a call to the store for lost, milliseconds. */
  readonly storeTimeoutMs?: number;
}

const DEFAULT_SLOTS = 10;
const DEFAULT_STORE_TIMEOUT_MS = 300;
const CONDITION_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 10;

const DEFAULT_TICKET = `[ticket]
number = 1

[service orders]
warm_up_ms = 0
silence_ms = 50
`;

/** Starts nodes and servers, waits for conditions, and closes everything. */
export class TestFleet {
  readonly platform = new PlatformServer();
  readonly members: TestMember[] = [];
  private readonly relays: TcpRelay[] = [];
  platformRelay: TcpRelay | undefined;

  constructor(private readonly options: TestFleetOptions) {}

  async start(): Promise<void> {
    const url = await this.platform.listen();
    const relay = new TcpRelay(Number(new URL(url).port));
    this.platformRelay = relay;
    this.relays.push(relay);
    const platformUrl = `http://127.0.0.1:${await relay.listen()}`;
    for (let i = 0; i < this.options.nodes; i++) {
      this.members.push(await this.startMember(i, platformUrl));
    }
    await this.submit(this.options.ticket ?? DEFAULT_TICKET);
    const count = this.options.nodes;
    await this.waitUntil(() =>
      this.members.every(({node}) => {
        const {servers, configRevision} = node.status();
        return (
          configRevision > 0 &&
          servers.filter(s => s.state === 'up').length === count
        );
      }),
    );
  }

  member(index: number): TestMember {
    const member = this.members[index];
    if (member === undefined) throw new RangeError(`no member ${index}`);
    return member;
  }

  async submit(ticket: string, memberIndex = 0): Promise<TestAnswer> {
    return this.send(
      `${this.member(memberIndex).operatorUrl}/tickets`,
      'POST',
      {},
      ticket,
    );
  }

  /** Sends a call to the service `orders` through the gateway of a member. */
  call(
    memberIndex: number,
    method: 'GET' | 'POST',
    path: string,
    headers: Record<string, string> = {},
    body?: string,
  ): Promise<TestAnswer> {
    const url = this.member(memberIndex).callerUrl + path;
    return this.send(url, method, {'gh-service': 'orders', ...headers}, body);
  }

  /** Counts the runs of a request at all servers, by its `x-request-id`. */
  countRuns(id: string): number {
    return this.members.reduce(
      (sum, m) => sum + (m.server.runs.get(id) ?? 0),
      0,
    );
  }

  get brokenInvariants(): number {
    return this.members.reduce(
      (sum, m) => sum + m.node.status().invariants.broken,
      0,
    );
  }

  /** Waits for a condition; throws after a timeout, which only bounds a hanging test and is no performance check. */
  async waitUntil(holds: () => boolean | Promise<boolean>): Promise<void> {
    const end = performance.now() + CONDITION_TIMEOUT_MS;
    while (!(await holds())) {
      if (performance.now() > end)
        throw new Error('condition not met before the timeout');
      await new Promise(done => setTimeout(done, POLL_INTERVAL_MS));
    }
  }

  async close(): Promise<void> {
    for (const member of this.members) {
      member.announcer.close();
      await member.node.close();
      await member.server.close();
    }
    await Promise.all(this.relays.map(relay => relay.close()));
    await this.platform.close();
  }

  /** Replaces the server of a member by a new one, as after a crash. */
  async restartServer(member: TestMember): Promise<void> {
    member.announcer.close();
    await member.server.close();
    await this.startServer(member);
  }

  private async startMember(
    index: number,
    platformUrl: string,
  ): Promise<TestMember> {
    const [caller = 0, data = 0, control = 0, operator = 0] =
      await freePorts(4);
    const {storeTimeoutMs = DEFAULT_STORE_TIMEOUT_MS} = this.options;
    const dataRelay = new TcpRelay(data);
    this.relays.push(dataRelay);
    const id = `vm-${index + 1}`;
    const settings = parseSettings(`[node]
id = ${id}
domain = domain-${index % 3}
caller_port = ${caller}
data_port = ${data}
advertised_data_port = ${await dataRelay.listen()}
control_port = ${control}
operator_port = ${operator}
grace_seconds = 10
[membership]
round_ms = 200
[platform]
url = ${platformUrl}
timeout_ms = ${storeTimeoutMs}
`)._unsafeUnwrap();
    const logger = new Logger({
      node: id,
      stream: new PassThrough().resume(),
      decisionPercent: 100,
    });
    const {url, timeout_ms: timeoutMs} = settings.platform;
    const store = new PlatformStore({url, timeoutMs});
    const node = new Node({settings, store, logger});
    await node.start();
    const member = {
      id,
      node,
      callerUrl: `http://127.0.0.1:${caller}`,
      operatorUrl: `http://127.0.0.1:${operator}`,
      dataUrl: `http://127.0.0.1:${data}`,
      dataRelay,
      crashes: 0,
    } as TestMember;
    await this.startServer(member);
    return member;
  }

  private async startServer(member: TestMember): Promise<void> {
    const {slots = DEFAULT_SLOTS} = this.options;
    const server = new FakeServer({
      slots,
      serviceTime: {meanMs: this.options.meanMs ?? 2, variability: 0},
      random: seededRandom(1),
      gatewayUrl: member.callerUrl,
      onCrash: () => {
        member.crashes++;
        member.announcer.close();
        void server.close();
      },
    });
    const port = await server.listen();
    member.server = server;
    member.announcer = new Announcer({
      operatorUrl: member.operatorUrl,
      service: 'orders',
      port,
      slots,
      instance: `${member.id}-${port}-${member.crashes}`,
      intervalMs: 200,
    });
    await member.announcer.start();
  }

  private async send(
    url: string,
    method: 'GET' | 'POST',
    headers: Record<string, string>,
    body?: string,
  ): Promise<TestAnswer> {
    const res = await request(url, {
      method,
      headers,
      body,
      headersTimeout: 30_000,
    });
    const headerValue = (name: string): string | undefined => {
      const value = res.headers[name];
      return typeof value === 'string' ? value : undefined;
    };
    return {
      status: res.statusCode,
      kind: headerValue('gh-error-kind'),
      runState: headerValue('gh-run-state'),
      resendSafe: headerValue('gh-resend-safe'),
      callId: headerValue('gh-call-id') ?? '',
      text: await res.body.text(),
    };
  }
}
