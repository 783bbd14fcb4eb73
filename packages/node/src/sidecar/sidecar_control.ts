/** Membership, configuration and presence of a node whose store returns lists in pages. */
import type {Logger} from '@goldcresthill/logger';
import {runGuarded} from '@goldcresthill/errors';
import {ownerOf, standbyRankOf, WatchDuty} from '@goldcresthill/membership';
import type {
  Confirmation,
  EvacuationNotice,
  ExchangeMessage,
  QuarantineUpdate,
  MemberRecord,
} from '@goldcresthill/membership';
import {StoreBreaker} from '@goldcresthill/object-store';
import type {ObjectStore} from '@goldcresthill/object-store';
import type {ClockReading} from '@goldcresthill/freshness';
import {encodeTable} from '@goldcresthill/peers';
import type {ProofEntry} from '@goldcresthill/peers';
import type {Strike} from '@goldcresthill/quarantine';
import type {Cancel, Timers} from '@goldcresthill/timers';
import type {Millis, NodeAddress, ServerRecord} from '@goldcresthill/types';
import type {Result} from 'neverthrow';
import {ConfigFollower} from '../config/config_follower';
import {EvacuationFollower} from '../config/evacuation_follower';
import type {ConfigOrigin, WatcherPosition} from '../config/config_follower';
import {MemberTask} from '../member/member_task';
import type {PeerLinks} from '../member/peer_links';
import {Presence} from '../member/presence';
import {ProofTask} from '../proofs/proof_task';
import type {RequestProofs} from '../proofs/proof_task';
import {ConfirmationRelay} from './confirmation_relay';
import type {ConfirmationSender} from './confirmation_relay';
import {RecentQuarantineUpdates} from '../peers/recent_quarantine_updates';
import {MemberTableFetcher} from '../peers/member_table_fetcher';

/** Events that the control reports to the rest of the node. */
export interface SidecarControlEvents<Config> {
  readonly onMembers: (
    records: readonly MemberRecord[],
    cutDomains: readonly string[],
  ) => void;
  readonly onConfig: (config: Config, origin: ConfigOrigin) => void;
  /** A quarantine update that was not known at this node. */
  readonly onQuarantineUpdate: (update: QuarantineUpdate) => void;
  /** Server processes of this VM that announced to an earlier process of this node that they are leaving; may be empty. */
  readonly onLeavingInstances: (instances: readonly string[]) => void;
  /** Other failure domains than before are evacuated. Not called before anything is known. */
  readonly onEvacuations?: (domains: readonly string[]) => void;
  readonly onFault: (err: unknown) => void;
}

/** Where evacuations of failure domains are, and how soon they apply. */
export interface EvacuationOptions {
  /** Kind of their objects in the store. */
  readonly kind: string;
  /** Time from the acknowledgement of an evacuation until all nodes keep it, milliseconds. */
  readonly boundMs: Millis;
}

/** Proofs that the configuration in force is recent. */
export interface ConfigProofOptions<Config> {
  /** Age from which a proof no longer counts, milliseconds. */
  readonly maxAgeMs: Millis;
  /** Whether a configuration needs proofs; without them, nothing is queried. */
  readonly isNeeded: (config: Config) => boolean;
  readonly readClocks: () => ClockReading;
  readonly request: RequestProofs;
}

