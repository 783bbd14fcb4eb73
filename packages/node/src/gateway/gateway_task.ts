/** Task that accepts calls from callers and routes each to a server. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ClientAccount} from '@goldcresthill/accounts';
import type {OwnerAnswer} from '@goldcresthill/attempts';
import {BalancerError} from '@goldcresthill/errors';
import {isTombstone} from '@goldcresthill/membership';
import type {QuarantineUpdate, MemberRecord} from '@goldcresthill/membership';
import type {Metrics} from '@goldcresthill/metrics';
import type {ObjectStore} from '@goldcresthill/object-store';
import type {Quarantine} from '@goldcresthill/quarantine';
import type {LoadResponse} from '@goldcresthill/peers';
import type {QuotaOutcome} from '@goldcresthill/quotas';
import {ServiceRouter} from '@goldcresthill/routing';
import type {ServerView} from '@goldcresthill/routing';
import type {Cancel, Timers} from '@goldcresthill/timers';
import {serverId} from '@goldcresthill/types';
import type {
  AdmissionEstimate,
  AdmissionQuery,
  Millis,
  Mechanism,
  NodeAddress,
  ServiceRules,
} from '@goldcresthill/types';
import {fingerprintOf} from '../fingerprint';
import type {GateTask} from '../gate/gate_task';
import type {BufferedAnswer} from '../gate/messages';
import type {DispatchQueue} from '../http/dispatch_queue';
import type {CrossDomainTraffic} from '../peers/cross_domain_traffic';
import type {InputBudget} from '../http/input_budget';
import {hasBody, readBody} from '../http/request_body';
import {Listener} from '../http/listener';
import type {ListenerLimits} from '../http/listener';
import {CallQuota} from '../quota/call_quota';
import {Task} from '../task';
import type {AnswerContext} from './answer_writer';
import type {CallHead} from './call_head';
import {CallAnswerer} from './call_answerer';
import {CallHandler} from './call_handler';
import type {CallHandle} from './call_handler';
import type {CallerInterface} from './caller_interface';
import type {DecisionLog} from './decision_log';
import {askOwner} from './gate_client';
import {GateLinks} from './gate_links';
import {GateSender} from './gate_sender';
import type {SendLoadQuery} from './load_query_runner';
import type {GatewayMessage} from './messages';
import {explainChoice} from './route_explainer';
import type {ChoiceExplanation} from './route_explainer';
import {serverEndpoints} from './server_endpoints';
import type {Evacuations} from './server_endpoints';

/** Options of GatewayTask. */
export interface GatewayTaskOptions {
  readonly address: NodeAddress;
  readonly callers: CallerInterface;
  readonly callerPort: number;
  readonly maxConnections: number;
  readonly headerBytes: number;
  readonly slowSenderMs: number;
  readonly timers: Timers;
  readonly gate: GateTask;
  readonly store: ObjectStore;
  readonly budget: InputBudget;
  readonly dispatchQueue: DispatchQueue;
  readonly decisions: DecisionLog;
  readonly metrics: Metrics;
  readonly random: () => number;
  /** Counts requests to other failure domains. */
  readonly traffic?: CrossDomainTraffic;
  /** Delay before a caller is told that its call's server died, milliseconds; see CallAnswererOptions. */
  readonly crashErrorDelayMs?: number;
  /**
   * Asks another node for the load of its server; `done` receives undefined if
   * it does not answer. Without this option, servers are chosen by the load
   * reports that came with earlier answers.
   */
  readonly sendLoadQuery?: (
    to: NodeAddress,
    query: AdmissionQuery,
    done: (answer: LoadResponse | undefined) => void,
  ) => void;
  /** Asks whether a call of an account with a cap may start; without this option there are no caps. */
  readonly admitCapped?: (
    account: ClientAccount,
    done: (outcome: QuotaOutcome) => void,
  ) => Cancel;
  readonly onFault: (err: unknown) => void;
}

/** When a leaving node stops to accept calls, and when it closes its connections. */
export interface ClosingTimes {
  readonly acceptsUntil: Millis;
  readonly closesAt: Millis;
}

const EVICT_INTERVAL_MS = 1_000;
/** Usual time in which a node that accepts no more calls ends and is started again, milliseconds. */
const RESTART_MS = 500;
/** Longest usual time after which a refused caller comes back, milliseconds. */
const USUAL_RETRY_MS = 200;

