/** A node: wires the tasks together, starts and stops them. */
import {monitorEventLoopDelay} from 'node:perf_hooks';
import type {IntervalHistogram} from 'node:perf_hooks';
import {TokenBucket} from '@goldcresthill/budgets';
import type {Logger} from '@goldcresthill/logger';
import {watchersOf} from '@goldcresthill/membership';
import type {MemberNews, MemberRecord} from '@goldcresthill/membership';
import {Metrics} from '@goldcresthill/metrics';
import {BudgetedStore, StoreBreaker} from '@goldcresthill/platform';
import type {ObjectStore} from '@goldcresthill/platform';
import type {NodeSettings} from '@goldcresthill/settings';
import type {Configuration} from '@goldcresthill/tickets';
import {invariantCount, InvariantError} from '@goldcresthill/types';
import type {
  NodeAddress,
  ServerRecord,
  ServiceRules,
} from '@goldcresthill/types';
import {monotonicMs, wallMs} from './clock';
import {ConfigTask} from './config/config_task';
import {DataListener} from './gate/data_listener';
import {GateTask} from './gate/gate_task';
import {DecisionLog} from './gateway/decision_log';
import {GatewayTask} from './gateway/gateway_task';
import {BodyBudget} from './http/body';
import {ControlListener} from './member/control_listener';
import {MemberTask} from './member/member_task';
import {Presence} from './member/presence';
import {OperatorTask} from './operator/operator_task';
import type {NodeStatus} from './operator/status';
import {viewMembers, viewServers} from './operator/status';

/** What a node starts from. */
export interface NodeOptions {
  readonly settings: NodeSettings;
  readonly store: ObjectStore;
  readonly logger: Logger;
  readonly random?: () => number;
}

/** Ports in use, once listening. */
export interface NodePorts {
  readonly caller: number;
  readonly data: number;
  readonly control: number;
  readonly operator: number;
}

/** Nodes of each domain that watch the configuration. */
const WATCHERS_PER_DOMAIN = 2;
/** Time for which a leaving node still takes calls while peers and callers hear of it, milliseconds. */
const LAME_DUCK_MS = 1_000;
const POLL_MS = 20;
const MILLIS_PER_SECOND = 1_000;
const NANOS_PER_MICRO = 1_000;
const BOOT_FRACTION = 1_000;
const EVENT_LOOP_RESOLUTION_MS = 10;

/** One process on one VM. */
export class Node {
  readonly metrics = new Metrics();
  private readonly address: NodeAddress;
  private readonly incarnation = wallMs();
  private readonly store: BudgetedStore;
  private readonly breaker: StoreBreaker;
  private readonly budget: BodyBudget;
  private readonly decisions: DecisionLog;
  private readonly loopDelay: IntervalHistogram;
  private tasks: Tasks | undefined;
  private state: NodeStatus['state'] = 'starting';
  private broken = 0;

  constructor(private readonly options: NodeOptions) {
    const {node, callers, platform} = options.settings;
    const random = options.random ?? Math.random;
    this.address = {
      nodeId: node.id,
      bootId: wallMs() * BOOT_FRACTION + Math.floor(random() * BOOT_FRACTION),
      host: node.host,
      dataPort: node.data_port,
      controlPort: node.control_port,
      domain: node.domain,
      region: node.region,
    };
    const bucket = new TokenBucket(monotonicMs(), {
      perSecond: platform.calls_per_second,
    });
    this.store = new BudgetedStore(options.store, bucket, monotonicMs);
    this.breaker = new StoreBreaker({random});
    this.budget = new BodyBudget(callers.buffered_bytes);
    this.decisions = new DecisionLog(options.logger);
    this.loopDelay = monitorEventLoopDelay({
      resolution: EVENT_LOOP_RESOLUTION_MS,
    });
  }