/** Options of SidecarControl. */
export interface SidecarControlOptions<Config> {
  readonly address: NodeAddress;
  readonly timers: Timers;
  readonly random: () => number;
  readonly logger: Logger;
  readonly store: ObjectStore;
  readonly links: PeerLinks;
  /** Reads the encoded member table of another node; resolves to undefined on failure. */
  /** Returns the strikes that count now, at most `limit`, the newest ones. */
  readonly activeStrikes: (limit: number) => readonly Strike[];
  readonly fetchMemberTable: (from: NodeAddress) => Promise<string | undefined>;
  /** Byte budget for gossip, per second. */
  readonly bytesPerSecond: number;
  readonly sendConfirmation: ConfirmationSender;
  /** Whether the whole fleet starts for the first time, so that there is no earlier configuration. */
  readonly isFirstStart: boolean;
  /** Path of the store object that holds the configuration. */
  readonly configPath: string;
  readonly decodeConfig: (text: string) => Result<Config, string>;
  /** Returns the version of a configuration, which is higher in each later one. */
  readonly versionOf: (config: Config) => number;
  /** Time within which a configuration must be in force at all nodes, milliseconds. */
  readonly configApplyMs: Millis;
  /** Writes per second that the store allows the whole fleet. */
  readonly storeWritesPerSecond: number;
  /** Evacuations of failure domains; undefined if the deployment has none. */
  readonly evacuation?: EvacuationOptions;
  /** Returns the record of the server that is expected on this VM, for use until it has announced itself. */
  readonly expectedServer: () => ServerRecord;
  /** Undefined if the deployment requires no proofs. */
  readonly configProofs?: ConfigProofOptions<Config> | undefined;
  readonly events: SidecarControlEvents<Config>;
}

/** Age of the newest confirmation beyond which a node reads the store by itself, as a fraction of `configApplyMs`. */
const MAX_CONFIRMATION_AGE_FRACTION = 0.6;
/** Interval at which one of the watchers renews its watch, as a fraction of `configApplyMs`. */
const WATCH_RENEWAL_FRACTION = 0.25;
/** Shortest time between confirmations that a node spreads, as a fraction of the renewal interval. */
const SPREAD_FRACTION = 0.5;
/** Interval at which the chosen watchers read the store when confirmations are missing, milliseconds. */
const WATCHER_READ_INTERVAL_MS = 50;
/** Interval at which twice as many other nodes read the store then, milliseconds. */
const STANDBY_READ_INTERVAL_MS = 75;
/** Time within which nodes that start at the same time find each other, milliseconds; lists may be seconds out of date. */
const STARTUP_GRACE_MS = 3_500;
/** Interval between gossip rounds, milliseconds. */
const ROUND_MS = 500;
/** Largest gossip message, bytes; fits into one packet. */
const MAX_MESSAGE_BYTES = 1_200;
/** Strikes that a node passes on to one that has just started, the newest ones; about 100 bytes each. */
const MAX_TABLE_STRIKES = 500;
/** Interval at which recent quarantine updates are sent again, milliseconds. */
const RESEND_INTERVAL_MS = 5_000;
/** Delay before changed members are reported, milliseconds, because many records change at once. */
const MEMBERS_DELAY_MS = 50;
/** Time that a dead node has to come back before its presence object is removed, milliseconds. */
const REMOVE_DEAD_DELAY_MS = 60_000;
/** Writes allowed for per node that writes its presence object again, so that the store has room for other writes. */
const WRITES_PER_REWRITE = 2;
const MILLIS_PER_SECOND = 1_000;
/** Longest backoff after failed calls to the store, milliseconds; lapsed entries must be restored within two seconds. */
const MAX_STORE_BACKOFF_MS = 1_000;

/** The parts of a node that deal with the fleet rather than with calls. */
export class SidecarControl<Config> {
  private readonly member: MemberTask;
  private readonly watchDuty: WatchDuty;
  private readonly confirmations: ConfirmationRelay;
  private readonly memberTableFetcher: MemberTableFetcher;
  private readonly recentUpdates = new RecentQuarantineUpdates();
  private readonly presence: Presence;
  private readonly config: ConfigFollower<Config>;
  private readonly evacuations: EvacuationFollower | undefined;
  private readonly configProof: ProofTask | undefined;
  private membersPending = false;
  private watcherPosition: WatcherPosition = {count: 1, rank: undefined};
  private wasWatcher = false;
  private wasChosen = false;
  private closed = false;
  private cancelResends: Cancel = () => undefined;
  private unsubscribeRestored: () => void = () => undefined;
  /** Whether a message of another node has been received. */
  private hasContact = false;

