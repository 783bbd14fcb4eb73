/** A node that finds its peers and its configuration in the store and talks to other nodes by datagrams. */
import type {Logger} from '@goldcresthill/logger';
import type {Metrics} from '@goldcresthill/metrics';
import {BudgetedStore} from '@goldcresthill/object-store';
import type {ObjectStore} from '@goldcresthill/object-store';
import {TokenBucket} from '@goldcresthill/budgets';
import type {NodeSettings} from '@goldcresthill/settings';
import type {Timers} from '@goldcresthill/timers';
import {InvariantError} from '@goldcresthill/types';
import type {NodeAddress, ServerRecord} from '@goldcresthill/types';
import type {Result} from 'neverthrow';
import {DataListener} from '../gate/data_listener';
import {GateTask} from '../gate/gate_task';
import type {Announcement} from '../gate/messages';
import type {ServerConnections} from '../gate/server_connections';
import type {ServerInterface} from '../gate/server_interface';
import type {CallerInterface} from '../gateway/caller_interface';
import {CrashNews} from '../gateway/crash_news';
import {DecisionLog} from '../gateway/decision_log';
import {fetchMembers} from '../gateway/gate_client';
import {GatewayTask} from '../gateway/gateway_task';
import {BodyBudget} from '../http/body';
import {DatagramLinks} from '../peers/datagram_links';
import type {SidecarConfig} from './sidecar_config';
import {SidecarControl} from './sidecar_control';

/** What a node starts from. */
export interface SidecarNodeOptions {
  readonly settings: NodeSettings;
  readonly timers: Timers;
  readonly store: ObjectStore;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly callers: CallerInterface;
  readonly server: ServerInterface;
  readonly connect: (announcement: Announcement) => ServerConnections;
  /** Object of the store that holds the configuration. */
  readonly configPath: string;
  readonly decodeConfig: (text: string) => Result<SidecarConfig, string>;
  readonly onConfig: (config: SidecarConfig) => void;
  readonly announceTtlMs: number;
  /** Service of the server of this VM. */
  readonly service: string;
  /** Time within which a configuration is to be in force everywhere, milliseconds. */
  readonly configApplyMs: number;
  readonly random?: () => number;
}

/** Time for which callers may still send to a leaving node before they have noticed, milliseconds. */
const LAME_DUCK_MS = 2_500;
/** Time kept for closing connections before the grace period ends, milliseconds. */
const CLOSING_MS = 500;
const POLL_MS = 20;
/** Decisions are in the log only, as memory is dear here. */
const REMEMBERED_CALLS = 0;
/** Above the longest deadline of a call several times over, milliseconds. */
const LEDGER_RETENTION_MS = 30_000;
/** Longest wait for the store before a leaving is acknowledged all the same; a report is answered within a second. */
const PERSIST_MS = 400;
/** Longest wait for what an earlier process of this node knew, milliseconds. */
const RECALL_MS = 700;
const MILLIS_PER_SECOND = 1_000;
const BOOT_FRACTION = 1_000;
/** Longest wait for the server's first word before this node makes itself known without it, milliseconds. */
const FIRST_WORD_MS = 700;

/** One process on one VM. */
export class SidecarNode {
  private readonly address: NodeAddress;
  private readonly gate: GateTask;
  private readonly gateway: GatewayTask;
  private readonly data: DataListener;
  private readonly links: DatagramLinks;
  private readonly control: SidecarControl<SidecarConfig>;
  private readonly store: BudgetedStore;
  private readonly budget: BodyBudget;
  private readonly crashNews: CrashNews;
  private leaving = false;
  private broken = 0;
  private hearServer: () => void = () => undefined;
  /** Resolves with the first word of the server of this VM. */
  private readonly serverHeard = new Promise<void>(done => {
    this.hearServer = done;
  });
  private announced: Announcement | undefined;
  private markRecalled: () => void = () => undefined;
  /** Resolves once it is known which servers have left before this process started. */
  private readonly recalled = new Promise<void>(done => {
    this.markRecalled = done;
  });

  constructor(private readonly options: SidecarNodeOptions) {
    this.address = this.makeAddress();
    this.store = this.makeStore();
    this.budget = new BodyBudget(options.settings.callers.buffered_bytes);
    this.crashNews = new CrashNews({
      timers: options.timers,
      logger: options.logger,
      quarantine: () => this.gateway.quarantine,
      spread: news => this.control.spread(news),
    });
    this.gate = this.makeGate();
    this.gateway = this.makeGateway();
    this.data = this.makeData();
    this.links = this.makeLinks();
    this.control = this.makeControl();
  }