  /** Listens, joins the fleet and follows the configuration. */
  async start(): Promise<NodePorts> {
    this.loopDelay.enable();
    const tasks = new Tasks(this.taskOptions());
    this.tasks = tasks;
    const ports = await tasks.listen();
    tasks.config.start();
    void tasks.presence.start();
    this.state = 'serving';
    this.options.logger.info('started', {
      ...ports,
      domain: this.address.domain,
    });
    return ports;
  }

  /**
   * Leaves: refuses new work at the gate at once, lets what runs finish, tells
   * the fleet and withdraws. Answers how many requests were left unfinished.
   */
  async shutDown(): Promise<number> {
    const tasks = this.tasks;
    if (tasks === undefined || this.state === 'leaving') return 0;
    this.state = 'leaving';
    this.options.logger.info('leaving', {
      inFlight: tasks.gate.requestsInFlight,
    });
    const graceMs =
      this.options.settings.node.grace_seconds * MILLIS_PER_SECOND;
    const end = monotonicMs() + graceMs;
    tasks.gateway.beginClosing();
    tasks.gate.post({type: 'drain'});
    await pause(Math.min(LAME_DUCK_MS, graceMs));
    tasks.gateway.stopAccepting();
    while (!tasks.isIdle && monotonicMs() < end) await pause(POLL_MS);
    const left = tasks.gate.requestsInFlight + tasks.gateway.callsOpen;
    tasks.member.post({type: 'leave'});
    await tasks.presence.remove();
    await pause(LAME_DUCK_MS / 10);
    await this.close();
    this.options.logger.info('left', {unfinished: left});
    return left;
  }

  /** Stops at once. */
  async close(): Promise<void> {
    this.loopDelay.disable();
    await this.tasks?.close();
    await this.store.close();
  }

  /** Everything that operators are shown. */
  status(): NodeStatus {
    const tasks = this.tasks;
    if (tasks === undefined) throw new Error('not started');
    const cpu = process.cpuUsage();
    const {membership} = tasks.member;
    return {
      node: this.address.nodeId,
      state: this.state,
      configRevision: tasks.config.current.revision,
      configAgeMs: Math.round(tasks.config.ageMs),
      membershipDigest: membership.digest,
      cutDomains: [...tasks.cutDomains],
      members: viewMembers(membership.records()),
      servers: viewServers(monotonicMs(), tasks.gateway.serviceRouters),
      quarantined: tasks.gateway.quarantine.refused(wallMs()),
      callsOpen: tasks.gateway.callsOpen,
      invariants: {checked: invariantCount(), broken: this.broken},
      store: this.store.counts,
      logLinesDropped: this.options.logger.linesDropped,
      process: {
        rssBytes: process.memoryUsage.rss(),
        cpuMicros: cpu.user + cpu.system,
        uptimeSeconds: process.uptime(),
        eventLoopP99Us: Math.round(
          this.loopDelay.percentile(99) / NANOS_PER_MICRO,
        ),
      },
    };
  }

  private taskOptions(): TaskOptions {
    const {settings, logger, random = Math.random} = this.options;
    return {
      settings,
      logger,
      random,
      address: this.address,
      incarnation: this.incarnation,
      store: this.store,
      breaker: this.breaker,
      budget: this.budget,
      decisions: this.decisions,
      metrics: this.metrics,
      status: () => this.status(),
      onFault: err => this.onFault(err),
    };
  }

  private onFault(err: unknown): void {
    const broken = err instanceof InvariantError;
    if (broken) this.broken++;
    const detail = err instanceof Error ? err.message : String(err);
    this.options.logger.error(broken ? 'invariantBroken' : 'fault', {detail});
  }
}

interface TaskOptions {
  readonly settings: NodeSettings;
  readonly logger: Logger;
  readonly random: () => number;
  readonly address: NodeAddress;
  readonly incarnation: number;
  readonly store: ObjectStore;
  readonly breaker: StoreBreaker;
  readonly budget: BodyBudget;
  readonly decisions: DecisionLog;
  readonly metrics: Metrics;
  readonly status: () => NodeStatus;
  readonly onFault: (err: unknown) => void;
}