  constructor(private readonly options: SidecarControlOptions<Config>) {
    this.watchDuty = new WatchDuty(options.timers.now(), {
      maxAgeMs: options.configApplyMs * MAX_CONFIRMATION_AGE_FRACTION,
      startupGraceMs: options.isFirstStart ? STARTUP_GRACE_MS : undefined,
    });
    this.confirmations = new ConfirmationRelay({
      self: options.address,
      send: options.sendConfirmation,
      intervalMs: this.renewalMs * SPREAD_FRACTION,
    });
    this.member = this.makeMember();
    this.memberTableFetcher = this.makeMemberTableFetcher();
    this.presence = this.makePresence();
    this.configProof = this.makeConfigProof();
    this.config = this.makeConfig();
    this.evacuations = options.evacuation && this.makeEvacuations();
  }

  /** Starts to follow the configuration. */
  start(): void {
    this.updateMembers();
    this.unsubscribeRestored = this.options.store.onRestored(era =>
      this.onStoreRestored(era),
    );
    runGuarded(this.options.events.onFault, () => this.config.start());
    runGuarded(this.options.events.onFault, () => this.evacuations?.start());
    this.cancelResends = this.options.timers.every(RESEND_INTERVAL_MS, () =>
      this.resendUpdates(),
    );
  }

  /** Writes the presence object of this node and lists those of others. */
  async publishPresence(): Promise<void> {
    if (!this.closed) await this.presence.start();
  }

  /** Handles a message of another node and returns the answer. */
  receive(message: ExchangeMessage): ExchangeMessage {
    this.hasContact = true;
    return this.member.receive(message);
  }

  /** The newest confirmation of the configuration in force at this node. */
  get confirmation(): Confirmation {
    return this.watchDuty.confirmation(this.options.timers.now());
  }

  /** Records a confirmation of another node and passes it on if that node spreads it. */
  recordConfirmation(confirmation: Confirmation, isSpread: boolean): void {
    this.hasContact = true;
    const now = this.options.timers.now();
    this.watchDuty.recordConfirmation(now, confirmation);
    if (isSpread) this.confirmations.passOn(now, confirmation);
  }

  /** Evacuated failure domains; undefined while they are not known, although the deployment may have some. */
  get evacuatedDomains(): readonly string[] | undefined {
    return this.evacuations === undefined ? [] : this.evacuations.domains;
  }

  /** What this node tells others of evacuations; undefined if it knows nothing. */
  get evacuationNotice(): EvacuationNotice | undefined {
    return this.evacuations?.notice;
  }

  /** Records what another node tells of evacuations. */
  recordEvacuations(notice: EvacuationNotice): void {
    this.evacuations?.recordNotice(notice);
  }

  /** Proof of the configuration in force; undefined if the deployment requires none. */
  get proof():
    Pick<ProofTask, 'isProven' | 'ageMs' | 'retryAfterMs'> | undefined {
    return this.configProof;
  }

  /** Answers another node's query for proofs of store objects. */
  proofsOf(names: readonly string[]): ProofEntry[] {
    return this.configProof?.proofsOf(names) ?? [];
  }

  setServers(servers: readonly ServerRecord[]): void {
    this.member.post({type: 'setServers', servers});
  }

  /** Publishes the server processes of this VM that announced that they are leaving. */
  setLeaving(leaving: readonly string[]): void {
    if (leaving.length > 0)
      this.member.post({type: 'setLeaving', instances: leaving});
  }

  /**
   * Writes to the store that a server process is leaving; resolves to false if the
   * write failed and will be retried. A repeated call for the same process does
   * not write again and resolves to true.
   */
  persistLeaving(instance: string): Promise<boolean> {
    return this.presence.persistLeaving(instance);
  }

