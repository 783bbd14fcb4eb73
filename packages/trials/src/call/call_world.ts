/** Callers, gateways, gates and servers in virtual time. */
import {claimPath} from '@goldcresthill/attempts';
import type {ClaimRecord, OwnerAnswer} from '@goldcresthill/attempts';
import {
  CallHandler,
  fingerprintOf,
  GateTask,
  ServerConnections,
} from '@goldcresthill/node';
import type {
  AttemptHandle,
  AttemptRequest,
  AttemptResult,
  ExchangeRequest,
  ExchangeResult,
  KeptAnswer,
  OutgoingCall,
  OwnerReply,
  RemoteResolution,
  ServerExchange,
} from '@goldcresthill/node';
import type {Pick} from '@goldcresthill/routing';
import {ServiceRouter} from '@goldcresthill/routing';
import {
  MemoryPlatform,
  seededRandom,
  VirtualClock,
  VirtualTimers,
} from '@goldcresthill/test-utils';
import {DEFAULT_SERVICE_RULES, serverId} from '@goldcresthill/types';
import type {AttemptId, NodeAddress, ServiceRules} from '@goldcresthill/types';
import type {CallFault, CallStep, FaultPlan} from './faults';
import {CallOracle, wholeAnswer} from './oracle';
import type {LogicalRequest, Submission} from './oracle';
import {WorldStore} from './world_store';
import type {StoreWeather} from './world_store';

/** Mechanisms that can be turned off, to see the checks fail. */
export interface CallMechanisms {
  readonly resolving: boolean;
  readonly fencing: boolean;
  readonly claiming: boolean;
  readonly answerChecks: boolean;
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

const SERVICE = 'orders';
const DEFAULT_NODES = 4;
const DEFAULT_REQUESTS = 12;
const SLOTS = 3;
const DEADLINE_MS = 1_500;
const REQUEST_GAP_MS = 8;
/** Requests that come when faults of the first have had time to work. */
const LATER_SHARE = 0.2;
const LATER_MS = 2_500;
const RESEND_AFTER_MS = 400;
const MAX_RESENDS = 2;
const END_MS = 15_000;
const PAUSE_MS = 900;
const WEATHER_MS = 600;
const RESTART_MS = 150;
const LATE_MIN_MS = 100;
const LATE_SPREAD_MS = 2_500;
const TRACE_LINES = 60;

const RULES: ServiceRules = {
  ...DEFAULT_SERVICE_RULES,
  deadlineMs: DEADLINE_MS,
  warmUpMs: 0,
  silenceMs: 60,
  retryPercent: 100,
  hedgePercent: 20,
  shedStatuses: [529],
};

/** One VM: a node and its server. */
interface WorldNode {
  readonly index: number;
  address: NodeAddress;
  timers: VirtualTimers;
  handler: CallHandler;
  gate: GateTask;
  router: ServiceRouter;
  server: WorldServer;
}

/** A server process; it goes on when its node dies. */
interface WorldServer {
  readonly instance: string;
  dead: boolean;
  draining: boolean;
  readonly timers: VirtualTimers;
}

/** Runs one trial. Throws an OracleError or InvariantError when something is broken. */
export async function runCallTrial(
  options: CallWorldOptions,
): Promise<CallTrial> {
  return new CallWorld(options).run();
}

class CallWorld {
  private readonly clock = new VirtualClock();
  private readonly random: () => number;
  private readonly platform = new MemoryPlatform();
  private readonly oracle = new CallOracle();
  private readonly nodes: WorldNode[] = [];
  private readonly mechanisms: CallMechanisms;
  private readonly trace: string[] = [];
  private readonly serverOf = new Map<string, WorldServer>();
  private weather: StoreWeather = 'up';
  private swapNext = false;
  private attemptSeq = 0;
  private boots = 0;
  private runs = 0;
  private lastAnswer: AttemptResult | undefined;
  private fault: unknown;

  constructor(private readonly options: CallWorldOptions) {
    this.random = seededRandom(options.seed);
    this.mechanisms = {...ALL_CALL_MECHANISMS, ...options.mechanisms};
    const count = options.nodes ?? DEFAULT_NODES;
    for (let index = 0; index < count; index++) {
      this.nodes.push(this.bootNode(index, this.newServer()));
    }
    this.updateRouters();
  }

