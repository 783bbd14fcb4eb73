/** A few nodes and stand-ins in one process, on real sockets, for tests. */
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

/** One VM of the fleet. */
export interface SmallMember {
  readonly id: string;
  readonly node: Node;
  readonly callerUrl: string;
  readonly operatorUrl: string;
  readonly dataUrl: string;
  /** Stands between gateways and this node's gate. */
  readonly dataRelay: TcpRelay;
  server: FakeServer;
  announcer: Announcer;
  /** How often its server was brought down. */
  crashes: number;
}

/** An answer, with what a caller looks at. */
export interface SmallAnswer {
  readonly status: number;
  readonly kind: string | undefined;
  readonly runState: string | undefined;
  readonly resendSafe: string | undefined;
  readonly callId: string;
  readonly text: string;
}

/** What a fleet starts from. */
export interface SmallFleetOptions {
  readonly nodes: number;
  readonly ticket?: string;
  readonly meanMs?: number;
}

const WAIT_MS = 20_000;
const POLL_MS = 10;

const DEFAULT_TICKET = `[ticket]
number = 1

[service orders]
warm_up_ms = 0
silence_ms = 50
`;

/** Starts nodes and servers, waits for conditions, and closes everything. */
export class SmallFleet {
  readonly platform = new PlatformServer();
  readonly members: SmallMember[] = [];
  private readonly relays: TcpRelay[] = [];
  platformRelay: TcpRelay | undefined;

  constructor(private readonly options: SmallFleetOptions) {}

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
    await this.until(() =>
      this.members.every(({node}) => {
        const {servers, configRevision} = node.status();
        return (
          configRevision > 0 &&
          servers.filter(s => s.state === 'up').length === count
        );
      }),
    );
  }

  member(index: number): SmallMember {
    const member = this.members[index];
    if (member === undefined) throw new RangeError(`no member ${index}`);
    return member;
  }

  async submit(ticket: string, at = 0): Promise<SmallAnswer> {
    return this.send(
      `${this.member(at).operatorUrl}/tickets`,
      'POST',
      {},
      ticket,
    );
  }

  /** Sends a call to the service `orders` by one of the gateways. */
  call(
    at: number,
    method: 'GET' | 'POST',
    path: string,
    headers: Record<string, string> = {},
    body?: string,
  ): Promise<SmallAnswer> {
    const url = this.member(at).callerUrl + path;
    return this.send(url, method, {'gh-service': 'orders', ...headers}, body);
  }

  /** Runs of a request, told by its header, over all servers. */
  runsOf(id: string): number {
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

  /** Waits for a condition; the wait bounds a hanging test and is no verdict on speed. */
  async until(holds: () => boolean | Promise<boolean>): Promise<void> {
    const end = performance.now() + WAIT_MS;
    while (!(await holds())) {
      if (performance.now() > end)
        throw new Error('condition did not come to hold');
      await new Promise(done => setTimeout(done, POLL_MS));
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

  /** Starts a new server process in the place of one that went down. */
  async restartServer(member: SmallMember): Promise<void> {
    member.announcer.close();
    await member.server.close();
    await this.startServer(member);
  }

  private async startMember(
    index: number,
    platformUrl: string,
  ): Promise<SmallMember> {
    const [caller = 0, data = 0, control = 0, operator = 0] =
      await freePorts(4);
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
timeout_ms = 300
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
    } as SmallMember;
    await this.startServer(member);
    return member;
  }

  private async startServer(member: SmallMember): Promise<void> {
    const slots = 10;
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
  ): Promise<SmallAnswer> {
    const res = await request(url, {
      method,
      headers,
      body,
      headersTimeout: 30_000,
    });
    const value = (name: string): string | undefined => {
      const found = res.headers[name];
      return typeof found === 'string' ? found : undefined;
    };
    return {
      status: res.statusCode,
      kind: value('gh-error-kind'),
      runState: value('gh-run-state'),
      resendSafe: value('gh-resend-safe'),
      callId: value('gh-call-id') ?? '',
      text: await res.body.text(),
    };
  }
}