  /** Reports a quarantine update to this node and to the others, unless it was already known here. */
  spread(update: QuarantineUpdate): void {
    if (!this.recentUpdates.add(this.options.timers.now(), update)) return;
    this.options.events.onQuarantineUpdate(update);
    this.member.post({type: 'spread', update});
  }

  /** Announces to the others that this node is leaving. */
  leave(): void {
    this.member.post({type: 'leave'});
    this.watchDuty.setLeaving();
    this.evacuations?.setLeaving();
    this.config.reconsider();
  }

  get configVersion(): number {
    return this.config.version;
  }

  get currentConfig(): Config | undefined {
    return this.config.current;
  }

  /** Encoded configuration in force, for nodes that cannot read the store. */
  get configText(): string | undefined {
    return this.config.text;
  }

  /** Encoded member table of this node and its strikes, for nodes that have just started. */
  get memberTableText(): string {
    const strikes = this.options.activeStrikes(MAX_TABLE_STRIKES);
    return encodeTable({
      records: this.member.membership.records(),
      updates: strikes.map(strike => ({type: 'strike', ...strike})),
    });
  }

  /** Returns the nodes that are believed to be alive, including this one. */
  reachable(): readonly NodeAddress[] {
    return this.member.membership.reachable();
  }

  /** Returns the reachable nodes that are not in a domain cut off from this one. */
  usable(): readonly NodeAddress[] {
    const {cutDomains} = this.member.membership;
    return this.reachable().filter(({domain}) => !cutDomains.includes(domain));
  }

  /** Returns the address of a node, reachable or not; undefined if it is not known. */
  addressOf(nodeId: string): NodeAddress | undefined {
    return this.member.membership.get(nodeId)?.address;
  }

  /** Number of nodes that have not left, alive or not. */
  get knownCount(): number {
    const records = this.member.membership.records();
    return records.filter(({status}) => status !== 'left').length;
  }

  async close(): Promise<void> {
    this.closed = true;
    this.cancelResends();
    this.unsubscribeRestored();
    this.memberTableFetcher.close();
    this.configProof?.close();
    this.config.close();
    this.evacuations?.close();
    this.presence.close();
    await this.member.close();
  }

  private makeMember(): MemberTask {
    const {address, events, ...options} = this.options;
    return new MemberTask({
      ...options,
      address,
      incarnation: address.bootId,
      roundMs: ROUND_MS,
      maxMessageBytes: MAX_MESSAGE_BYTES,
      events: {
        onMembers: () => this.scheduleMembersUpdate(),
        onQuarantineUpdate: update => this.spread(update),
        onLeavingInstances: events.onLeavingInstances,
        heldRevision: () => this.config.version,
        onConfigDelta: ({delta}, {nodeId}, askedMs) =>
          this.config.offer(delta, {source: 'peer', from: nodeId, askedMs}),
        onStoreRestored: era => this.rewritePresence(era),
        onStatus: (nodeId, status, reason) =>
          this.onStatus(nodeId, status, reason),
        onFault: events.onFault,
      },
    });
  }

  private makeMemberTableFetcher(): MemberTableFetcher {
    const {address, fetchMemberTable, events, ...options} = this.options;
    return new MemberTableFetcher({
      ...options,
      onFault: events.onFault,
      self: address,
      fetchTable: fetchMemberTable,
      reachable: () => this.reachable(),
      onTable: ({records, updates}) => {
        this.member.post({type: 'seed', records});
        // The others know them already.
        updates.forEach(events.onQuarantineUpdate);
      },
    });
  }

  private makePresence(): Presence {
    const {address, events, ...options} = this.options;
    return new Presence({
      ...options,
      address,
      onFault: events.onFault,
      breaker: this.newBreaker(),
      incarnation: address.bootId,
      reusesObject: true,
      listsOnePage: true,
      ownRecord: () => this.ownRecord(),
      onLeavingInstances: events.onLeavingInstances,
      onPeers: records => this.member.post({type: 'seed', records}),
      hasContact: () => this.hasContact,
      onWritten: objectVersion => this.onPresenceWritten(objectVersion),
    });
  }

