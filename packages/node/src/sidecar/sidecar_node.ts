/** A node that finds its peers and its configuration in the store and communicates with other nodes by datagrams. */
import type {ClientAccount} from '@goldcresthill/accounts';
import type {Logger} from '@goldcresthill/logger';
import type {Metrics} from '@goldcresthill/metrics';
import {BudgetedStore} from '@goldcresthill/object-store';
import type {ObjectStore} from '@goldcresthill/object-store';
import {TokenBucket} from '@goldcresthill/budgets';
import {runGuarded} from '@goldcresthill/errors';
import type {ServerVerification} from '@goldcresthill/gate';
import type {QuotaBounds, QuotaOutcome} from '@goldcresthill/quotas';
import type {NodeSettings} from '@goldcresthill/settings';
import type {Cancel, Timers} from '@goldcresthill/timers';
import {InvariantError, withoutMechanisms} from '@goldcresthill/types';
import type {NodeAddress, ServerRecord} from '@goldcresthill/types';
import type {Result} from 'neverthrow';
import {DataListener} from '../gate/data_listener';
import {GateTask} from '../gate/gate_task';
import type {Announcement} from '../gate/messages';
import type {ServerConnections} from '../gate/server_connections';
import type {ServerInterface} from '../gate/server_interface';
import type {CallHead} from '../gateway/call_head';
import type {CallerInterface} from '../gateway/caller_interface';
import {QuarantineReporter} from '../gateway/quarantine_reporter';
import {DecisionLog} from '../gateway/decision_log';
import {fetchMembers} from '../gateway/gate_client';
import {GatewayTask} from '../gateway/gateway_task';
import type {Evacuations} from '../gateway/server_endpoints';
import type {ChoiceExplanation} from '../gateway/route_explainer';
import {DispatchQueue} from '../http/dispatch_queue';
import {CrossDomainTraffic} from '../peers/cross_domain_traffic';
import type {TrafficKind} from '../peers/cross_domain_traffic';
import type {InputBudget} from '../http/input_budget';
import {DatagramLinks} from '../peers/datagram_links';
import {ProcessClocks} from '../proofs/process_clocks';
import type {ConfigOrigin} from '../config/config_follower';
import {QuotaTask} from '../quota/quota_task';
import type {SidecarConfig} from './sidecar_config';
import {SidecarControl} from './sidecar_control';
import type {EvacuationOptions} from './sidecar_control';
import type {ConfigProofOptions} from './sidecar_control';

/** Options of SidecarNode. */
export interface SidecarNodeOptions {
  readonly settings: NodeSettings;
  readonly timers: Timers;
  readonly store: ObjectStore;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly callers: CallerInterface;
  readonly server: ServerInterface;
  readonly connect: (announcement: Announcement) => ServerConnections;
  /** Path of the store object that holds the configuration. */
  readonly configPath: string;
  readonly decodeConfig: (text: string) => Result<SidecarConfig, string>;
  readonly onConfig: (config: SidecarConfig) => void;
  /** Called with server instances that left before this process started. */
  readonly onLeftRestored: (instances: readonly string[]) => void;
  /** Time after which a server that has not announced itself again counts as down, milliseconds. */
  readonly announceTtlMs: number;
  /** Verifies a server that may have left before this process started; undefined if no process of this node ran before. */
  readonly verification?: ServerVerification | undefined;
  /** Service that the server of this VM provides. */
  readonly service: string;
  /** Whether the whole fleet starts for the first time, so that there is no earlier configuration. */
  readonly isFirstStart: boolean;
  /** Time within which a configuration must be in force at all nodes, milliseconds. */
  readonly configApplyMs: number;
  /** Writes per second that the store allows the whole fleet. */
  readonly storeWritesPerSecond: number;
  /** Evacuations of failure domains; undefined if the deployment has none. */
  readonly evacuation?: EvacuationOptions;
  /** Age from which requests of client accounts are refused unless the configuration is proven to be newer, milliseconds; undefined if no proof is required. */
  readonly maxProofAgeMs?: number | undefined;
  /** Limits on what input of other parties uses of the process. */
  readonly inputBudget: InputBudget;
  readonly random?: () => number;
  /** Bounds of the caps of client accounts; without them, caps are not enforced. */
  readonly quotaBounds?: QuotaBounds;
}