/** The tasks of a node and the messages between them. */
class Tasks {
  readonly gate: GateTask;
  readonly gateway: GatewayTask;
  readonly member: MemberTask;
  readonly config: ConfigTask;
  readonly presence: Presence;
  cutDomains: ReadonlySet<string> = new Set();
  private readonly data: DataListener;
  private readonly control: ControlListener;
  private readonly operator: OperatorTask;
  private membersPending = false;

  constructor(private readonly options: TaskOptions) {
    this.gate = this.makeGate();
    this.gateway = this.makeGateway();
    this.member = this.makeMember();
    this.config = this.makeConfig();
    this.presence = new Presence({
      store: options.store,
      breaker: options.breaker,
      address: options.address,
      incarnation: options.incarnation,
      onPeers: records => this.member.post({type: 'seed', records}),
    });
    this.data = this.makeData();
    this.control = this.makeControl();
    this.operator = this.makeOperator();
    this.onMembers();
  }

  async listen(): Promise<NodePorts> {
    const [caller, data, control, operator] = await Promise.all([
      this.gateway.listen(),
      this.data.listen(),
      this.control.listen(),
      this.operator.listen(),
    ]);
    return {caller, data, control, operator};
  }

  get isIdle(): boolean {
    return this.gate.isIdle && this.gateway.callsOpen === 0;
  }

  async close(): Promise<void> {
    this.presence.close();
    await Promise.all([
      this.config.close(),
      this.member.close(),
      this.operator.close(),
      this.control.close(),
      this.gateway.close(),
      this.data.close(),
      this.gate.close(),
    ]);
  }

  private makeGate(): GateTask {
    const {address, logger, onFault} = this.options;
    return new GateTask({
      nodeId: address.nodeId,
      incarnation: address.bootId,
      events: {
        onServers: servers => this.onServers(servers),
        onServerDied: (instance, fingerprints) =>
          this.onServerDied(instance, fingerprints),
        onCompleted: fingerprint => this.onCompleted(fingerprint),
        onFault,
        onDecision: fields => logger.decision(fields),
      },
    });
  }

  private makeGateway(): GatewayTask {
    const {
      settings,
      address,
      store,
      budget,
      decisions,
      metrics,
      random,
      onFault,
    } = this.options;
    return new GatewayTask({
      address,
      callerPort: settings.node.caller_port,
      maxConnections: settings.callers.max_connections,
      headerBytes: settings.callers.header_bytes,
      slowSenderMs: settings.callers.slow_sender_ms,
      gate: this.gate,
      store,
      budget,
      decisions,
      metrics,
      random,
      onFault,
    });
  }

  private makeMember(): MemberTask {
    const {settings, address, incarnation, random, onFault} = this.options;
    return new MemberTask({
      address,
      incarnation,
      roundMs: settings.membership.round_ms,
      bytesPerSecond: settings.membership.bytes_per_second,
      random,
      events: {
        onMembers: () => this.scheduleMembers(),
        onNews: news => this.onNews(news),
        heldRevision: () => this.config.current.revision,
        onDelta: delta => this.config.post({type: 'delta', delta}),
        onStatus: (nodeId, status, reason) =>
          this.onStatus(nodeId, status, reason),
        onFault,
      },
    });
  }

  private makeConfig(): ConfigTask {
    const {store, breaker, random, onFault} = this.options;
    return new ConfigTask({
      store,
      breaker,
      random,
      onConfiguration: (configuration, source) =>
        this.onConfiguration(configuration, source),
      onFault,
    });
  }

  private makeData(): DataListener {
    const {address, budget} = this.options;
    return new DataListener({
      host: address.host,
      port: address.dataPort,
      incarnation: address.bootId,
      gate: this.gate,
      budget,
      askKey: token => this.gateway.askKey(token),
    });
  }