  /** Listens, tells the fleet and follows the configuration. */
  async start(): Promise<void> {
    await Promise.all([
      this.gateway.listen(),
      this.data.listen(),
      this.links.listen(),
    ]);
    this.control.start();
    void this.makeKnown();
    const {nodeId, bootId, domain} = this.address;
    this.options.logger.info('started', {nodeId, bootId, domain});
  }

  /**
   * Takes what the server of this VM says of itself. Resolves when it may be
   * acknowledged: a leaving is then known beyond the life of this process.
   */
  async announce(announcement: Announcement): Promise<void> {
    const {timers} = this.options;
    this.announced = announcement;
    this.hearServer();
    if (announcement.state === 'draining') {
      this.gate.post({type: 'announce', announcement});
      this.tellLeaving();
      await Promise.race([
        this.control.noteLeaving(announcement.instance),
        timers.sleep(PERSIST_MS),
      ]);
      return;
    }
    // A late report of a server that an earlier process knew to leave must not open the gate.
    await Promise.race([this.recalled, timers.sleep(RECALL_MS)]);
    this.gate.post({type: 'announce', announcement});
  }

  get configVersion(): number {
    return this.control.configVersion;
  }

  get peerCount(): number {
    return this.control.reachable().length - 1;
  }

  get storeCalls(): {made: number; failed: number} {
    return this.store.counts;
  }

  get invariantsBroken(): number {
    return this.broken;
  }

  /** Whether callers may send to this node. */
  get isReady(): boolean {
    return !this.leaving && this.control.currentConfig !== undefined;
  }

  /**
   * Leaves: takes no more work for its server, lets what runs finish, and
   * serves callers until they have noticed. Answers how many requests were left.
   */
  async shutDown(): Promise<number> {
    if (this.leaving) return 0;
    this.leaving = true;
    const {timers, logger, settings} = this.options;
    logger.info('leaving', {inFlight: this.gate.requestsInFlight});
    const startedAt = timers.now();
    const graceMs = settings.node.grace_seconds * MILLIS_PER_SECOND;
    this.gateway.beginClosing();
    this.gate.post({type: 'drain'});
    this.control.leave();
    const endAt = startedAt + graceMs - CLOSING_MS;
    await timers.sleep(Math.min(LAME_DUCK_MS, graceMs - CLOSING_MS));
    this.gateway.stopAccepting();
    while (!this.isIdle && timers.now() < endAt) await timers.sleep(POLL_MS);
    const left = this.gate.requestsInFlight + this.gateway.callsOpen;
    await timers.sleep(CLOSING_MS / 2);
    await this.close();
    logger.info('left', {unfinished: left});
    return left;
  }

  async close(): Promise<void> {
    await Promise.all([
      this.control.close(),
      this.gateway.close(),
      this.data.close(),
      this.gate.close(),
      this.store.close(),
    ]);
  }

  private get isIdle(): boolean {
    return this.gate.isIdle && this.gateway.callsOpen === 0;
  }

  private makeAddress(): NodeAddress {
    const {settings, timers, random = Math.random} = this.options;
    const {node} = settings;
    return {
      nodeId: node.id,
      bootId:
        Math.floor(timers.wall()) * BOOT_FRACTION +
        Math.floor(random() * BOOT_FRACTION),
      host: node.host,
      dataPort: node.data_port,
      controlPort: node.control_port,
      domain: node.domain,
      region: node.region,
    };
  }

  private makeStore(): BudgetedStore {
    const {settings, timers, store} = this.options;
    const bucket = new TokenBucket(timers.now(), {
      perSecond: settings.platform.calls_per_second,
    });
    return new BudgetedStore(store, bucket, () => timers.now());
  }

  private makeGate(): GateTask {
    const {timers, connect, server, logger, announceTtlMs} = this.options;
    return new GateTask({
      timers,
      connect,
      serverInterface: server,
      announceTtlMs,
      ledgerRetentionMs: LEDGER_RETENTION_MS,
      nodeId: this.address.nodeId,
      incarnation: this.address.bootId,
      events: {
        onServers: servers => this.onServers(servers),
        onServerDied: (instance, fingerprints) =>
          this.crashNews.serverDied(instance, fingerprints),
        onCompleted: fingerprint => this.crashNews.completed(fingerprint),
        onFault: err => this.onFault(err),
        onDecision: fields => logger.decision(fields),
      },
    });
  }