  async run(): Promise<CallTrial> {
    const count = this.options.requests ?? DEFAULT_REQUESTS;
    for (let i = 0; i < count; i++) {
      const later =
        this.random() < LATER_SHARE ? LATER_MS * (1 + this.random()) : 0;
      const dueAt = i * REQUEST_GAP_MS * (0.5 + this.random()) + later;
      this.clock.after(dueAt, () => this.newRequest(i));
    }
    try {
      await this.clock.runUntilSettled(END_MS);
    } catch (err) {
      this.fault ??= err;
    }
    if (this.fault !== undefined) throw this.withTrace(this.fault);
    return {...this.oracle.counts, runs: this.runs, trace: this.trace};
  }

  private withTrace(err: unknown): unknown {
    if (err instanceof Error) {
      err.message += `\nseed ${this.options.seed}, last steps:\n${this.trace.join('\n')}`;
    }
    return err;
  }

  // ---- callers

  private newRequest(index: number): void {
    const once = this.random() >= (this.options.repeatableShare ?? 0.25);
    const key = once && this.random() < 0.6 ? `key-${index}` : undefined;
    const request = {id: `r${index}`, once, key};
    this.submit(request, 0, Math.floor(this.random() * this.nodes.length));
    // An impatient caller sends the same again elsewhere while the first is under way.
    if (key !== undefined && this.random() < 0.3) {
      this.clock.after(this.random() * 40, () =>
        this.submit(request, 1, index),
      );
    }
  }

  private submit(request: LogicalRequest, number: number, at: number): void {
    const node = this.nodes[at % this.nodes.length];
    if (node === undefined) return;
    this.note(`${request.id}#${number} to ${node.address.nodeId}`);
    const submission = this.oracle.submit(request, number);
    const resend = (): void => {
      if (number >= MAX_RESENDS + 1) return;
      this.submit(request, number + 2, at + 1);
    };
    const noAnswer = request.key === undefined ? (): void => undefined : resend;
    this.clock.after(DEADLINE_MS + RESEND_AFTER_MS, () => {
      if (submission.told === undefined) noAnswer();
    });
    if (node.timers.isDead) return;
    node.timers.after(this.delay(), () =>
      this.receive(node, submission, resend),
    );
  }

  private receive(
    node: WorldNode,
    submission: Submission,
    resend: () => void,
  ): void {
    const {request, number} = submission;
    const body = Buffer.from(request.id);
    const path = `/${request.id}`;
    const method = request.once ? 'POST' : 'GET';
    const call: OutgoingCall = {
      info: {
        callId: `${request.id}#${number}`,
        service: SERVICE,
        repeatable: !request.once,
        key: request.key,
        fingerprint: '',
        deadline: node.timers.now() + DEADLINE_MS,
        retriesLeft: RULES.maxRetries,
        depth: 1,
      },
      method,
      path,
      headers: {'x-submission': String(number)},
      body,
      maxBufferedBytes: RULES.maxBufferedBytes,
    };
    const fingerprint = (): string =>
      fingerprintOf({service: SERVICE, method, path, body});
    node.handler.handle(
      {call, router: node.router, sampled: false, fingerprint},
      outcome => {
        const fault = this.options.faults.at('callerAnswer');
        if (fault === 'lose' || fault === 'silence') return;
        if (this.strike(fault, node, node)) return;
        switch (outcome.type) {
          case 'answered':
            this.told(submission, () =>
              this.oracle.answered(submission, bodyOf(outcome.result), false),
            );
            return;
          case 'kept':
            this.told(submission, () =>
              this.oracle.answered(
                submission,
                outcome.answer.body.toString(),
                true,
              ),
            );
            return;
          case 'failed':
            if (outcome.runState === 'notRun') {
              this.told(submission, () => this.oracle.notRun(submission));
              resend();
            } else this.told(submission, () => this.oracle.unknown(submission));
            return;
        }
      },
    );
  }

  private told(submission: Submission, check: () => void): void {
    try {
      check();
    } catch (err) {
      this.failed(err);
    }
    const {id} = submission.request;
    this.note(`${id}#${submission.number} told ${submission.told}`);
  }

  // ---- nodes