  private makeConfigProof(): ProofTask | undefined {
    const {configProofs, address, configPath, logger, ...options} =
      this.options;
    if (configProofs === undefined) return undefined;
    return new ProofTask({
      ...options,
      ...configProofs,
      self: address,
      name: configPath,
      queryStore: () => this.config.queryNewest(),
      heldRevision: () => this.config.version,
      onProven: (isProven, ageMs) =>
        logger.warn(isProven ? 'configProven' : 'configProofExpired', {
          configVersion: this.config.version,
          ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined,
        }),
      onFault: options.events.onFault,
    });
  }

  private makeConfig(): ConfigFollower<Config> {
    const {configPath, decodeConfig, events, logger, ...options} = this.options;
    return new ConfigFollower<Config>({
      ...options,
      onFault: events.onFault,
      breaker: this.newBreaker(),
      path: configPath,
      decode: decodeConfig,
      isWatcher: () => this.isWatcher(),
      watchers: () => this.watcherPosition,
      acceptsStale: options.isFirstStart,
      msUntilRead: () => this.watchDuty.msUntilRead(options.timers.now()),
      renewalMs: this.renewalMs,
      confirmedMs: () => this.confirmation.ageMs,
      newest: this.configProof,
      onConfig: (config, origin) => {
        const revision = options.versionOf(config);
        this.watchDuty.setHeldRevision(revision);
        events.onConfig(config, origin);
        const needsProof = options.configProofs?.isNeeded(config) ?? false;
        this.configProof?.setActive(needsProof);
        this.member.post({type: 'setConfigRevision', revision});
      },
      onAnswer: asOf => this.recordAnswer(asOf),
      onWatch: watchMs => this.evacuations?.onTurn(watchMs),
      onNoAnswer: () => this.watchDuty.recordFailure(options.timers.now()),
      onStoreReachable: reachable =>
        logger.warn(reachable ? 'storeRegained' : 'storeLost', {
          configVersion: this.config.version,
          storeEra: options.store.era,
          confirmedMs: this.confirmation.ageMs,
        }),
      onInvalid: reason =>
        logger.warn('configInvalid', {
          reason,
          versionInForce: this.config.version,
        }),
    });
  }

  private makeEvacuations(): EvacuationFollower | undefined {
    const {evacuation, events, address} = this.options;
    if (evacuation === undefined) return undefined;
    return new EvacuationFollower({
      ...this.options,
      ...evacuation,
      onFault: events.onFault,
      breaker: this.newBreaker(),
      knownDomains: () => {
        const records = this.member.membership.records();
        const domains = records.map(record => record.address.domain);
        return new Set([address.domain, ...domains]);
      },
      onChange: domains => events.onEvacuations?.(domains),
      onNews: source =>
        this.confirmations.repeat(this.confirmation, source === 'store'),
    });
  }

  private isWatcher(): boolean {
    const now = this.options.timers.now();
    const isWatcher = this.watchDuty.isWatcher(now);
    if (isWatcher === this.wasWatcher) return isWatcher;
    this.options.logger.info('configWatcher', {
      isWatcher,
      isChosen: this.watcherPosition.rank !== undefined,
      confirmedMs: this.confirmation.ageMs,
    });
    this.wasWatcher = isWatcher;
    return isWatcher;
  }

  private get renewalMs(): Millis {
    return this.options.configApplyMs * WATCH_RENEWAL_FRACTION;
  }

  private recordAnswer(asOf: Millis): void {
    const now = this.options.timers.now();
    this.watchDuty.recordAnswer(now, asOf);
    this.confirmations.spread(now, this.confirmation);
  }

  private newBreaker(): StoreBreaker {
    const {random} = this.options;
    return new StoreBreaker({random, maxWaitMs: MAX_STORE_BACKOFF_MS});
  }