  private makeGateway(): GatewayTask {
    const {settings, timers, callers, metrics, random} = this.options;
    return new GatewayTask({
      timers,
      address: this.address,
      callers,
      callerPort: settings.node.caller_port,
      maxConnections: settings.callers.max_connections,
      headerBytes: settings.callers.header_bytes,
      slowSenderMs: settings.callers.slow_sender_ms,
      gate: this.gate,
      store: this.store,
      budget: this.budget,
      decisions: new DecisionLog(this.options.logger, REMEMBERED_CALLS),
      metrics,
      random: random ?? Math.random,
      // News of a death is with the others within a datagram's time.
      newsHoldMs: 0,
      ask: (to, service, done) => this.links.ask(to, service, done),
      onFault: err => this.onFault(err),
    });
  }

  private makeData(): DataListener {
    return new DataListener({
      timers: this.options.timers,
      host: this.address.host,
      port: this.address.dataPort,
      incarnation: this.address.bootId,
      gate: this.gate,
      budget: this.budget,
      answerOwnerQuery: token => this.gateway.askKey(token),
      configText: () => this.control.configText,
      membersText: () => this.control.tableText,
    });
  }

  private makeLinks(): DatagramLinks {
    const {timers} = this.options;
    return new DatagramLinks({
      address: this.address,
      timers,
      watchedMs: () => this.control.watchedMs,
      events: {
        onExchange: message => this.control.receive(message),
        onAsk: (service, reply) => this.gate.freshReport(service, reply),
        onWatched: ageMs => this.control.hearWatched(ageMs),
        onFault: err => this.onFault(err),
      },
    });
  }

  private makeControl(): SidecarControl<SidecarConfig> {
    const {settings, random = Math.random} = this.options;
    return new SidecarControl<SidecarConfig>({
      ...this.options,
      address: this.address,
      random,
      store: this.store,
      links: this.links,
      fetchTable: fetchMembers,
      bytesPerSecond: settings.membership.bytes_per_second,
      versionOf: config => config.version,
      expectedServer: () => this.expectedServer(),
      events: {
        onMembers: (records, cutDomains) =>
          this.gateway.post({type: 'members', records, cutDomains}),
        onConfig: (config, source) => this.onConfig(config, source),
        onNews: news => this.gateway.post({type: 'news', news}),
        onLeaving: instances => this.takeLeaving(instances),
        onFault: err => this.onFault(err),
      },
    });
  }

  private onConfig(config: SidecarConfig, source: string): void {
    const {version, routes, rules} = config;
    this.options.logger.info('configuration', {
      version,
      source,
      routes: routes.length,
    });
    this.options.onConfig(config);
    this.gateway.post({type: 'configure', rules});
    this.gate.post({type: 'configure', rules});
  }

  private takeLeaving(instances: readonly string[]): void {
    this.gate.post({type: 'left', instances});
    this.tellLeaving();
    this.markRecalled();
  }

  private tellLeaving(): void {
    this.control.setLeaving(this.gate.leavingServers);
  }

  // Once, with the server if it speaks soon, so that others need no message about it.
  private async makeKnown(): Promise<void> {
    const {timers} = this.options;
    await Promise.race([this.serverHeard, timers.sleep(FIRST_WORD_MS)]);
    await this.control.makeKnown();
  }

  private expectedServer(): ServerRecord {
    const {service} = this.options;
    const {slots = 1, instance = '', port = 0} = this.announced ?? {};
    return {service, port, slots, instance, state: 'up'};
  }

  private onServers(servers: readonly ServerRecord[]): void {
    const summary = servers.map(s => `${s.service}:${s.instance}:${s.state}`);
    this.options.logger.info('servers', {servers: summary});
    this.control.setServers(servers);
  }

  private onFault(err: unknown): void {
    const broken = err instanceof InvariantError;
    if (broken) this.broken++;
    const detail = err instanceof Error ? err.message : String(err);
    this.options.logger.error(broken ? 'invariantBroken' : 'fault', {detail});
  }
}