  private bootNode(index: number, server: WorldServer): WorldNode {
    const timers = new VirtualTimers(this.clock);
    const boot = ++this.boots;
    const address: NodeAddress = {
      nodeId: `n${index}`,
      bootId: this.mechanisms.incarnations ? boot : 1,
      host: '127.0.0.1',
      dataPort: 1,
      controlPort: 1,
      domain: `d${index % 2}`,
      region: 'r',
    };
    const rules = new Map([[SERVICE, RULES]]);
    const router = new ServiceRouter(timers.now(), {
      owner: address.nodeId,
      rules: RULES,
      random: this.random,
    });
    const gate = this.bootGate(address, timers, server);
    const store = new WorldStore(this.clock, this.platform, this.random, () =>
      this.weatherAt('claimWrite'),
    );
    const node: WorldNode = {
      index,
      address,
      timers,
      gate,
      router,
      server,
      handler: undefined as never,
    };
    node.handler = new CallHandler({
      address,
      timers,
      store,
      claiming: this.mechanisms.claiming,
      resolving: this.mechanisms.resolving,
      send: (call, pick, suspect, retriesLeft, done) =>
        this.sendAttempt(node, call, pick, suspect, done),
      askOwner: record => this.askOwner(node, record),
      onDecision: (callId, _sampled, decision) =>
        this.note(`${address.nodeId} ${callId} ${JSON.stringify(decision)}`),
      onFault: err => this.failed(err),
    });
    gate.post({type: 'configure', rules});
    if (!server.dead) this.announce(gate, server);
    timers.every(1_000, () => {
      if (!node.server.dead) this.announce(node.gate, node.server);
    });
    return node;
  }

  private bootGate(
    address: NodeAddress,
    timers: VirtualTimers,
    server: WorldServer,
  ): GateTask {
    return new GateTask({
      nodeId: address.nodeId,
      incarnation: address.bootId,
      timers,
      connect: () => new WorldConnections(this, address.nodeId, server, timers),
      events: {
        onServers: () =>
          this.clock.after(this.delay(), () => this.updateRouters()),
        onServerDied: () => undefined,
        onCompleted: () => undefined,
        onFault: err => this.failed(err),
        onDecision: () => undefined,
      },
    });
  }

  private announce(gate: GateTask, server: WorldServer): void {
    gate.post({
      type: 'announce',
      announcement: {
        service: SERVICE,
        port: 1,
        slots: SLOTS,
        instance: server.instance,
        state: server.draining && this.mechanisms.gateDrain ? 'draining' : 'up',
      },
    });
  }

  private newServer(): WorldServer {
    return {
      instance: `s${++this.boots}`,
      dead: false,
      draining: false,
      timers: new VirtualTimers(this.clock),
    };
  }

  // Gateways hear of each other's servers late, and of dead ones not at all.
  private updateRouters(): void {
    const places = this.nodes.map(node => ({
      id: serverId(node.address.nodeId, SERVICE),
      nodeId: node.address.nodeId,
      domain: node.address.domain,
      slots: SLOTS,
      state: 'up' as const,
      networkUs: 500,
      instance: node.server.instance,
    }));
    this.nodes.forEach(node => node.router.setServers(places));
  }

  private kill(node: WorldNode): void {
    this.note(`${node.address.nodeId} dies`);
    node.timers.kill();
    const {index, server} = node;
    this.clock.after(RESTART_MS, () => {
      this.nodes[index] = this.bootNode(index, server);
      this.updateRouters();
    });
  }

  private killServer(node: WorldNode): void {
    const {server} = node;
    this.note(`server ${server.instance} dies`);
    server.dead = true;
    server.timers.kill();
    this.clock.after(RESTART_MS, () => {
      const current = this.nodes[node.index];
      if (current === undefined) return;
      current.server = this.newServer();
      this.rebind(current);
    });
  }

  // The gate opens connections to the server that announces itself now.
  private rebind(node: WorldNode): void {
    this.serverOf.set(node.address.nodeId, node.server);
    if (!node.timers.isDead) this.announce(node.gate, node.server);
    this.updateRouters();
  }

  /** The server process on a node's VM now. */
  currentServer(nodeId: string, first: WorldServer): WorldServer {
    return this.serverOf.get(nodeId) ?? first;
  }

  private drain(node: WorldNode): void {
    this.note(`${node.address.nodeId} drains`);
    node.server.draining = true;
    this.oracle.drained(this.clock.now, node.server.instance);
    node.timers.after(this.delay(), () =>
      this.announce(node.gate, node.server),
    );
  }

  // ---- faults

