/** Membership, configuration and presence of a node whose store lists few nodes at once. */
import type {Logger} from '@goldcresthill/logger';
import {ownerOf, WatchDuty, watchersOf} from '@goldcresthill/membership';
import type {
  ExchangeMessage,
  QuarantineUpdate,
  MemberRecord,
} from '@goldcresthill/membership';
import {StoreBreaker} from '@goldcresthill/object-store';
import type {ObjectStore} from '@goldcresthill/object-store';
import {encodeRecords} from '@goldcresthill/peers';
import type {Cancel, Timers} from '@goldcresthill/timers';
import type {Millis, NodeAddress, ServerRecord} from '@goldcresthill/types';
import type {Result} from 'neverthrow';
import {ConfigFollower} from '../config/config_follower';
import {MemberTask} from '../member/member_task';
import type {PeerLinks} from '../member/peer_links';
import {Presence} from '../member/presence';
import {RecentQuarantineUpdates} from '../peers/news_board';
import {MemberTableFetcher} from '../peers/table_fetcher';

/** What the control tells the rest of the node. */
export interface SidecarControlEvents<Config> {
  readonly onMembers: (
    records: readonly MemberRecord[],
    cutDomains: readonly string[],
  ) => void;
  readonly onConfig: (config: Config, source: string) => void;
  /** News that was not known here. */
  readonly onQuarantineUpdate: (update: QuarantineUpdate) => void;
  /** Server processes of this VM that leave; none if an earlier process knew of none. */
  readonly onLeavingInstances: (instances: readonly string[]) => void;
  readonly onFault: (err: unknown) => void;
}

/** What the control starts from. */
export interface SidecarControlOptions<Config> {
  readonly address: NodeAddress;
  readonly timers: Timers;
  readonly random: () => number;
  readonly logger: Logger;
  readonly store: ObjectStore;
  readonly links: PeerLinks;
  /** Reads the table of another node, as it encodes it. */
  readonly fetchMemberTable: (from: NodeAddress) => Promise<string | undefined>;
  /** Bytes per second that this node may tell others. */
  readonly bytesPerSecond: number;
  /** Object of the store that holds the configuration. */
  readonly configPath: string;
  readonly decodeConfig: (text: string) => Result<Config, string>;
  /** Rises from one configuration to the next. */
  readonly versionOf: (config: Config) => number;
  /** Time within which a configuration is to be in force everywhere. */
  readonly configApplyMs: Millis;
  /** The server of this VM as it is expected, before it has said anything. */
  readonly expectedServer: () => ServerRecord;
  readonly events: SidecarControlEvents<Config>;
}

/** Nodes of each failure domain that wait for changes of the configuration. */
const WATCHERS_PER_DOMAIN = 2;
/** A node watches by itself when it has not heard of a watcher for this share of the time that a change may take. */
const WATCH_TIMEOUT_FRACTION = 0.6;
/** Nodes that start together find each other within that time, as lists may be seconds behind, milliseconds. */
const STARTUP_GRACE_MS = 3_500;
/** Interval between messages to other nodes, milliseconds. */
const ROUND_MS = 500;
/** Largest message to another node, which fits into one packet, bytes. */
const MAX_MESSAGE_BYTES = 1_200;
/** Interval at which news of crashing requests is told again, milliseconds. */
const RESEND_INTERVAL_MS = 5_000;
/** Many records change at once; gateways are told of them together, milliseconds. */
const MEMBERS_DELAY_MS = 50;
/** Time for which a lost node may come back before its object is removed, milliseconds. */
const REMOVE_DEAD_DELAY_MS = 60_000;
/** Longest wait before the store is tried again, milliseconds; lapsed entries are due back within two seconds. */
const MAX_STORE_BACKOFF_MS = 1_000;

/** Everything of a node that concerns the fleet rather than calls. */
export class SidecarControl<Config> {
  private readonly member: MemberTask;
  private readonly watchDuty: WatchDuty;
  private readonly memberTableFetcher: MemberTableFetcher;
  private readonly recentUpdates = new RecentQuarantineUpdates();
  private readonly presence: Presence;
  private readonly config: ConfigFollower<Config>;
  private membersPending = false;
  private watcherCount = 1;
  private closed = false;
  private cancelResends: Cancel = () => undefined;

  constructor(private readonly options: SidecarControlOptions<Config>) {
    this.watchDuty = new WatchDuty(options.timers.now(), {
      timeoutMs: options.configApplyMs * WATCH_TIMEOUT_FRACTION,
      startupGraceMs: STARTUP_GRACE_MS,
    });
    this.member = this.makeMember();
    this.memberTableFetcher = this.makeMemberTableFetcher();
    this.presence = this.makePresence();
    this.config = this.makeConfig();
  }

  /** Follows the configuration. */
  start(): void {
    this.applyMembers();
    void this.config.start();
    this.cancelResends = this.options.timers.every(RESEND_INTERVAL_MS, () =>
      this.resendUpdates(),
    );
  }

  /** Writes where this node is, and looks for others. */
  async publishPresence(): Promise<void> {
    if (!this.closed) await this.presence.start();
  }

  /** Takes a message of another node and answers it. */
  receive(message: ExchangeMessage): ExchangeMessage {
    return this.member.receive(message);
  }

  /** Time since this node has heard of a watcher of the configuration. */
  get watcherAgeMs(): Millis {
    return this.watchDuty.age(this.options.timers.now());
  }

  /** Another node has heard of a watcher that long ago. */
  recordWatcherSeen(ageMs: Millis): void {
    this.watchDuty.recordWatcherSeen(this.options.timers.now(), ageMs);
  }

