/** Simulates callers, gateways, gates and servers in virtual time, with injected faults. */
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
import type {LogicalRequest, Submission} from './guarantee_checker';
import {
  SUBMISSION_HEADER,
  SimulatedServerConnections,
} from './simulated_server_connections';
import {DEADLINE_MS, RULES, SERVICE, SimulationState} from './simulation_state';
import type {SimulatedNode, SimulatedServer} from './simulation_state';
import {SimulatedStore} from './simulated_store';

/** Mechanisms that a test can disable to show that the checks then detect violations. */
export interface CallMechanisms extends LinkMechanisms {
  readonly resolving: boolean;
  readonly claiming: boolean;
  readonly incarnations: boolean;
  readonly gateDrain: boolean;
}

/** All mechanisms enabled. */
export const ALL_CALL_MECHANISMS: CallMechanisms = {
  resolving: true,
  fencing: true,
  claiming: true,
  answerChecks: true,
  incarnations: true,
  gateDrain: true,
};

/** Options of runCallTrial. */
export interface CallTrialOptions {
  readonly seed: number;
  readonly faults: FaultPlan;
  readonly nodes?: number;
  readonly requests?: number;
  readonly mechanisms?: Partial<CallMechanisms>;
  /** Share of requests that are safe to repeat, from 0 to 1. */
  readonly repeatableShare?: number;
}

/** Counts of the answers and runs of a call trial, and its trace. */
export interface CallTrialResult {
  readonly answered: number;
  readonly notRun: number;
  readonly unknown: number;
  /** Answers stored for a key by an earlier call; they also count as answered. */
  readonly kept: number;
  readonly runs: number;
  /** The last steps, oldest first. */
  readonly trace: readonly string[];
}

const DEFAULT_NODES = 4;
const DEFAULT_REQUESTS = 12;
const DEFAULT_REPEATABLE_SHARE = 0.25;
const SLOTS_PER_SERVER = 3;
const DOMAIN_COUNT = 2;
const REQUEST_INTERVAL_MS = 8;
/** Share of requests that start later, when faults injected into earlier ones have taken effect. */
const DELAYED_SHARE = 0.2;
const DELAYED_MIN_MS = 2_500;
const KEYED_SHARE = 0.6;
/**
 * Share of keyed requests that are submitted a second time, as a rule to
 * another node, while the first is in flight.
 */
const CONCURRENT_RESEND_SHARE = 0.3;
const CONCURRENT_RESEND_MAX_DELAY_MS = 40;
const RESEND_AFTER_MS = 400;
const MAX_RESENDS = 2;
const ANNOUNCE_INTERVAL_MS = 1_000;
const RESTART_DELAY_MS = 150;
const TRIAL_END_MS = 15_000;

/**
 * Runs one trial. Rejects with a GuaranteeError or InvariantError, its message
 * extended by seed and trace, when a guarantee or invariant is violated.
 */
export async function runCallTrial(
  options: CallTrialOptions,
): Promise<CallTrialResult> {
  return new CallSimulation(options).run();
}

class CallSimulation {
  private readonly state: SimulationState;
  private readonly network: FaultyNetwork;
  private readonly links: GatewayLinks;
  private readonly platform = new MemoryPlatform();
  private readonly mechanisms: CallMechanisms;
  private bootCount = 0;
  private submissionCount = 0;

  constructor(private readonly options: CallTrialOptions) {
    this.mechanisms = {...ALL_CALL_MECHANISMS, ...options.mechanisms};
    this.state = new SimulationState(options.seed, options.faults);
    this.network = new FaultyNetwork(this.state, {
      killNode: node => this.killNode(node),
      killServer: node => this.killServer(node),
      drainServer: node => this.drainServer(node),
    });
    this.links = new GatewayLinks(this.state, this.network, this.mechanisms);
    const nodeCount = options.nodes ?? DEFAULT_NODES;
    for (let index = 0; index < nodeCount; index++) {
      this.state.nodes.push(this.bootNode(index, this.createServer()));
    }
    this.updateRouters();
  }

  async run(): Promise<CallTrialResult> {
    const {state} = this;
    const requestCount = this.options.requests ?? DEFAULT_REQUESTS;
    for (let i = 0; i < requestCount; i++) {
      const isDelayed = state.random() < DELAYED_SHARE;
      const extraDelayMs = isDelayed
        ? DELAYED_MIN_MS * (1 + state.random())
        : 0;
      const delayMs =
        i * REQUEST_INTERVAL_MS * (0.5 + state.random()) + extraDelayMs;
      state.clock.after(delayMs, () => this.startRequest(i));
    }
    try {
      await state.clock.runUntilSettled(TRIAL_END_MS);
    } catch (err) {
      state.recordFailure(err);
    }
    if (state.failure !== undefined) throw this.withTrace(state.failure);
    return {...state.checker.counts, runs: state.runCount, trace: state.trace};
  }