  /** Carries out a fault that strikes a process; true if the message is gone with it. */
  private strike(
    fault: CallFault | undefined,
    receiver: WorldNode,
    sender: WorldNode | undefined,
  ): boolean {
    switch (fault) {
      case 'killNode':
        this.kill(receiver);
        return true;
      case 'killSender':
        if (sender !== undefined) this.kill(sender);
        return false;
      case 'pauseNode':
        this.note(`${receiver.address.nodeId} pauses`);
        receiver.timers.pauseUntil(this.clock.now + PAUSE_MS);
        return false;
      case 'killServer':
        this.killServer(receiver);
        return false;
      case 'drain':
        this.drain(receiver);
        return false;
      case 'storeDown':
        this.setWeather('down');
        return false;
      case 'storeLosesAnswers':
        this.setWeather('losesAnswers');
        return false;
      case 'storeLate':
        this.setWeather('late');
        return false;
      default:
        return false;
    }
  }

  private setWeather(weather: StoreWeather): void {
    this.note(`store ${weather}`);
    this.weather = weather;
    this.clock.after(WEATHER_MS, () => (this.weather = 'up'));
  }

  private weatherAt(step: CallStep): StoreWeather {
    const fault = this.options.faults.at(step);
    if (fault === 'lose' || fault === 'silence') return 'down';
    if (fault === 'brokenLate' || fault === 'late') return 'late';
    if (fault === 'duplicate') return 'losesAnswers';
    const node = this.nodes[0];
    if (node !== undefined) this.strike(fault, node, undefined);
    return this.weather;
  }

  /**
   * Sends a message to a node. `deliver` runs there, perhaps more than once or
   * late; `onBreak` tells the sender that its connection broke.
   */
  private send(
    step: CallStep,
    receiver: WorldNode,
    sender: WorldNode | undefined,
    deliver: (whole: boolean) => void,
    onBreak: () => void,
  ): void {
    const fault = this.options.faults.at(step);
    if (fault !== undefined) this.note(`${fault} at ${step}`);
    const arrive = (after: number, whole = true): void => {
      receiver.timers.after(after, () => deliver(whole));
    };
    if (this.strike(fault, receiver, sender)) {
      this.clock.after(this.delay(), onBreak);
      return;
    }
    switch (fault) {
      case 'lose':
        this.clock.after(this.delay(), onBreak);
        return;
      case 'silence':
        return;
      case 'late':
        arrive(this.lateness());
        return;
      case 'brokenLate':
        this.clock.after(this.delay(), onBreak);
        arrive(this.lateness());
        return;
      case 'duplicate':
        arrive(this.delay());
        arrive(this.delay() * 20);
        return;
      case 'truncate':
        arrive(this.delay(), false);
        return;
      default:
        arrive(this.delay());
        if (fault === 'swap') this.swapNext = true;
    }
  }

  // ---- gateway to gate

  private sendAttempt(
    from: WorldNode,
    call: OutgoingCall,
    pick: Pick,
    suspect: boolean,
    done: (result: AttemptResult) => void,
  ): AttemptHandle | undefined {
    const to = this.nodes.find(node => node.address.nodeId === pick.nodeId);
    if (to === undefined) return undefined;
    const id: AttemptId = {
      gateway: from.address.nodeId,
      incarnation: from.address.bootId,
      seq: this.attemptSeq++,
    };
    const gateIncarnation = to.address.bootId;
    const state = {ended: false, cancel: (): void => undefined};
    const end = (result: AttemptResult): void => {
      if (state.ended) return;
      state.ended = true;
      done(result);
    };
    const broke = (): void => {
      const result = {
        type: 'broke',
        kind: 'connectionLost',
        report: undefined,
        gateUs: 0,
      } as const;
      from.timers.after(0, () => end(result));
    };
    if (to.timers.isDead) {
      const refused = {
        type: 'refused',
        kind: 'serverUnreachable',
        report: undefined,
        gateUs: 0,
      } as const;
      from.timers.after(this.delay(), () => end(refused));
      return this.handleFor(from, pick.nodeId, id, gateIncarnation, state, end);
    }
    const deliver = (): void => {
      const req: AttemptRequest = {
        id,
        once: !call.info.repeatable,
        gateIncarnation,
        callId: call.info.callId,
        service: SERVICE,
        method: call.method,
        path: call.path,
        headers: call.headers,
        body: call.body,
        deadline: call.info.deadline,
        suspect,
        key: call.info.key,
        reply: result => this.sendAnswer(to, from, result, end, broke),
      };
      to.gate.post({
        type: 'attempt',
        req,
        onHandle: cancel => (state.cancel = cancel),
      });
    };
    // A truncated request does not parse, so that it never arrives.
    this.send(
      'attemptRequest',
      to,
      from,
      whole => (whole ? deliver() : broke()),
      broke,
    );
    return this.handleFor(from, pick.nodeId, id, gateIncarnation, state, end);
  }