  private makeControl(): ControlListener {
    const {address} = this.options;
    return new ControlListener({
      host: address.host,
      port: address.controlPort,
      onExchange: message => this.member.receive(message),
      onFetchConfig: since => this.config.deltaFor(since),
    });
  }

  private makeOperator(): OperatorTask {
    const {address, settings, metrics, decisions, status} = this.options;
    return new OperatorTask({
      host: address.host,
      port: settings.node.operator_port,
      onAnnounce: announcement =>
        this.gate.post({type: 'announce', announcement}),
      onTicket: (ticket, reply) =>
        this.config.post({type: 'submit', ticket, reply}),
      status,
      configuration: () => this.config.current,
      metrics: () => metrics.expose(),
      explain: callId => decisions.explain(callId),
    });
  }

  private onServers(servers: readonly ServerRecord[]): void {
    const summary = servers.map(s => `${s.service}:${s.state}`);
    this.options.logger.decision({what: 'servers', servers: summary});
    this.member.post({type: 'servers', servers});
  }

  private onServerDied(
    instance: string,
    fingerprints: readonly string[],
  ): void {
    this.options.logger.warn('serverDied', {
      instance,
      inFlight: fingerprints.length,
    });
    for (const fingerprint of new Set(fingerprints)) {
      this.spread({type: 'strike', fingerprint, instance, at: wallMs()});
    }
  }

  private onCompleted(fingerprint: () => string): void {
    if (this.gateway.quarantine.isEmpty) return;
    const digest = fingerprint();
    if (!this.gateway.quarantine.isKnown(digest)) return;
    this.spread({type: 'clearance', fingerprint: digest, at: wallMs()});
  }

  private spread(news: MemberNews): void {
    this.gateway.post({type: 'news', news});
    this.member.post({type: 'spread', news});
  }

  private onNews(news: MemberNews): void {
    const {quarantine} = this.gateway;
    const fresh =
      news.type === 'strike' ? quarantine.strike(news) : quarantine.clear(news);
    if (fresh) this.member.post({type: 'spread', news});
  }

  private onStatus(nodeId: string, status: string, reason: string): void {
    this.options.logger.info('member', {member: nodeId, status, reason});
    if (status !== 'dead') return;
    const dead = this.member.membership.get(nodeId)?.address;
    const watchers = watchersOf(this.member.membership.reachable(), 1);
    const cleans = watchers.has(this.options.address.nodeId);
    if (dead !== undefined && cleans) void this.presence.removeDead(dead);
  }

  // Many records may change in one turn; the routers are updated once.
  private scheduleMembers(): void {
    if (this.membersPending) return;
    this.membersPending = true;
    setImmediate(() => {
      this.membersPending = false;
      this.onMembers();
    });
  }

  private onMembers(): void {
    const {membership} = this.member;
    const records: readonly MemberRecord[] = membership.records();
    const domains = new Set(records.map(record => record.address.domain));
    this.cutDomains = new Set(
      [...domains].filter(domain => this.isCutOff(domain)),
    );
    this.gateway.post({type: 'members', records});
    const watchers = watchersOf(membership.reachable(), WATCHERS_PER_DOMAIN);
    this.config.post({
      type: 'watching',
      on: watchers.has(this.options.address.nodeId),
    });
  }

  private isCutOff(domain: string): boolean {
    return (
      domain !== this.options.address.domain &&
      this.member.membership.isCut(domain)
    );
  }

  private onConfiguration(configuration: Configuration, source: string): void {
    const {revision} = configuration;
    this.options.logger.info('configuration', {revision, source});
    const rules = new Map<string, ServiceRules>();
    for (const [service, entry] of Object.entries(configuration.services)) {
      if (entry.rules !== undefined) rules.set(service, entry.rules);
    }
    this.gateway.post({type: 'configure', rules});
    this.gate.post({type: 'configure', rules});
    this.member.post({type: 'configRevision', revision});
  }
}

function pause(ms: number): Promise<void> {
  return new Promise(done => setTimeout(done, ms));
}