/** Time for which a leaving node still accepts calls, until callers have noticed that it leaves, milliseconds. */
const LAME_DUCK_MS = 2_500;
/** Part of the grace period reserved for closing connections, milliseconds. */
const CLOSE_RESERVE_MS = 500;
const IDLE_POLL_INTERVAL_MS = 20;
/** Decisions are only logged, because memory is scarce beside a server. */
const REMEMBERED_CALLS = 0;
/** Retention of ledger entries, milliseconds; several times the longest deadline of a call. */
const LEDGER_RETENTION_MS = 30_000;
/** Longest wait for the store before a deregistration is acknowledged regardless, milliseconds; announcements must be answered within a second. */
const PERSIST_TIMEOUT_MS = 400;
/** Longest wait for the leaving servers that an earlier process of this node wrote, milliseconds. */
const LEAVING_KNOWN_TIMEOUT_MS = 700;
const MILLIS_PER_SECOND = 1_000;
const BOOT_IDS_PER_MS = 1_000;
/** Longest wait for the server's first announcement before presence is published without it, milliseconds. */
const FIRST_ANNOUNCEMENT_TIMEOUT_MS = 700;

/** The tasks of a node on one VM, wired together. */
export class SidecarNode {
  private readonly address: NodeAddress;
  private readonly gate: GateTask;
  private readonly gateway: GatewayTask;
  private readonly dataListener: DataListener;
  private readonly links: DatagramLinks;
  private readonly control: SidecarControl<SidecarConfig>;
  private readonly store: BudgetedStore;
  private readonly traffic: CrossDomainTraffic;
  private readonly clocks = new ProcessClocks();
  private readonly quotas: QuotaTask | undefined;
  private readonly dispatchQueue = new DispatchQueue({
    onFault: err => this.onFault(err),
  });
  private readonly quarantineReporter: QuarantineReporter;
  private shutdown: Promise<number> | undefined;
  private brokenInvariantCount = 0;
  private resolveServerAnnounced: () => void = () => undefined;
  /** Resolves with the first announcement of the server of this VM. */
  private readonly serverAnnounced = new Promise<void>(resolve => {
    this.resolveServerAnnounced = resolve;
  });
  private lastAnnouncement: Announcement | undefined;
  private resolveLeavingKnown: () => void = () => undefined;
  /** Resolves once the servers that left before this process started are known. */
  private readonly leavingKnown = new Promise<void>(resolve => {
    this.resolveLeavingKnown = resolve;
  });

  constructor(private readonly options: SidecarNodeOptions) {
    this.address = this.makeAddress();
    this.traffic = new CrossDomainTraffic(this.address.domain);
    this.store = this.makeStore();
    this.quarantineReporter = new QuarantineReporter({
      timers: options.timers,
      logger: options.logger,
      quarantine: () => this.gateway.quarantine,
      publish: update => this.control.spread(update),
    });
    this.gate = this.makeGate();
    this.gateway = this.makeGateway();
    this.dataListener = this.makeDataListener();
    this.links = this.makeLinks();
    this.control = this.makeControl();
    // Until it is known which domains are evacuated, each of them may be.
    if (options.evacuation !== undefined) this.applyEvacuations('unknown');
    this.quotas = this.makeQuotas();
  }

  /** Starts to listen, to publish presence and to follow the configuration; resolves once all ports are open. */
  async start(): Promise<void> {
    await Promise.all([
      this.gateway.listen(),
      this.dataListener.listen(),
      this.links.listen(),
    ]);
    this.control.start();
    this.runDetached(() => this.publishPresence());
    const {nodeId, bootId, domain} = this.address;
    this.options.logger.info('started', {nodeId, bootId, domain});
  }

  /**
   * Handles an announcement of the server of this VM. Resolves when it may be
   * acknowledged: a deregistration is persisted before that, so that it survives
   * this process, unless the store fails or is too slow.
   */
  async announce(announcement: Announcement): Promise<void> {
    const {timers} = this.options;
    this.lastAnnouncement = announcement;
    this.resolveServerAnnounced();
    if (announcement.state === 'draining') {
      this.gate.post({type: 'announce', announcement});
      const {instance, leftAs} = announcement;
      if (leftAs === undefined) await this.persistLeft(instance);
      else await this.recordLeft(leftAs);
      return;
    }
    // A delayed announcement of a server that deregistered at an earlier process must not open the gate.
    await Promise.race([
      this.leavingKnown,
      timers.sleep(LEAVING_KNOWN_TIMEOUT_MS),
    ]);
    this.gate.post({type: 'announce', announcement});
  }

  /**
   * Records that a server has left whose announcements this process has not
   * received. Resolves when that may be acknowledged, as for `announce`.
   */
  async recordLeft(instance: string): Promise<void> {
    this.gate.post({type: 'left', instances: [instance]});
    await this.persistLeft(instance);
  }