/** Gateway of one node: listens for callers and owns the routers and the connections to gates. */
export class GatewayTask extends Task<GatewayMessage> {
  private readonly listener: Listener;
  private readonly links: GateLinks;
  private readonly routers = new Map<string, ServiceRouter>();
  private readonly sender: GateSender;
  private readonly handler: CallHandler;
  private readonly answerer: CallAnswerer;
  private rules: ReadonlyMap<string, ServiceRules> = new Map();
  private records: readonly MemberRecord[] = [];
  private cutDomains: readonly string[] = [];
  private evacuations: Evacuations = new Set<string>();
  private readonly timers: Timers;
  private readonly cancelEviction: Cancel;
  private callSeq = 0;
  private openCallCount = 0;
  /** When the listener stops accepting calls and closes; undefined unless the node is leaving. */
  private closing: ClosingTimes | undefined;
  private readonly openCalls = new Set<CallHandle>();
  private cancelExpiry: Cancel = () => undefined;
  private accepting = true;

  constructor(private readonly options: GatewayTaskOptions) {
    super();
    this.timers = options.timers;
    this.links = new GateLinks(options.traffic);
    this.sender = new GateSender({
      address: options.address,
      gate: options.gate,
      links: this.links,
      timers: options.timers,
      budget: options.budget,
      onProbe: service => options.metrics.count('probes_total', {service}),
      onFault: options.onFault,
    });
    this.handler = new CallHandler({
      address: options.address,
      timers: options.timers,
      store: options.store,
      send: (call, pick, suspect, retriesLeft, done) =>
        this.sender.send(call, pick, suspect, retriesLeft, done),
      askOwner: ({host, dataPort, token, incarnation}) =>
        askOwner(host, dataPort, token, incarnation),
      sendLoadQuery:
        options.sendLoadQuery &&
        ((query, view, done) => this.sendLoadQuery(query, view, done)),
      onDecision: (callId, sampled, decision) =>
        options.decisions.add(callId, sampled, decision),
      onFault: options.onFault,
    });
    this.answerer = new CallAnswerer({
      timers: options.timers,
      metrics: options.metrics,
      callers: options.callers,
      budget: options.budget,
      crashErrorDelayMs: options.crashErrorDelayMs,
      isClosing: () => this.closing !== undefined,
      retryAfterMs: needsRestart => this.retryAfterMs(needsRestart),
      onFault: options.onFault,
    });
    this.listener = new Listener({
      host: options.address.host,
      port: options.callerPort,
      maxConnections: Math.min(
        options.maxConnections,
        options.budget.connections?.callers ?? Infinity,
      ),
      budget: options.budget,
      maxHeaderBytes: options.headerBytes,
      headersTimeoutMs: options.slowSenderMs,
      onConnection: () => options.dispatchQueue.recordConnection(),
      onFault: options.onFault,
      handle: (req, res, waitedMs) => this.receive(req, res, waitedMs),
    });
    this.cancelEviction = this.timers.every(EVICT_INTERVAL_MS, () =>
      this.post({type: 'evict'}),
    );
  }

  listen(): Promise<number> {
    return this.listener.listen();
  }

  /** Sets the limits of callers' requests; the options apply where one is missing. */
  setCallerLimits(limits: Partial<ListenerLimits>): void {
    this.listener.setLimits(limits);
  }

  /**
   * Closes each connection with its next answer from now on. A call has to end
   * before the listener closes: servers refuse those that are not expected to,
   * and those that are still open then are answered as at their deadline.
   */
  beginClosing(closing: ClosingTimes): void {
    this.closing = closing;
    this.cancelExpiry = this.timers.after(this.closingMs, () =>
      this.openCalls.forEach(call => call.expire()),
    );
  }

  /** Refuses new calls from now on; calls in progress continue. */
  stopAccepting(): void {
    this.accepting = false;
    this.listener.stopAccepting();
  }

  override async close(): Promise<void> {
    this.closed = true;
    this.cancelEviction();
    this.cancelExpiry();
    this.handler.close();
    await this.listener.close();
    await this.links.close();
  }