  private withTrace(err: unknown): unknown {
    if (err instanceof Error) {
      const steps = this.state.trace.join('\n');
      err.message += `\nseed ${this.options.seed}, last steps:\n${steps}`;
    }
    return err;
  }

  private startRequest(index: number): void {
    const {random, clock, nodes} = this.state;
    const repeatableShare =
      this.options.repeatableShare ?? DEFAULT_REPEATABLE_SHARE;
    const once = random() >= repeatableShare;
    const key = once && random() < KEYED_SHARE ? `key-${index}` : undefined;
    const request = {id: `r${index}`, once, key};
    this.submit(request, 0, Math.floor(random() * nodes.length));
    if (key !== undefined && random() < CONCURRENT_RESEND_SHARE) {
      const resend = (): void => this.submit(request, MAX_RESENDS, index);
      clock.after(random() * CONCURRENT_RESEND_MAX_DELAY_MS, resend);
    }
  }

  private submit(
    request: LogicalRequest,
    resends: number,
    nodeIndex: number,
  ): void {
    const node = this.state.nodes[nodeIndex % this.state.nodes.length];
    if (node === undefined) return;
    const number = this.submissionCount++;
    this.state.addTrace(`${request.id}#${number} to ${node.address.nodeId}`);
    const submission = this.state.checker.registerSubmission(request, number);
    const resend = (): void => {
      if (resends < MAX_RESENDS)
        this.submit(request, resends + 1, nodeIndex + 1);
    };
    this.state.clock.after(DEADLINE_MS + RESEND_AFTER_MS, () => {
      const isPending = submission.reportedOutcome === undefined;
      if (isPending && request.key !== undefined) resend();
    });
    if (node.timers.isDead) return;
    const receive = (): void => this.receive(node, submission, resend);
    node.timers.after(this.state.delayMs(), receive);
  }

  private receive(
    node: SimulatedNode,
    submission: Submission,
    resend: () => void,
  ): void {
    const call = this.toOutgoingCall(node, submission);
    const {method, path, body} = call;
    const fingerprint = (): string =>
      fingerprintOf({service: SERVICE, method, path, body});
    const handled = {call, router: node.router, sampled: false, fingerprint};
    node.handler.handle(handled, outcome => {
      const fault = this.state.faults.faultAt('callerAnswer');
      if (fault === 'lose' || fault === 'silence') return;
      if (this.network.applyFault(fault, node, node)) return;
      this.deliverOutcome(submission, outcome, resend);
    });
  }

