/** Callers, gateways, gates and servers in virtual time. */
import {
  CallHandler,
  fingerprintOf,
  GateTask,
  OwnServerInterface,
} from '@goldcresthill/node';
import type {
  AttemptResult,
  HandledOutcome,
  OutgoingCall,
} from '@goldcresthill/node';
import {ServiceRouter} from '@goldcresthill/routing';
import {MemoryPlatform, VirtualTimers} from '@goldcresthill/test-utils';
import {serverId} from '@goldcresthill/types';
import type {NodeAddress} from '@goldcresthill/types';
import type {FaultPlan} from './faults';
import {FaultyNetwork} from './faulty_network';
import {GatewayLinks} from './gateway_links';
import type {LinkMechanisms} from './gateway_links';
import type {LogicalRequest, Submission} from './oracle';
import {SUBMISSION_HEADER, WorldConnections} from './world_connections';
import {DEADLINE_MS, RULES, SERVICE, WorldState} from './world_state';
import type {WorldNode, WorldServer} from './world_state';
import {WorldStore} from './world_store';

/** Mechanisms that can be turned off, to see the checks fail. */
export interface CallMechanisms extends LinkMechanisms {
  readonly resolving: boolean;
  readonly claiming: boolean;
  readonly incarnations: boolean;
  readonly gateDrain: boolean;
}

/** Everything on. */
export const ALL_CALL_MECHANISMS: CallMechanisms = {
  resolving: true,
  fencing: true,
  claiming: true,
  answerChecks: true,
  incarnations: true,
  gateDrain: true,
};

/** What a world starts from. */
export interface CallWorldOptions {
  readonly seed: number;
  readonly faults: FaultPlan;
  readonly nodes?: number;
  readonly requests?: number;
  readonly mechanisms?: Partial<CallMechanisms>;
  /** Share of requests that may be repeated. */
  readonly repeatableShare?: number;
}

/** What came of a trial. */
export interface CallTrial {
  readonly answered: number;
  readonly notRun: number;
  readonly unknown: number;
  readonly kept: number;
  readonly runs: number;
  readonly trace: readonly string[];
}

const DEFAULT_NODES = 4;
const DEFAULT_REQUESTS = 12;
const DEFAULT_REPEATABLE_SHARE = 0.25;
const SLOTS = 3;
const DOMAINS = 2;
const REQUEST_GAP_MS = 8;
/** Requests that come when faults of the first have had time to work. */
const LATER_SHARE = 0.2;
const LATER_MS = 2_500;
const KEYED_SHARE = 0.6;
/** Callers that send the same again elsewhere while the first is under way. */
const IMPATIENT_SHARE = 0.3;
const IMPATIENT_MS = 40;
const RESEND_AFTER_MS = 400;
const MAX_RESENDS = 2;
const ANNOUNCE_MS = 1_000;
const RESTART_MS = 150;
const END_MS = 15_000;

/** Runs one trial. Throws an OracleError or InvariantError when something is broken. */
export async function runCallTrial(
  options: CallWorldOptions,
): Promise<CallTrial> {
  return new CallWorld(options).run();
}

class CallWorld {
  private readonly state: WorldState;
  private readonly network: FaultyNetwork;
  private readonly links: GatewayLinks;
  private readonly platform = new MemoryPlatform();
  private readonly mechanisms: CallMechanisms;
  private boots = 0;
  private submissions = 0;

  constructor(private readonly options: CallWorldOptions) {
    this.mechanisms = {...ALL_CALL_MECHANISMS, ...options.mechanisms};
    this.state = new WorldState(options.seed, options.faults);
    this.network = new FaultyNetwork(this.state, {
      kill: node => this.kill(node),
      killServer: node => this.killServer(node),
      drain: node => this.drain(node),
    });
    this.links = new GatewayLinks(this.state, this.network, this.mechanisms);
    const count = options.nodes ?? DEFAULT_NODES;
    for (let index = 0; index < count; index++) {
      this.state.nodes.push(this.bootNode(index, this.newServer()));
    }
    this.updateRouters();
  }

  async run(): Promise<CallTrial> {
    const {state} = this;
    const count = this.options.requests ?? DEFAULT_REQUESTS;
    for (let i = 0; i < count; i++) {
      const isLater = state.random() < LATER_SHARE;
      const later = isLater ? LATER_MS * (1 + state.random()) : 0;
      const dueAt = i * REQUEST_GAP_MS * (0.5 + state.random()) + later;
      state.clock.after(dueAt, () => this.newRequest(i));
    }
    try {
      await state.clock.runUntilSettled(END_MS);
    } catch (err) {
      state.failed(err);
    }
    if (state.fault !== undefined) throw this.withTrace(state.fault);
    return {...state.oracle.counts, runs: state.runs, trace: state.trace};
  }

