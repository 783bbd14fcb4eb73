/** Task that takes calls from callers and finds a server for each. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {OwnerAnswer} from '@goldcresthill/attempts';
import {BalancerError} from '@goldcresthill/errors';
import {isTombstone} from '@goldcresthill/membership';
import type {QuarantineUpdate, MemberRecord} from '@goldcresthill/membership';
import type {Metrics} from '@goldcresthill/metrics';
import type {ObjectStore} from '@goldcresthill/object-store';
import type {Quarantine} from '@goldcresthill/quarantine';
import type {LoadResponse} from '@goldcresthill/peers';
import {ServiceRouter} from '@goldcresthill/routing';
import type {ServerView} from '@goldcresthill/routing';
import type {Cancel, Timers} from '@goldcresthill/timers';
import {serverId} from '@goldcresthill/types';
import type {LoadReport, NodeAddress, ServiceRules} from '@goldcresthill/types';
import {fingerprintOf} from '../fingerprint';
import type {GateTask} from '../gate/gate_task';
import type {BufferedAnswer} from '../gate/messages';
import type {BodyBudget} from '../http/body';
import {hasBody, readBody} from '../http/body';
import {Listener} from '../http/listener';
import {Task} from '../task';
import type {AnswerContext} from './answer_writer';
import type {CallHead} from './call_reader';
import {CallAnswerer} from './call_answerer';
import {CallHandler} from './call_handler';
import type {CallerInterface} from './caller_interface';
import type {DecisionLog} from './decision_log';
import {askOwner} from './gate_client';
import {GateLinks} from './gate_links';
import {GateSender} from './gate_sender';
import type {GatewayMessage} from './messages';
import {placesOf} from './server_places';

/** What the task starts from. */
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
  readonly budget: BodyBudget;
  readonly decisions: DecisionLog;
  readonly metrics: Metrics;
  readonly random: () => number;
  /** Time for which the answer to a call whose server died is held back, milliseconds. */
  readonly newsHoldMs?: number;
  /** Asks another node for the load of its server; without it servers are chosen by what answers have told. */
  readonly ask?: (
    to: NodeAddress,
    service: string,
    done: (answer: LoadResponse | undefined) => void,
  ) => void;
  readonly onFault: (err: unknown) => void;
}

const EVICT_MS = 1_000;

/** Gateway of one node. */
export class GatewayTask extends Task<GatewayMessage> {
  private readonly listener: Listener;
  private readonly links = new GateLinks();
  private readonly routers = new Map<string, ServiceRouter>();
  private readonly sender: GateSender;
  private readonly handler: CallHandler;
  private readonly answerer: CallAnswerer;
  private rules: ReadonlyMap<string, ServiceRules> = new Map();
  private records: readonly MemberRecord[] = [];
  private cutDomains: readonly string[] = [];
  private readonly timers: Timers;
  private readonly timer: Cancel;
  private callSeq = 0;
  private open = 0;
  private closing = false;
  private accepting = true;

  constructor(private readonly options: GatewayTaskOptions) {
    super();
    this.timers = options.timers;
    this.sender = new GateSender({
      address: options.address,
      gate: options.gate,
      links: this.links,
      timers: options.timers,
      onProbe: service => options.metrics.count('probes_total', {service}),
    });
    this.handler = new CallHandler({
      address: options.address,
      timers: options.timers,
      store: options.store,
      send: (call, pick, suspect, retriesLeft, done) =>
        this.sender.send(call, pick, suspect, retriesLeft, done),
      askOwner: ({host, dataPort, token, incarnation}) =>
        askOwner(host, dataPort, token, incarnation),
      ask:
        options.ask && ((service, view, done) => this.ask(service, view, done)),
      onDecision: (callId, sampled, decision) =>
        options.decisions.add(callId, sampled, decision),
      onFault: options.onFault,
    });
    this.answerer = new CallAnswerer({
      timers: options.timers,
      metrics: options.metrics,
      callers: options.callers,
      newsHoldMs: options.newsHoldMs,
      isClosing: () => this.closing,
      onFault: options.onFault,
    });
    this.listener = new Listener({
      host: options.address.host,
      port: options.callerPort,
      maxConnections: options.maxConnections,
      maxHeaderBytes: options.headerBytes,
      headersTimeoutMs: options.slowSenderMs,
      handle: (req, res) => this.receive(req, res),
    });
    this.timer = this.timers.every(EVICT_MS, () => this.post({type: 'evict'}));
  }

  listen(): Promise<number> {
    return this.listener.listen();
  }

  /** From now on each answer closes its connection. */
  beginClosing(): void {
    this.closing = true;
  }

  /** From now on calls are refused; those under way go on. */
  stopAccepting(): void {
    this.accepting = false;
    this.listener.stopAccepting();
  }

  override async close(): Promise<void> {
    this.closed = true;
    this.timer();
    await this.listener.close();
    await this.links.close();
  }

  /** Calls that have not been answered yet. */
  get callsOpen(): number {
    return this.open;
  }