  setServers(servers: readonly ServerRecord[]): void {
    this.member.post({type: 'servers', servers});
  }

  /** Tells the others which server processes of this VM leave. */
  setLeaving(leaving: readonly string[]): void {
    if (leaving.length > 0)
      this.member.post({type: 'setLeaving', instances: leaving});
  }

  /** Writes that a server process leaves; false if that could not be written now. */
  persistLeaving(instance: string): Promise<boolean> {
    return this.presence.persistLeaving(instance);
  }

  /** Takes news to this node and, if it was not known here, to the others. */
  spread(update: QuarantineUpdate): void {
    if (!this.recentUpdates.add(this.options.timers.now(), update)) return;
    this.options.events.onQuarantineUpdate(update);
    this.member.post({type: 'spread', update});
  }

  /** Tells the others that this node takes no more work. */
  leave(): void {
    this.member.post({type: 'leave'});
  }

  get configVersion(): number {
    return this.config.version;
  }

  get currentConfig(): Config | undefined {
    return this.config.current;
  }

  /** Text of the configuration in force, for nodes that cannot read the store. */
  get configText(): string | undefined {
    return this.config.text;
  }

  /** The table of this node, for nodes that have just started. */
  get memberTableText(): string {
    return encodeRecords(this.member.membership.records());
  }

  /** Nodes that are thought to be alive, this one included. */
  reachable(): readonly NodeAddress[] {
    return this.member.membership.reachable();
  }

  async close(): Promise<void> {
    this.closed = true;
    this.cancelResends();
    this.memberTableFetcher.close();
    this.config.close();
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
        onMembers: () => this.scheduleMembers(),
        onQuarantineUpdate: update => this.spread(update),
        onLeavingInstances: events.onLeavingInstances,
        heldRevision: () => this.config.version,
        onConfigDelta: ({delta}) => this.config.offer(delta, 'peer'),
        onStatus: (nodeId, status, reason) =>
          this.onStatus(nodeId, status, reason),
        onFault: events.onFault,
      },
    });
  }

  private makeMemberTableFetcher(): MemberTableFetcher {
    const {address, fetchMemberTable, ...options} = this.options;
    return new MemberTableFetcher({
      ...options,
      self: address,
      fetchTable: fetchMemberTable,
      reachable: () => this.reachable(),
      onRecords: records => this.member.post({type: 'seed', records}),
    });
  }

  private makePresence(): Presence {
    const {address, events, ...options} = this.options;
    return new Presence({
      ...options,
      address,
      breaker: this.newBreaker(),
      incarnation: address.bootId,
      reusesObject: true,
      listsOnePage: true,
      ownRecord: () => this.ownRecord(),
      onLeavingInstances: events.onLeavingInstances,
      onPeers: records => this.member.post({type: 'seed', records}),
    });
  }

  private makeConfig(): ConfigFollower<Config> {
    const {configPath, decodeConfig, events, logger, ...options} = this.options;
    return new ConfigFollower<Config>({
      ...options,
      breaker: this.newBreaker(),
      path: configPath,
      decode: decodeConfig,
      isWatcher: () => this.watchDuty.isDue(options.timers.now()),
      watcherCount: () => this.watcherCount,
      onConfig: (config, source) => {
        const revision = options.versionOf(config);
        events.onConfig(config, source);
        this.member.post({type: 'configRevision', revision});
      },
      onStoreReachable: reachable =>
        logger.warn(reachable ? 'storeRegained' : 'storeLost', {
          configVersion: this.config.version,
        }),
      onInvalid: reason =>
        logger.warn('configInvalid', {
          reason,
          versionInForce: this.config.version,
        }),
    });
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

  // Nodes that are in order are counted, not listed.
  private onStatus(nodeId: string, status: string, reason: string): void {
    if (status === 'alive') return;
    this.options.logger.info('member', {member: nodeId, status, reason});
    if (status === 'dead') this.scheduleRemoval(nodeId);
  }

  // One node removes what the store holds of a lost one, once it is not expected back.
  private scheduleRemoval(nodeId: string): void {
    const {timers, logger, address} = this.options;
    timers.after(REMOVE_DEAD_DELAY_MS, () => {
      const {membership} = this.member;
      const record = membership.get(nodeId);
      const owner = ownerOf(`remove|${nodeId}`, membership.reachable());
      if (this.closed || record?.status !== 'dead') return;
      if (owner !== address.nodeId) return;
      logger.info('nodeForgotten', {member: nodeId});
      void this.presence.removeDead(record.address);
    });
  }

  private scheduleMembers(): void {
    if (this.membersPending) return;
    this.membersPending = true;
    this.options.timers.after(MEMBERS_DELAY_MS, () => {
      this.membersPending = false;
      if (!this.closed) this.applyMembers();
    });
  }

  private applyMembers(): void {
    const {membership} = this.member;
    const reachable = membership.reachable();
    const watchers = watchersOf(reachable, WATCHERS_PER_DOMAIN);
    this.watcherCount = watchers.size;
    const {address, timers, events} = this.options;
    // A node that has not heard of others yet would be the only choice.
    const isChosen = reachable.length > 1 && watchers.has(address.nodeId);
    this.watchDuty.setChosen(timers.now(), isChosen);
    this.memberTableFetcher.onMembersChanged();
    events.onMembers(membership.records(), membership.cutDomains);
  }

  private resendUpdates(): void {
    const updates = this.recentUpdates.newest(this.options.timers.now());
    if (updates.length > 0) this.member.post({type: 'requeue', updates});
  }
}