  private withTrace(err: unknown): unknown {
    if (err instanceof Error) {
      const steps = this.state.trace.join('\n');
      err.message += `\nseed ${this.options.seed}, last steps:\n${steps}`;
    }
    return err;
  }

  private newRequest(index: number): void {
    const {random, clock, nodes} = this.state;
    const share = this.options.repeatableShare ?? DEFAULT_REPEATABLE_SHARE;
    const once = random() >= share;
    const key = once && random() < KEYED_SHARE ? `key-${index}` : undefined;
    const request = {id: `r${index}`, once, key};
    this.submit(request, 0, Math.floor(random() * nodes.length));
    if (key !== undefined && random() < IMPATIENT_SHARE) {
      const again = (): void => this.submit(request, MAX_RESENDS, index);
      clock.after(random() * IMPATIENT_MS, again);
    }
  }

  private submit(request: LogicalRequest, resends: number, at: number): void {
    const node = this.state.nodes[at % this.state.nodes.length];
    if (node === undefined) return;
    const number = this.submissions++;
    this.state.note(`${request.id}#${number} to ${node.address.nodeId}`);
    const submission = this.state.oracle.submit(request, number);
    const resend = (): void => {
      if (resends < MAX_RESENDS) this.submit(request, resends + 1, at + 1);
    };
    this.state.clock.after(DEADLINE_MS + RESEND_AFTER_MS, () => {
      const waits = submission.told === undefined;
      if (waits && request.key !== undefined) resend();
    });
    if (node.timers.isDead) return;
    const receive = (): void => this.receive(node, submission, resend);
    node.timers.after(this.state.delay(), receive);
  }

  private receive(
    node: WorldNode,
    submission: Submission,
    resend: () => void,
  ): void {
    const call = this.callOf(node, submission);
    const {method, path, body} = call;
    const fingerprint = (): string =>
      fingerprintOf({service: SERVICE, method, path, body});
    const handled = {call, router: node.router, sampled: false, fingerprint};
    node.handler.handle(handled, outcome => {
      const fault = this.state.faults.at('callerAnswer');
      if (fault === 'lose' || fault === 'silence') return;
      if (this.network.strike(fault, node, node)) return;
      this.tell(submission, outcome, resend);
    });
  }

  private callOf(node: WorldNode, submission: Submission): OutgoingCall {
    const {request, number} = submission;
    return {
      info: {
        callId: `${request.id}#${number}`,
        service: SERVICE,
        repeatable: !request.once,
        key: request.key,
        deadline: node.timers.now() + DEADLINE_MS,
        retriesLeft: RULES.maxRetries,
        depth: 1,
        route: '',
        origin: '',
        priority: 0,
        objective: node.timers.now() + DEADLINE_MS,
        returning: false,
      },
      method: request.once ? 'POST' : 'GET',
      path: `/${request.id}`,
      headers: {[SUBMISSION_HEADER]: String(number)},
      body: Buffer.from(request.id),
      maxBufferedBytes: RULES.maxBufferedBytes,
    };
  }

  private tell(
    submission: Submission,
    outcome: HandledOutcome,
    resend: () => void,
  ): void {
    const {oracle} = this.state;
    this.state.check(() => {
      switch (outcome.type) {
        case 'answered':
          return oracle.answered(submission, bodyOf(outcome.result), false);
        case 'kept':
          return oracle.answered(
            submission,
            outcome.answer.body.toString(),
            true,
          );
        case 'failed':
          return outcome.runState === 'notRun'
            ? oracle.notRun(submission)
            : oracle.unknown(submission);
      }
    });
    const {request, number, told} = submission;
    this.state.note(`${request.id}#${number} told ${told}`);
    if (told === 'notRun') resend();
  }

  private bootNode(index: number, server: WorldServer): WorldNode {
    const timers = new VirtualTimers(this.state.clock);
    const address = this.addressOf(index);
    const router = new ServiceRouter(timers.now(), {
      gatewayNodeId: address.nodeId,
      rules: RULES,
      random: this.state.random,
    });
    const gate = this.bootGate(address, timers, server);
    const handler = this.bootHandler(address, timers);
    const node: WorldNode = {
      index,
      address,
      timers,
      gate,
      router,
      server,
      handler,
    };
    gate.post({type: 'configure', rules: new Map([[SERVICE, RULES]])});
    this.announce(node);
    timers.every(ANNOUNCE_MS, () => this.announce(node));
    return node;
  }