  /**
   * Explains where a call with this head would go now, without sending it.
   * Throws a BalancerError if the service is unknown.
   */
  explain(head: CallHead, requestBytes: number): Promise<ChoiceExplanation> {
    const router = this.routers.get(head.service);
    if (router === undefined)
      throw new BalancerError('unknownService', head.service);
    const {timers, options} = this;
    const now = timers.now();
    const attributes = {
      ...head,
      callId: '',
      deadline: now + head.deadlineMs,
      objective: now + head.objectiveMs,
    };
    const sendLoadQuery: SendLoadQuery | undefined =
      options.sendLoadQuery &&
      ((query, view, done) => this.sendLoadQuery(query, view, done));
    return new Promise(done =>
      explainChoice(
        {attributes, requestBytes, router, timers, sendLoadQuery},
        done,
      ),
    );
  }

  /** Calls that have not been answered yet. */
  get callsOpen(): number {
    return this.openCallCount;
  }

  /** Returns the state of a call claimed by this gateway and its stored answer, for another gateway. */
  lookUpClaim(token: string): {
    answer: OwnerAnswer;
    kept: BufferedAnswer | undefined;
  } {
    return this.handler.lookUpClaim(token);
  }

  get quarantine(): Quarantine {
    return this.handler.quarantine;
  }

  /** Routers by service, for status pages. */
  get serviceRouters(): ReadonlyMap<string, ServiceRouter> {
    return this.routers;
  }

  protected override handle(message: GatewayMessage): void {
    switch (message.type) {
      case 'members':
        this.records = message.records;
        this.cutDomains = message.cutDomains;
        this.links.update(message.records);
        this.updateServers();
        return;
      case 'configure':
        this.configure(message.rules);
        return;
      case 'evacuate':
        this.evacuations = message.evacuations;
        this.updateServers();
        return;
      case 'news':
        this.applyQuarantineUpdate(message.news);
        return;
      case 'evict':
        this.handler.quarantine.evict(this.timers.wall());
        return;
    }
  }

  protected override onFault(err: unknown): void {
    this.options.onFault(err);
  }

  private applyQuarantineUpdate(update: QuarantineUpdate): void {
    if (update.type === 'strike') this.quarantine.recordStrike(update);
    else this.quarantine.recordClearance(update);
  }

  private configure(rules: ReadonlyMap<string, ServiceRules>): void {
    this.rules = rules;
    const now = this.timers.now();
    for (const [service, rule] of rules) {
      const router = this.routers.get(service);
      if (router !== undefined) router.configure(now, rule);
      else this.routers.set(service, this.createRouter(rule));
    }
    for (const service of [...this.routers.keys()]) {
      if (!rules.has(service)) this.routers.delete(service);
    }
    this.updateServers();
  }

  private createRouter(rules: ServiceRules): ServiceRouter {
    const {address, random} = this.options;
    return new ServiceRouter(this.timers.now(), {
      gatewayNodeId: address.nodeId,
      domain: address.domain,
      rules,
      random,
    });
  }

  private updateServers(): void {
    const endpoints = serverEndpoints({
      self: this.options.address,
      records: this.records,
      cutDomains: this.cutDomains,
      rules: this.rules,
      evacuations: this.evacuations,
    });
    const fleetSize = Math.max(
      1,
      this.records.filter(r => !isTombstone(r)).length,
    );
    for (const [service, router] of this.routers) {
      router.setFleetSize(fleetSize);
      router.setServers(endpoints.get(service) ?? []);
    }
  }

  private receive(
    req: IncomingMessage,
    res: ServerResponse,
    waitedMs: Millis,
  ): void {
    const startedAt = this.timers.now() - waitedMs;
    const callId = this.newCallId(req);
    const answer: AnswerContext = {
      callId,
      closeConnection: this.closing !== undefined,
      retryAfterMs: this.retryAfterMs(!this.accepting),
    };
    this.openCallCount++;
    res.on('close', () => this.openCallCount--);
    try {
      if (!this.accepting) throw new BalancerError('nodeClosing', '');
      const head = this.options.callers.readHead(req, this.rules);
      if (waitedMs >= head.deadlineMs)
        throw new BalancerError('deadlineTooShort', 'passed in the queue');
      const router = this.routers.get(head.service);
      if (router === undefined) {
        throw new BalancerError('unknownService', head.service);
      }
      this.readCall(req, res, {...head, callId}, router, startedAt);
    } catch (err) {
      this.refuseRequest(req, res, answer, err);
    }
  }