  private sendAnswer(
    gate: WorldNode,
    gateway: WorldNode,
    result: AttemptResult,
    end: (result: AttemptResult) => void,
    broke: () => void,
  ): void {
    const receive = (whole: boolean): void => {
      const swapped = this.swapNext && this.lastAnswer !== undefined;
      const foreign =
        swapped && this.lastAnswer !== undefined ? this.lastAnswer : result;
      this.swapNext = false;
      this.lastAnswer = result;
      const {answerChecks} = this.mechanisms;
      if (answerChecks && (!whole || swapped)) {
        end({
          type: 'broke',
          kind: 'brokenAnswer',
          report: undefined,
          gateUs: 0,
        });
        return;
      }
      end(whole ? foreign : truncated(foreign));
    };
    this.send('attemptAnswer', gateway, gate, receive, broke);
  }

  private handleFor(
    from: WorldNode,
    nodeId: string,
    id: AttemptId,
    gateIncarnation: number,
    state: {ended: boolean; cancel: () => void},
    end: (result: AttemptResult) => void,
  ): AttemptHandle {
    return {
      cancel: () => {
        if (state.ended) return;
        this.clock.after(this.delay(), () => state.cancel());
        end({
          type: 'broke',
          kind: 'connectionLost',
          report: undefined,
          gateUs: 0,
        });
      },
      resolve: () => this.resolve(from, nodeId, id, gateIncarnation),
      giveUpConnection: () => undefined,
      acknowledge: () => undefined,
    };
  }

  private resolve(
    from: WorldNode,
    nodeId: string,
    id: AttemptId,
    gateIncarnation: number,
  ): Promise<RemoteResolution> {
    const to = this.nodes.find(node => node.address.nodeId === nodeId);
    return this.ask<RemoteResolution>(
      from,
      to,
      {type: 'unreachable'},
      'resolve',
      (gate, reply) => {
        if (!this.mechanisms.fencing && gate.gate.ledgerKnows(id) === false) {
          reply({type: 'notRun', kind: 'fenced'});
          return;
        }
        gate.gate.post({type: 'resolve', id, gateIncarnation, reply});
      },
    );
  }

  private askOwner(from: WorldNode, record: ClaimRecord): Promise<OwnerReply> {
    const to = this.nodes.find(node => node.address.nodeId === record.gateway);
    const unreachable: OwnerReply = {answer: 'unreachable', kept: undefined};
    return this.ask<OwnerReply>(
      from,
      to,
      unreachable,
      'askOwner',
      (owner, reply) => {
        const same = owner.address.bootId === record.incarnation;
        const unknown: {answer: OwnerAnswer; kept: KeptAnswer | undefined} = {
          answer: 'unknown',
          kept: undefined,
        };
        reply(same ? owner.handler.askKey(record.token) : unknown);
      },
    );
  }

  private ask<T>(
    from: WorldNode,
    to: WorldNode | undefined,
    failure: T,
    name: 'resolve' | 'askOwner',
    serve: (node: WorldNode, reply: (answer: T) => void) => void,
  ): Promise<T> {
    return new Promise(done => {
      from.timers.after(500, () => done(failure));
      if (to === undefined || to.timers.isDead) return;
      const onBreak = (): void =>
        void from.timers.after(0, () => done(failure));
      const answer = (value: T): void =>
        this.send(
          `${name}Answer`,
          from,
          to,
          whole => done(whole ? value : failure),
          onBreak,
        );
      const deliver = (whole: boolean): void => {
        if (whole) serve(to, answer);
      };
      this.send(`${name}Request`, to, from, deliver, onBreak);
    });
  }

  // ---- gate to server