  private addressOf(index: number): NodeAddress {
    const boot = ++this.boots;
    return {
      nodeId: `n${index}`,
      bootId: this.mechanisms.incarnations ? boot : 1,
      host: '127.0.0.1',
      dataPort: 1,
      controlPort: 1,
      domain: `d${index % DOMAINS}`,
      region: 'r',
    };
  }

  private bootHandler(
    address: NodeAddress,
    timers: VirtualTimers,
  ): CallHandler {
    const {nodeId} = address;
    const {clock, random} = this.state;
    const {claiming, resolving} = this.mechanisms;
    const self = (): WorldNode => {
      const node = this.state.node(nodeId);
      if (node === undefined) throw new RangeError(`no node ${nodeId}`);
      // A dead process goes on with its own timers, which do nothing any more.
      return {...node, address, timers};
    };
    return new CallHandler({
      address,
      timers,
      store: new WorldStore(clock, this.platform, random, () =>
        this.network.storeWeather('claimWrite'),
      ),
      claiming,
      resolving,
      send: (call, pick, suspect, _retriesLeft, done) =>
        this.links.sendAttempt(self(), call, pick, suspect, done),
      askOwner: record => this.links.askOwner(self(), record),
      onDecision: (callId, _sampled, decision) =>
        this.state.note(`${nodeId} ${callId} ${JSON.stringify(decision)}`),
      onFault: err => this.state.failed(err),
    });
  }

  private bootGate(
    address: NodeAddress,
    timers: VirtualTimers,
    server: WorldServer,
  ): GateTask {
    const {nodeId, bootId} = address;
    return new GateTask({
      nodeId,
      incarnation: bootId,
      timers,
      connect: () =>
        new WorldConnections(this.state, this.network, nodeId, server, timers),
      serverInterface: new OwnServerInterface(),
      events: {
        onServers: () => {
          const update = (): void => this.updateRouters();
          this.state.clock.after(this.state.delay(), update);
        },
        onServerDied: () => undefined,
        onCompleted: () => undefined,
        onFault: err => this.state.failed(err),
        onDecision: () => undefined,
      },
    });
  }

  private announce(node: WorldNode): void {
    const {server} = node;
    if (server.dead) return;
    const leaving = server.draining && this.mechanisms.gateDrain;
    node.gate.post({
      type: 'announce',
      announcement: {
        service: SERVICE,
        port: 1,
        slots: SLOTS,
        instance: server.instance,
        state: leaving ? 'draining' : 'up',
      },
    });
  }

  private newServer(): WorldServer {
    return {
      instance: `s${++this.boots}`,
      dead: false,
      draining: false,
      timers: new VirtualTimers(this.state.clock),
    };
  }

  // Gateways hear of each other's servers late, and of dead ones not at all.
  private updateRouters(): void {
    const places = this.state.nodes.map(node => ({
      id: serverId(node.address.nodeId, SERVICE),
      nodeId: node.address.nodeId,
      domain: node.address.domain,
      slots: SLOTS,
      state: 'up' as const,
      networkUs: 500,
      instance: node.server.instance,
    }));
    this.state.nodes.forEach(node => node.router.setServers(places));
  }

  private kill(node: WorldNode): void {
    this.state.note(`${node.address.nodeId} dies`);
    node.timers.kill();
    const {index, server} = node;
    this.state.clock.after(RESTART_MS, () => {
      this.state.nodes[index] = this.bootNode(index, server);
      this.updateRouters();
    });
  }

  private killServer(node: WorldNode): void {
    const {server} = node;
    this.state.note(`server ${server.instance} dies`);
    server.dead = true;
    server.timers.kill();
    this.state.clock.after(RESTART_MS, () => {
      const current = this.state.nodes[node.index];
      if (current === undefined) return;
      current.server = this.newServer();
      this.state.serverOf.set(current.address.nodeId, current.server);
      if (!current.timers.isDead) this.announce(current);
      this.updateRouters();
    });
  }

  private drain(node: WorldNode): void {
    const {server} = node;
    this.state.note(`${node.address.nodeId} drains`);
    server.draining = true;
    this.state.oracle.drained(this.state.clock.now, server.instance);
    node.timers.after(this.state.delay(), () => this.announce(node));
  }
}

function bodyOf(result: AttemptResult & {type: 'answered'}): string {
  return result.body.type === 'whole' ? result.body.bytes.toString() : '';
}