  /** What another gateway is told of a claim of ours. */
  askKey(token: string): {
    answer: OwnerAnswer;
    kept: BufferedAnswer | undefined;
  } {
    return this.handler.askKey(token);
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
      case 'news':
        this.takeNews(message.news);
        return;
      case 'evict':
        this.handler.quarantine.evict(this.timers.wall());
        return;
    }
  }

  protected override onFault(err: unknown): void {
    this.options.onFault(err);
  }

  private takeNews(news: QuarantineUpdate): void {
    if (news.type === 'strike') this.quarantine.recordStrike(news);
    else this.quarantine.recordClearance(news);
  }

  private configure(rules: ReadonlyMap<string, ServiceRules>): void {
    this.rules = rules;
    const now = this.timers.now();
    for (const [service, rule] of rules) {
      const known = this.routers.get(service);
      if (known !== undefined) known.configure(now, rule);
      else this.routers.set(service, this.newRouter(rule));
    }
    for (const service of [...this.routers.keys()]) {
      if (!rules.has(service)) this.routers.delete(service);
    }
    this.updateServers();
  }

  private newRouter(rules: ServiceRules): ServiceRouter {
    const {address, random} = this.options;
    return new ServiceRouter(this.timers.now(), {
      gatewayNodeId: address.nodeId,
      domain: address.domain,
      rules,
      random,
    });
  }

  private updateServers(): void {
    const places = placesOf({
      self: this.options.address,
      records: this.records,
      cutDomains: this.cutDomains,
      rules: this.rules,
    });
    const nodes = Math.max(1, this.records.filter(r => !isTombstone(r)).length);
    for (const [service, router] of this.routers) {
      router.setFleetSize(nodes);
      router.setServers(places.get(service) ?? []);
    }
  }

  private receive(req: IncomingMessage, res: ServerResponse): void {
    const startedAt = this.timers.now();
    const callId = this.newCallId(req);
    const answer: AnswerContext = {callId, closing: this.closing};
    this.open++;
    res.on('close', () => this.open--);
    try {
      if (!this.accepting) throw new BalancerError('nodeClosing', '');
      const head = this.options.callers.readHead(req, this.rules);
      const router = this.routers.get(head.service);
      if (router === undefined) {
        throw new BalancerError('unknownService', head.service);
      }
      this.readCall(req, res, {...head, callId}, router, startedAt);
    } catch (err) {
      this.refuseRequest(req, res, answer, err);
    }
  }

  private refuseRequest(
    req: IncomingMessage,
    res: ServerResponse,
    answer: AnswerContext,
    err: unknown,
  ): void {
    if (!(err instanceof BalancerError)) this.options.onFault(err);
    const known =
      err instanceof BalancerError ? err : new BalancerError('internal', '');
    this.options.metrics.count('refused_requests_total', {kind: known.kind});
    // The rest of a body that is not wanted would be taken for the next request.
    const unread = !req.complete && hasBody(req);
    this.options.callers.writeError(
      res,
      {...answer, closing: answer.closing || unread},
      known.kind,
      known.message,
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
    readBody(req, options, body => {
      if (body instanceof BalancerError) {
        const answer = {callId: head.callId, closing: true};
        this.refuseRequest(req, res, answer, body);
        return;
      }
      if (res.destroyed) {
        budget.give(body.length);
        return;
      }
      res.on('close', () => budget.give(body.length));
      this.startCall(req, res, head, body, router, startedAt);
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
    const fingerprint = once(() =>
      fingerprintOf({service, method, path, body}),
    );
    const info = {
      callId,
      service,
      repeatable: head.repeatable,
      key: head.key,
      deadline: startedAt + head.deadlineMs,
      retriesLeft: head.retriesLeft,
      depth: head.depth,
      maxRuns: head.maxRuns,
      route: head.route,
      origin: head.origin,
      priority: head.priority,
      objective: startedAt + head.objectiveMs,
      returning: head.returning,
    };
    const headers = this.options.callers.forwardedHeaders(req);
    const {maxBufferedBytes} = router.currentRules;
    const call = {info, method, path, headers, body, maxBufferedBytes};
    this.learnLocal(service, router);
    const sampled = this.options.decisions.sample();
    const context = {res, call, startedAt};
    const handle = this.handler.handle(
      {call, router, sampled, fingerprint},
      outcome => this.answerer.answer(context, outcome),
    );
    res.on('close', () => {
      if (!res.writableFinished) handle.callerGone();
    });
    this.sender.sendProbes(service, router);
  }

  // The load of this VM's own server is known exactly and costs nothing to ask for.
  private learnLocal(service: string, router: ServiceRouter): void {
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

  private ask(
    service: string,
    view: ServerView,
    done: (report: LoadReport | undefined | 'silent') => void,
  ): void {
    const {gate, address, ask} = this.options;
    if (view.nodeId === address.nodeId) {
      gate.freshReport(service, done);
      return;
    }
    const link = this.links.addressOf(view.nodeId);
    if (link === undefined || ask === undefined) {
      done('silent');
      return;
    }
    ask(link, service, answer => {
      if (answer === undefined) {
        done('silent');
        return;
      }
      this.links.learnProcess(view.nodeId, answer.bootId);
      done(answer.report);
    });
  }

  private newCallId(req: IncomingMessage): string {
    const seq = this.callSeq++;
    const {nodeId, bootId} = this.options.address;
    const own = `${nodeId}-${bootId.toString(36)}-${seq}`;
    return this.options.callers.callIdOf(req, own, seq);
  }
}

function once<T>(make: () => T): () => T {
  let made: {value: T} | undefined;
  return () => (made ??= {value: make()}).value;
}