  private async persistLeft(instance: string): Promise<void> {
    const {timers} = this.options;
    this.publishLeaving();
    await Promise.race([
      this.control.persistLeaving(instance),
      timers.sleep(PERSIST_TIMEOUT_MS),
    ]);
  }

  get configVersion(): number {
    return this.control.configVersion;
  }

  /** Time since the store's newest answer for the configuration in force that this node knows of, milliseconds. */
  get configConfirmedMs(): number {
    return Math.round(this.control.confirmation.ageMs);
  }

  /** Whether requests of client accounts may be served; what is judged by this must have been read before. */
  get isConfigProven(): boolean {
    return this.control.proof?.isProven() ?? true;
  }

  /** Time until the configuration may be proven again, milliseconds. */
  get proofRetryAfterMs(): number {
    return this.control.proof?.retryAfterMs ?? 0;
  }

  /** Age of the proof of the configuration in force, milliseconds; NaN without one. */
  get configProofAgeMs(): number {
    const ageMs = this.control.proof?.ageMs ?? NaN;
    return Number.isFinite(ageMs) ? Math.round(ageMs) : NaN;
  }

  get peerCount(): number {
    return this.control.reachable().length - 1;
  }

  get storeCalls(): {made: number; failed: number} {
    return this.store.counts;
  }

  /** Newest era of the store that this node knows; 0 before the first response. */
  get storeEra(): number {
    return this.store.era;
  }

  /** Explains where a call with this head would go now, without sending it; see GatewayTask. */
  explainChoice(
    head: CallHead,
    requestBytes: number,
  ): Promise<ChoiceExplanation> {
    return this.gateway.explain(head, requestBytes);
  }

  /** Bytes of a kind that this node has sent to other failure domains. */
  crossDomainBytes(kind: TrafficKind): number {
    return this.traffic.bytes(kind);
  }

  get invariantsBroken(): number {
    return this.brokenInvariantCount;
  }

  /** Whether this node accepts calls: it has a configuration and is not leaving. */
  get isReady(): boolean {
    return (
      this.shutdown === undefined &&
      this.control.currentConfig !== undefined &&
      this.control.evacuatedDomains !== undefined
    );
  }

  /** Number of failure domains that are evacuated, as far as this node knows. */
  get evacuatedDomainCount(): number {
    return this.control.evacuatedDomains?.length ?? 0;
  }

  /**
   * Shuts down: refuses further requests for its server, lets running ones finish,
   * and serves callers until they have noticed. Resolves to the number of unfinished requests;
   * repeated calls resolve with the first one.
   */
  shutDown(): Promise<number> {
    this.shutdown ??= this.drainAndClose();
    return this.shutdown;
  }

  async close(): Promise<void> {
    this.dispatchQueue.close();
    this.quotas?.close();
    await Promise.all([
      this.control.close(),
      this.gateway.close(),
      this.dataListener.close(),
      this.gate.close(),
      this.store.close(),
    ]);
  }

  private async drainAndClose(): Promise<number> {
    const {timers, logger, settings} = this.options;
    logger.info('leaving', {inFlight: this.gate.requestsInFlight});
    const startedAt = timers.now();
    const graceMs = settings.node.grace_seconds * MILLIS_PER_SECOND;
    const endAt = startedAt + graceMs - CLOSE_RESERVE_MS;
    const acceptMs = Math.min(LAME_DUCK_MS, graceMs - CLOSE_RESERVE_MS);
    this.gateway.beginClosing({
      acceptsUntil: startedAt + acceptMs,
      closesAt: endAt,
    });
    this.gate.post({type: 'drain'});
    this.control.leave();
    await timers.sleep(acceptMs);
    this.gateway.stopAccepting();
    while (!this.isIdle && timers.now() < endAt)
      await timers.sleep(IDLE_POLL_INTERVAL_MS);
    const unfinished = this.gate.requestsInFlight + this.gateway.callsOpen;
    await timers.sleep(CLOSE_RESERVE_MS / 2);
    await this.close();
    logger.info('left', {unfinished});
    return unfinished;
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
        Math.floor(timers.wall()) * BOOT_IDS_PER_MS +
        Math.floor(random() * BOOT_IDS_PER_MS),
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
    return new BudgetedStore({
      inner: store,
      bucket,
      now: () => timers.now(),
      onFault: err => this.onFault(err),
    });
  }