  /** Time until the listener closes, milliseconds; Infinity unless the node is leaving. */
  private get closingMs(): Millis {
    if (this.closing === undefined) return Infinity;
    return Math.max(0, this.closing.closesAt - this.timers.now());
  }

  /**
   * Time until the next process of this node may serve a refused caller,
   * milliseconds; undefined if the caller may come back to this one.
   */
  private retryAfterMs(needsRestart: boolean): Millis | undefined {
    if (this.closing === undefined) return undefined;
    const acceptsForMs = this.closing.acceptsUntil - this.timers.now();
    if (!needsRestart && acceptsForMs > USUAL_RETRY_MS) return undefined;
    return Math.max(0, acceptsForMs) + RESTART_MS;
  }

  private refuseRequest(
    req: IncomingMessage,
    res: ServerResponse,
    answer: AnswerContext,
    err: unknown,
  ): void {
    if (!(err instanceof BalancerError)) this.options.onFault(err);
    const balancerError =
      err instanceof BalancerError ? err : new BalancerError('internal', '');
    this.options.metrics.count('refused_requests_total', {
      kind: balancerError.kind,
    });
    // On a connection that stays open, the unread rest of the body would be parsed as the next request.
    const hasUnreadBody = !req.complete && hasBody(req);
    this.options.callers.writeError(
      res,
      {
        ...answer,
        closeConnection: answer.closeConnection || hasUnreadBody,
        retryAfterMs: balancerError.retryAfterMs ?? answer.retryAfterMs,
      },
      balancerError.kind,
      balancerError.message,
    );
  }

  private readCall(
    req: IncomingMessage,
    res: ServerResponse,
    head: CallHead & {callId: string},
    router: ServiceRouter,
    startedAt: number,
  ): void {
    const rules = router.currentRules;
    const {budget, slowSenderMs} = this.options;
    const timeoutMs = Math.min(slowSenderMs, head.deadlineMs);
    const options = {maxBytes: rules.maxRequestBytes, budget, timeoutMs};
    const quota = this.startQuota(req, res, head);
    if (quota?.isRefused === true) return;
    readBody(req, options, body => {
      if (quota?.isRefused === true) {
        if (!(body instanceof BalancerError)) body.release();
        return;
      }
      if (body instanceof BalancerError) {
        const answer = {callId: head.callId, closeConnection: true};
        this.refuseRequest(req, res, answer, body);
        return;
      }
      if (res.destroyed) {
        body.release();
        return;
      }
      res.on('close', () => body.release());
      const dispatch = (): void =>
        this.options.dispatchQueue.add({
          req,
          dispatch: () =>
            this.confirmCall(req, res, head, body.bytes, router, startedAt),
          drop: () => this.logDropped(head, startedAt),
        });
      if (quota === undefined) dispatch();
      else quota.whenAdmitted(dispatch);
    });
  }

  /** Starts to check the cap of the call's account; undefined if it has none. A refusal is answered at once. */
  private startQuota(
    req: IncomingMessage,
    res: ServerResponse,
    head: CallHead & {callId: string},
  ): CallQuota | undefined {
    const {account, callId} = head;
    const {admitCapped, decisions} = this.options;
    if (admitCapped === undefined || account === undefined) return undefined;
    if (account.ratePerSecond === 0) return undefined;
    const quota = new CallQuota(
      done => admitCapped(account, done),
      account.name,
      error => {
        const closeConnection = this.closing !== undefined;
        this.refuseRequest(req, res, {callId, closeConnection}, error);
        decisions.add(callId, decisions.sample(), {
          what: error.kind,
          account: account.name,
          ratePerSecond: account.ratePerSecond,
          burst: account.burst,
          retryAfterMs: Math.round(error.retryAfterMs ?? 0),
        });
      },
    );
    res.on('close', () => quota.cancel());
    return quota;
  }

  private confirmCall(
    req: IncomingMessage,
    res: ServerResponse,
    head: CallHead & {callId: string},
    body: Buffer,
    router: ServiceRouter,
    startedAt: number,
  ): void {
    try {
      this.options.callers.confirmHead(req, head);
    } catch (err) {
      const {callId} = head;
      const closeConnection = this.closing !== undefined;
      this.refuseRequest(req, res, {callId, closeConnection}, err);
      return;
    }
    this.startCall(req, res, head, body, router, startedAt);
  }