  private ownRecord(): Pick<MemberRecord, 'version' | 'servers'> {
    const {servers, version} = this.member.membership.ownRecord;
    if (servers.length > 0) return {version, servers};
    return {version: 0, servers: [this.options.expectedServer()]};
  }

  private onPresenceWritten(objectVersion: number): void {
    const {store, logger} = this.options;
    logger.info('presenceWritten', {objectVersion, storeEra: store.era});
    this.member.post({type: 'setStoreEra', era: store.era});
  }

  private onStoreRestored(era: number): void {
    this.options.logger.warn('storeRestored', {
      storeEra: era,
      configVersion: this.config.version,
    });
    this.member.post({type: 'setStoreEra', era});
    this.rewritePresence(era);
    // Objects of dead nodes that had been removed may be back.
    for (const {address, status} of this.member.membership.records())
      if (status === 'dead') this.scheduleRemoval(address.nodeId);
  }

  // Few nodes call the store regularly, so the others hear of a restore from them.
  private rewritePresence(era: number): void {
    const {storeWritesPerSecond} = this.options;
    const nodes = this.member.membership.reachable().length;
    const spreadMs =
      (WRITES_PER_REWRITE * nodes * MILLIS_PER_SECOND) / storeWritesPerSecond;
    this.presence.ensureWritten(era, spreadMs);
  }

  // Nodes that become alive are not logged; only their number is reported.
  private onStatus(nodeId: string, status: string, reason: string): void {
    if (status === 'alive') return;
    this.options.logger.info('member', {member: nodeId, status, reason});
    if (status === 'dead') this.scheduleRemoval(nodeId);
  }

  // One node of the fleet removes the presence object of a dead node, after the time in which it could come back.
  private scheduleRemoval(nodeId: string): void {
    const {timers, logger, address} = this.options;
    timers.after(REMOVE_DEAD_DELAY_MS, () => {
      const {membership} = this.member;
      const record = membership.get(nodeId);
      const owner = ownerOf(`remove|${nodeId}`, membership.reachable());
      if (this.closed || record?.status !== 'dead') return;
      if (owner !== address.nodeId) return;
      logger.info('nodeForgotten', {member: nodeId});
      runGuarded(this.options.events.onFault, () =>
        this.presence.removeDead(record.address),
      );
    });
  }

  private scheduleMembersUpdate(): void {
    if (this.membersPending) return;
    this.membersPending = true;
    this.options.timers.after(MEMBERS_DELAY_MS, () => {
      this.membersPending = false;
      if (!this.closed) this.updateMembers();
    });
  }

  private updateMembers(): void {
    const {membership} = this.member;
    const reachable = membership.reachable();
    this.confirmations.setNodes(reachable);
    const watchers = this.confirmations.watcherNodes;
    const {address, events} = this.options;
    // A node that does not know others yet would always be chosen.
    const isChosen = reachable.length > 1 && watchers.has(address.nodeId);
    this.watchDuty.setChosen(isChosen);
    const rank = [...watchers].sort().indexOf(address.nodeId);
    const standbyRank = standbyRankOf(address, reachable, watchers);
    const turnDelayMs = isChosen
      ? rank * WATCHER_READ_INTERVAL_MS
      : (1 + Math.floor(Math.log2(1 + standbyRank))) * STANDBY_READ_INTERVAL_MS;
    this.watchDuty.setTurnDelay(turnDelayMs);
    this.evacuations?.setDuty(isChosen, turnDelayMs);
    this.watcherPosition = {
      count: watchers.size,
      rank: isChosen ? rank : undefined,
    };
    if (isChosen !== this.wasChosen) this.config.reconsider();
    this.wasChosen = isChosen;
    this.configProof?.setNodes(reachable, watchers);
    this.memberTableFetcher.onMembersChanged();
    events.onMembers(membership.records(), membership.cutDomains);
  }

  private resendUpdates(): void {
    const updates = this.recentUpdates.newest(this.options.timers.now());
    if (updates.length > 0) this.member.post({type: 'requeue', updates});
  }
}