  /** A request goes from a gate to its server; the run begins there. */
  serverExchange(
    nodeId: string,
    first: WorldServer,
    gateTimers: VirtualTimers,
    req: ExchangeRequest,
    done: (result: ExchangeResult) => void,
  ): ServerExchange {
    const server = this.currentServer(nodeId, first);
    const node = this.nodes.find(n => n.address.nodeId === nodeId);
    let ended = false;
    const end = (result: ExchangeResult): void => {
      if (ended) return;
      ended = true;
      gateTimers.after(0, () => done(result));
    };
    const broke = (): void =>
      end({type: 'broke', sent: true, err: new Error('reset')});
    if (server.dead || node === undefined) {
      this.clock.after(this.delay(), () =>
        end({type: 'broke', sent: false, err: new Error('refused')}),
      );
      return {abort: () => undefined};
    }
    const shed = this.random() < 0.05;
    const answer = (): void => {
      const status = shed ? 529 : 200;
      const bytes = Buffer.from(shed ? 'shed' : wholeAnswer(req.path.slice(1)));
      const whole: ExchangeResult = {
        type: 'answer',
        status,
        headers: {},
        body: {type: 'whole', bytes},
      };
      // HTTP's own length tells the gate that an answer is not whole.
      this.send(
        'serverAnswer',
        node,
        undefined,
        ok => (ok ? end(whole) : broke()),
        broke,
      );
    };
    const sentAt = this.clock.now;
    const run = (whole: boolean): void => {
      if (!whole || server.dead) return broke();
      if (shed) return answer();
      this.runs++;
      this.note(`${req.path.slice(1)} runs at ${server.instance}`);
      this.ran(server, req, sentAt);
      server.timers.after(1 + this.random() * 30, answer);
    };
    const watch = gateTimers.every(25, () => {
      if (ended) watch();
      else if (server.dead) broke();
    });
    this.sendToServer(node, server, run, broke);
    return {
      abort: reason => end({type: 'broke', sent: true, err: new Error(reason)}),
    };
  }

  private ran(server: WorldServer, req: ExchangeRequest, sentAt: number): void {
    const number = Number(req.headers['x-submission']);
    try {
      this.oracle.ran(sentAt, server.instance, req.path.slice(1), number);
    } catch (err) {
      this.failed(err);
    }
  }

  // Loopback is one connection: nothing arrives there twice or after a break.
  private sendToServer(
    node: WorldNode,
    server: WorldServer,
    run: (whole: boolean) => void,
    broke: () => void,
  ): void {
    const fault = this.options.faults.at('serverRequest');
    if (fault !== undefined) this.note(`${fault} at serverRequest`);
    if (fault === 'lose') return void this.clock.after(this.delay(), broke);
    if (fault === 'silence') return;
    if (this.strike(fault, node, undefined)) {
      server.timers.after(this.delay(), () => run(true));
      return;
    }
    const after = fault === 'late' ? this.lateness() : this.delay() / 10;
    server.timers.after(after, () => run(fault !== 'truncate'));
  }

  // ---- helpers

  private failed(err: unknown): void {
    this.fault ??= err;
  }

  private delay(): number {
    return 0.2 + this.random() * 2;
  }

  private lateness(): number {
    return LATE_MIN_MS + this.random() * LATE_SPREAD_MS;
  }

  private note(line: string): void {
    this.trace.push(`${this.clock.now.toFixed(1)} ${line}`);
    if (this.trace.length > TRACE_LINES) this.trace.shift();
  }
}

class WorldConnections extends ServerConnections {
  constructor(
    private readonly world: CallWorld,
    private readonly nodeId: string,
    private readonly server: WorldServer,
    private readonly timers: VirtualTimers,
  ) {
    super();
  }

  override exchange(
    req: ExchangeRequest,
    done: (result: ExchangeResult) => void,
  ): ServerExchange {
    return this.world.serverExchange(
      this.nodeId,
      this.server,
      this.timers,
      req,
      done,
    );
  }

  override async check(): Promise<boolean> {
    return !this.world.currentServer(this.nodeId, this.server).dead;
  }

  override async close(): Promise<void> {}
}

function bodyOf(result: AttemptResult & {type: 'answered'}): string {
  return result.body.type === 'whole' ? result.body.bytes.toString() : '';
}

function truncated(result: AttemptResult): AttemptResult {
  if (result.type !== 'answered' || result.body.type !== 'whole') return result;
  const {bytes} = result.body;
  return {
    ...result,
    body: {type: 'whole', bytes: bytes.subarray(0, bytes.length / 2)},
  };
}

/** Path of a key's claim, for tests that look into the store. */
export const claimPathOf = (key: string): string => claimPath(SERVICE, key);