  private makeGate(): GateTask {
    const {timers, connect, server, logger, announceTtlMs, verification} =
      this.options;
    return new GateTask({
      timers,
      connect,
      serverInterface: server,
      announceTtlMs,
      verification,
      ledgerRetentionMs: LEDGER_RETENTION_MS,
      nodeId: this.address.nodeId,
      incarnation: this.address.bootId,
      events: {
        onServers: servers => this.onServers(servers),
        onServerLeaving: instance => this.recordLeaving(instance),
        onServerDied: (instance, fingerprints) =>
          this.quarantineReporter.reportServerDeath(instance, fingerprints),
        onCompleted: fingerprint =>
          this.quarantineReporter.reportCompletion(fingerprint),
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
      budget: this.options.inputBudget,
      dispatchQueue: this.dispatchQueue,
      decisions: new DecisionLog(this.options.logger, REMEMBERED_CALLS),
      metrics,
      random: random ?? Math.random,
      traffic: this.traffic,
      // Quarantine updates reach the other nodes within the time of one datagram, so errors need not be delayed.
      crashErrorDelayMs: 0,
      sendLoadQuery: (to, query, done) =>
        this.links.requestLoad(to, query, done),
      admitCapped: (account, done) => this.admitCapped(account, done),
      onFault: err => this.onFault(err),
    });
  }

  private makeDataListener(): DataListener {
    return new DataListener({
      timers: this.options.timers,
      host: this.address.host,
      port: this.address.dataPort,
      incarnation: this.address.bootId,
      gate: this.gate,
      budget: this.options.inputBudget,
      dispatchQueue: this.dispatchQueue,
      onDecision: fields => this.options.logger.decision(fields),
      answerOwnerQuery: token => this.gateway.lookUpClaim(token),
      configText: () => this.control.configText,
      memberTableText: () => this.control.memberTableText,
      traffic: this.traffic,
      onFault: err => this.onFault(err),
    });
  }

  private makeLinks(): DatagramLinks {
    const {timers} = this.options;
    return new DatagramLinks({
      address: this.address,
      timers,
      confirmedMs: () => this.control.confirmation.ageMs,
      evacuations: () => this.control.evacuationNotice,
      traffic: this.traffic,
      events: {
        onExchange: message => this.control.receive(message),
        onLoadRequest: (query, reply) =>
          this.gate.estimateAdmission(query, reply),
        onEvacuations: notice => this.control.recordEvacuations(notice),
        onConfirmation: (confirmation, isSpread) =>
          this.control.recordConfirmation(confirmation, isSpread),
        onProve: names => [
          ...this.control.proofsOf(names),
          ...(this.quotas?.proofsOf(names) ?? []),
        ],
        onTokens: (query, sendList) =>
          this.quotas?.answerTokens(query, sendList),
        onAllocators: list => this.quotas?.setList(list),
        onFault: err => this.onFault(err),
      },
    });
  }

  private makeControl(): SidecarControl<SidecarConfig> {
    const {settings, random = Math.random} = this.options;
    return new SidecarControl<SidecarConfig>({
      activeStrikes: limit =>
        this.gateway.quarantine.activeStrikes(
          this.options.timers.wall(),
          limit,
        ),
      ...this.options,
      address: this.address,
      random,
      store: this.store,
      links: this.links,
      fetchMemberTable: fetchMembers,
      sendConfirmation: (to, confirmation) =>
        this.links.confirm(to, confirmation),
      bytesPerSecond: settings.membership.bytes_per_second,
      versionOf: config => config.version,
      expectedServer: () => this.expectedServer(),
      configProofs: this.configProofOptions(),
      events: {
        onMembers: (records, cutDomains) => {
          this.traffic.setNodes(records.map(({address}) => address));
          this.gateway.post({type: 'members', records, cutDomains});
        },
        onConfig: (config, origin) => this.onConfig(config, origin),
        onQuarantineUpdate: news => this.gateway.post({type: 'news', news}),
        onLeavingInstances: instances => this.restoreLeaving(instances),
        onEvacuations: domains => this.applyEvacuations(new Set(domains)),
        onFault: err => this.onFault(err),
      },
    });
  }

  private configProofOptions(): ConfigProofOptions<SidecarConfig> | undefined {
    const {maxProofAgeMs: maxAgeMs} = this.options;
    if (maxAgeMs === undefined) return undefined;
    return {
      maxAgeMs,
      isNeeded: ({accounts}) => accounts !== undefined,
      readClocks: () => this.clocks.read(),
      request: (to, names, done) => this.links.requestProofs(to, names, done),
    };
  }

  private makeQuotas(): QuotaTask | undefined {
    const {quotaBounds, random = Math.random, ...options} = this.options;
    if (quotaBounds === undefined) return undefined;
    return new QuotaTask({
      ...options,
      address: this.address,
      random,
      store: this.store,
      clocks: () => this.clocks.read(),
      bounds: quotaBounds,
      links: {
        requestTokens: (to, query, done) =>
          this.links.requestTokens(to, query, done),
        requestProofs: (to, names, done) =>
          this.links.requestProofs(to, names, done),
        sendAllocators: (to, list) => this.links.sendAllocators(to, list),
      },
      fleet: {
        reachable: () => this.control.usable(),
        addressOf: nodeId => this.control.addressOf(nodeId),
        knownCount: () => this.control.knownCount,
      },
      onFault: err => this.onFault(err),
    });
  }

  private admitCapped(
    account: ClientAccount,
    done: (outcome: QuotaOutcome) => void,
  ): Cancel {
    if (this.quotas !== undefined) return this.quotas.admit(account, done);
    done({type: 'admitted'});
    return () => undefined;
  }

  private setCaps({accounts}: SidecarConfig): void {
    // A list of accounts that cannot be read leaves the caps as they are.
    if (accounts !== undefined && accounts.directory === undefined) return;
    const capped = (accounts?.directory?.list() ?? []).filter(
      ({ratePerSecond}) => ratePerSecond > 0,
    );
    this.quotas?.setCaps(new Map(capped.map(cap => [cap.name, cap])));
  }

  private onConfig(config: SidecarConfig, origin: ConfigOrigin): void {
    const {version, routes, callerLimits} = config;
    const {off} = this.options.settings.ablation;
    const rules = new Map(
      [...config.rules].map(([service, rule]) => [
        service,
        withoutMechanisms(rule, off),
      ]),
    );
    this.options.logger.info('configuration', {
      version,
      ...origin,
      routes: routes.length,
    });
    this.options.onConfig(config);
    this.setCaps(config);
    this.gateway.setCallerLimits(callerLimits);
    this.dataListener.setMaxCallerHeaderBytes(callerLimits.maxHeaderBytes);
    this.gateway.post({type: 'configure', rules});
    this.gate.post({type: 'configure', rules});
  }

  private applyEvacuations(evacuations: Evacuations): void {
    this.gateway.post({type: 'evacuate', evacuations});
    const isOwn =
      evacuations !== 'unknown' && evacuations.has(this.address.domain);
    const known = isOwn ? 'evacuated' : 'none';
    const evacuation = evacuations === 'unknown' ? 'unknown' : known;
    this.gate.post({type: 'evacuate', evacuation});
  }

  private restoreLeaving(instances: readonly string[]): void {
    this.gate.post({type: 'left', instances});
    this.options.onLeftRestored(instances);
    this.publishLeaving();
    this.resolveLeavingKnown();
  }

  private recordLeaving(instance: string): void {
    this.options.logger.info('serverLeaving', {instance});
    this.publishLeaving();
    this.runDetached(() => this.control.persistLeaving(instance));
  }

  private runDetached(work: () => Promise<unknown>): void {
    runGuarded(err => this.onFault(err), work);
  }

  private publishLeaving(): void {
    this.control.setLeaving(this.gate.leavingServers);
  }

  // Waits shortly for the server's announcement, so that one write covers the server too and the others need no message about it.
  private async publishPresence(): Promise<void> {
    const {timers} = this.options;
    await Promise.race([
      this.serverAnnounced,
      timers.sleep(FIRST_ANNOUNCEMENT_TIMEOUT_MS),
    ]);
    await this.control.publishPresence();
  }

  private expectedServer(): ServerRecord {
    const {service} = this.options;
    const {slots = 1, instance = '', port = 0} = this.lastAnnouncement ?? {};
    return {service, port, slots, instance, state: 'up'};
  }

  private onServers(servers: readonly ServerRecord[]): void {
    const summary = servers.map(s => `${s.service}:${s.instance}:${s.state}`);
    this.options.logger.info('servers', {servers: summary});
    this.control.setServers(servers);
  }

  private onFault(err: unknown): void {
    const isInvariantError = err instanceof InvariantError;
    if (isInvariantError) this.brokenInvariantCount++;
    const detail = err instanceof Error ? err.message : String(err);
    this.options.logger.error(isInvariantError ? 'invariantBroken' : 'fault', {
      detail,
    });
  }
}