  private toOutgoingCall(
    node: SimulatedNode,
    submission: Submission,
  ): OutgoingCall {
    const {request, number} = submission;
    return {
      attributes: {
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

  private deliverOutcome(
    submission: Submission,
    outcome: HandledOutcome,
    resend: () => void,
  ): void {
    const {checker} = this.state;
    this.state.check(() => {
      switch (outcome.type) {
        case 'answered':
          return checker.recordAnswer(
            submission,
            bodyOf(outcome.result),
            false,
          );
        case 'kept':
          return checker.recordAnswer(
            submission,
            outcome.answer.body.toString(),
            true,
          );
        case 'failed':
          return outcome.runState === 'notRun'
            ? checker.recordNotRun(submission)
            : checker.recordUnknown(submission);
      }
    });
    const {request, number, reportedOutcome} = submission;
    this.state.addTrace(
      `${request.id}#${number} reported as ${reportedOutcome}`,
    );
    if (reportedOutcome === 'notRun') resend();
  }

  private bootNode(index: number, server: SimulatedServer): SimulatedNode {
    const timers = new VirtualTimers(this.state.clock);
    const address = this.createAddress(index);
    const router = new ServiceRouter(timers.now(), {
      gatewayNodeId: address.nodeId,
      rules: RULES,
      random: this.state.random,
    });
    const gate = this.createGate(address, timers, server);
    const handler = this.createHandler(address, timers);
    const node: SimulatedNode = {
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
    timers.every(ANNOUNCE_INTERVAL_MS, () => this.announce(node));
    return node;
  }

  private createAddress(index: number): NodeAddress {
    const bootId = ++this.bootCount;
    return {
      nodeId: `n${index}`,
      bootId: this.mechanisms.incarnations ? bootId : 1,
      host: '127.0.0.1',
      dataPort: 1,
      controlPort: 1,
      domain: `d${index % DOMAIN_COUNT}`,
      region: 'r',
    };
  }

  private createHandler(
    address: NodeAddress,
    timers: VirtualTimers,
  ): CallHandler {
    const {nodeId} = address;
    const {clock, random} = this.state;
    const {claiming, resolving} = this.mechanisms;
    const self = (): SimulatedNode => {
      const node = this.state.node(nodeId);
      if (node === undefined) throw new RangeError(`no node ${nodeId}`);
      // Code of a dead process keeps its own timers, which no longer fire.
      return {...node, address, timers};
    };
    return new CallHandler({
      address,
      timers,
      store: new SimulatedStore(clock, this.platform, random, () =>
        this.network.storeModeAt('claimWrite'),
      ),
      claiming,
      resolving,
      send: (call, pick, suspect, _retriesLeft, done) =>
        this.links.sendAttempt(self(), call, pick, suspect, done),
      askOwner: record => this.links.askOwner(self(), record),
      onDecision: (callId, _sampled, decision) =>
        this.state.addTrace(`${nodeId} ${callId} ${JSON.stringify(decision)}`),
      onFault: err => this.state.recordFailure(err),
    });
  }

  private createGate(
    address: NodeAddress,
    timers: VirtualTimers,
    server: SimulatedServer,
  ): GateTask {
    const {nodeId, bootId} = address;
    return new GateTask({
      nodeId,
      incarnation: bootId,
      timers,
      connect: () =>
        new SimulatedServerConnections(
          this.state,
          this.network,
          nodeId,
          server,
          timers,
        ),
      serverInterface: new OwnServerInterface(),
      events: {
        onServers: () => {
          const update = (): void => this.updateRouters();
          this.state.clock.after(this.state.delayMs(), update);
        },
        onServerLeaving: () => undefined,
        onServerDied: () => undefined,
        onCompleted: () => undefined,
        onFault: err => this.state.recordFailure(err),
        onDecision: () => undefined,
      },
    });
  }

  private announce(node: SimulatedNode): void {
    const {server} = node;
    if (server.dead) return;
    const leaving = server.draining && this.mechanisms.gateDrain;
    node.gate.post({
      type: 'announce',
      announcement: {
        service: SERVICE,
        port: 1,
        slots: SLOTS_PER_SERVER,
        instance: server.instance,
        state: leaving ? 'draining' : 'up',
      },
    });
  }

  private createServer(): SimulatedServer {
    return {
      instance: `s${++this.bootCount}`,
      dead: false,
      draining: false,
      timers: new VirtualTimers(this.state.clock),
    };
  }

  // Gateways learn of each other's servers after a delay, and never of dead ones.
  private updateRouters(): void {
    const endpoints = this.state.nodes.map(node => ({
      id: serverId(node.address.nodeId, SERVICE),
      nodeId: node.address.nodeId,
      domain: node.address.domain,
      slots: SLOTS_PER_SERVER,
      state: 'up' as const,
      networkUs: 500,
      instance: node.server.instance,
    }));
    this.state.nodes.forEach(node => node.router.setServers(endpoints));
  }

  private killNode(node: SimulatedNode): void {
    this.state.addTrace(`${node.address.nodeId} dies`);
    node.timers.kill();
    const {index, server} = node;
    this.state.clock.after(RESTART_DELAY_MS, () => {
      this.state.nodes[index] = this.bootNode(index, server);
      this.updateRouters();
    });
  }

  private killServer(node: SimulatedNode): void {
    const {server} = node;
    this.state.addTrace(`server ${server.instance} dies`);
    server.dead = true;
    server.timers.kill();
    this.state.clock.after(RESTART_DELAY_MS, () => {
      const current = this.state.nodes[node.index];
      if (current === undefined) return;
      current.server = this.createServer();
      this.state.restartedServers.set(current.address.nodeId, current.server);
      if (!current.timers.isDead) this.announce(current);
      this.updateRouters();
    });
  }

  private drainServer(node: SimulatedNode): void {
    const {server} = node;
    this.state.addTrace(`${node.address.nodeId} drains`);
    server.draining = true;
    this.state.checker.recordDrain(this.state.clock.now, server.instance);
    node.timers.after(this.state.delayMs(), () => this.announce(node));
  }
}

function bodyOf(result: AttemptResult & {type: 'answered'}): string {
  return result.body.type === 'whole' ? result.body.bytes.toString() : '';
}