  private logDropped(
    {callId, service}: CallHead & {callId: string},
    startedAt: number,
  ): void {
    const {decisions, metrics} = this.options;
    metrics.count('calls_total', {service, outcome: 'callerGone'});
    decisions.add(callId, decisions.sample(), {
      what: 'callerGone',
      service,
      heldMs: Math.round(this.timers.now() - startedAt),
      sentMsAgo: [],
    });
  }

  private startCall(
    req: IncomingMessage,
    res: ServerResponse,
    head: CallHead & {callId: string},
    body: Buffer,
    router: ServiceRouter,
    startedAt: number,
  ): void {
    const method = req.method ?? 'GET';
    const path = req.url ?? '/';
    const {service, callId} = head;
    const fingerprint = lazy(() =>
      fingerprintOf({service, method, path, body}),
    );
    const {maxBufferedBytes, disabled} = router.currentRules;
    const isOn = (mechanism: Mechanism) => !disabled.includes(mechanism);
    const deadline = startedAt + head.deadlineMs;
    const closesAt = this.closing?.closesAt ?? Infinity;
    const attributes = {
      callId,
      service,
      repeatable: head.repeatable,
      key: scopedKey(head),
      deadline: Math.min(deadline, closesAt),
      mustEnd: closesAt < deadline,
      retriesLeft: head.retriesLeft,
      depth: head.depth,
      maxRuns: head.maxRuns,
      route: head.route,
      origin: head.origin,
      priority: isOn('priorities') ? head.priority : 0,
      objective: startedAt + head.objectiveMs,
      returning: isOn('returningCallers') && head.returning,
    };
    const headers = this.options.callers.forwardedHeaders(req, head);
    const call = {attributes, method, path, headers, body, maxBufferedBytes};
    // A load query asks this VM's gate too, which first checks how fast its server is now.
    if (this.options.sendLoadQuery === undefined)
      this.recordLocalLoad(service, router);
    const sampled = this.options.decisions.sample();
    const context = {res, call, startedAt};
    const handle = this.handler.handle(
      {call, router, sampled, fingerprint},
      outcome => this.answerer.answer(context, outcome),
    );
    this.openCalls.add(handle);
    res.on('close', () => {
      this.openCalls.delete(handle);
      if (!res.writableFinished) handle.callerGone();
    });
    this.sender.sendProbes(service, router);
  }

  // The load of this VM's own server is read from its gate, exactly and without a query.
  private recordLocalLoad(service: string, router: ServiceRouter): void {
    const {gate, address} = this.options;
    const report = gate.reportOf(service);
    if (report === undefined) return;
    router.recordReport(
      this.timers.now(),
      serverId(address.nodeId, service),
      report,
      0,
    );
  }

  private sendLoadQuery(
    query: AdmissionQuery,
    view: ServerView,
    done: (estimate: AdmissionEstimate | undefined | 'silent') => void,
  ): void {
    const {gate, address, sendLoadQuery} = this.options;
    if (view.nodeId === address.nodeId) {
      gate.estimateAdmission(query, done);
      return;
    }
    const nodeAddress = this.links.addressOf(view.nodeId);
    if (nodeAddress === undefined || sendLoadQuery === undefined) {
      done('silent');
      return;
    }
    sendLoadQuery(nodeAddress, query, answer => {
      if (answer === undefined) {
        done('silent');
        return;
      }
      this.links.recordBootId(view.nodeId, answer.bootId);
      done(answer.estimate);
    });
  }

  private newCallId(req: IncomingMessage): string {
    const seq = this.callSeq++;
    const {nodeId, bootId} = this.options.address;
    const generatedId = `${nodeId}-${bootId.toString(36)}-${seq}`;
    return this.options.callers.callIdOf(req, generatedId, seq);
  }
}

/** An idempotency key belongs to one account, as do the answers that are kept for it. Keys contain no space. */
function scopedKey({key, account}: CallHead): string | undefined {
  if (key === undefined || account === undefined) return key;
  return `${account.name} ${key}`;
}

function lazy<T>(make: () => T): () => T {
  let made: {value: T} | undefined;
  return () => (made ??= {value: make()}).value;
}
