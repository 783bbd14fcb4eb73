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
import {NewsBoard} from '../peers/news_board';
import {TableFetcher} from '../peers/table_fetcher';

/** What the control tells the rest of the node. */
export interface SidecarControlEvents<Config> {
  readonly onMembers: (
    records: readonly MemberRecord[],
    cutDomains: readonly string[],
  ) => void;
  readonly onConfig: (config: Config, source: string) => void;
  /** News that was not known here. */
  readonly onNews: (news: QuarantineUpdate) => void;
  /** Server processes of this VM that leave; none if an earlier process knew of none. */
  readonly onLeaving: (instances: readonly string[]) => void;
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
  readonly fetchTable: (from: NodeAddress) => Promise<string | undefined>;
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
const PATIENCE_SHARE = 0.6;
/** Nodes that start together find each other within that time, as lists may be seconds behind, milliseconds. */
const START_GRACE_MS = 3_500;
/** Interval between messages to other nodes, milliseconds. */
const ROUND_MS = 500;
/** Largest message to another node, which fits into one packet, bytes. */
const MESSAGE_BYTES = 1_200;
/** Interval at which news of crashing requests is told again, milliseconds. */
const NEWS_AGAIN_MS = 5_000;
/** Many records change at once; gateways are told of them together, milliseconds. */
const MEMBERS_DELAY_MS = 50;
/** Time for which a lost node may come back before its object is removed, milliseconds. */
const REMOVE_DEAD_MS = 60_000;
/** Longest wait before the store is tried again, milliseconds; lapsed entries are due back within two seconds. */
const MAX_STORE_WAIT_MS = 1_000;

/** Everything of a node that concerns the fleet rather than calls. */
export class SidecarControl<Config> {
  private readonly member: MemberTask;
  private readonly duty: WatchDuty;
  private readonly tableFetcher: TableFetcher;
  private readonly news = new NewsBoard();
  private readonly presence: Presence;
  private readonly config: ConfigFollower<Config>;
  private membersPending = false;
  private watchers = 1;
  private closed = false;
  private cancelNews: Cancel = () => undefined;

  constructor(private readonly options: SidecarControlOptions<Config>) {
    this.duty = new WatchDuty(options.timers.now(), {
      timeoutMs: options.configApplyMs * PATIENCE_SHARE,
      startupGraceMs: START_GRACE_MS,
    });
    this.member = this.makeMember();
    this.tableFetcher = this.makeTableFetcher();
    this.presence = this.makePresence();
    this.config = this.makeConfig();
  }

  /** Follows the configuration. */
  start(): void {
    this.tellMembers();
    void this.config.start();
    this.cancelNews = this.options.timers.every(NEWS_AGAIN_MS, () =>
      this.repeatNews(),
    );
  }

  /** Writes where this node is, and looks for others. */
  async makeKnown(): Promise<void> {
    if (!this.closed) await this.presence.start();
  }

  /** Takes a message of another node and answers it. */
  receive(message: ExchangeMessage): ExchangeMessage {
    return this.member.receive(message);
  }

  /** Time since this node has heard of a watcher of the configuration. */
  get watchedMs(): Millis {
    return this.duty.age(this.options.timers.now());
  }

  /** Another node has heard of a watcher that long ago. */
  hearWatched(ageMs: Millis): void {
    this.duty.recordWatcherSeen(this.options.timers.now(), ageMs);
  }

  setServers(servers: readonly ServerRecord[]): void {
    this.member.post({type: 'servers', servers});
  }

  /** Tells the others which server processes of this VM leave. */
  setLeaving(leaving: readonly string[]): void {
    if (leaving.length > 0) this.member.post({type: 'leaving', leaving});
  }

  /** Writes that a server process leaves; false if that could not be written now. */
  noteLeaving(instance: string): Promise<boolean> {
    return this.presence.noteLeaving(instance);
  }

  /** Takes news to this node and, if it was not known here, to the others. */
  spread(news: QuarantineUpdate): void {
    if (!this.news.post(this.options.timers.now(), news)) return;
    this.options.events.onNews(news);
    this.member.post({type: 'spread', news});
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
  get tableText(): string {
    return encodeRecords(this.member.membership.records());
  }

  /** Nodes that are thought to be alive, this one included. */
  reachable(): readonly NodeAddress[] {
    return this.member.membership.reachable();
  }

  async close(): Promise<void> {
    this.closed = true;
    this.cancelNews();
    this.tableFetcher.close();
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
      messageBytes: MESSAGE_BYTES,
      events: {
        onMembers: () => this.tellMembersLater(),
        onNews: news => this.spread(news),
        onLeaving: events.onLeaving,
        heldRevision: () => this.config.version,
        onDelta: ({delta}) => this.config.offer(delta, 'peer'),
        onStatus: (nodeId, status, reason) =>
          this.onStatus(nodeId, status, reason),
        onFault: events.onFault,
      },
    });
  }

  private makeTableFetcher(): TableFetcher {
    const {address, fetchTable, ...options} = this.options;
    return new TableFetcher({
      ...options,
      self: address,
      fetch: fetchTable,
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
      keepsObject: true,
      listsFew: true,
      ownRecord: () => this.ownRecord(),
      onLeaving: events.onLeaving,
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
      isWatcher: () => this.duty.isDue(options.timers.now()),
      watchers: () => this.watchers,
      onConfig: (config, source) => {
        const revision = options.versionOf(config);
        events.onConfig(config, source);
        this.member.post({type: 'configRevision', revision});
      },
      onStore: reachable =>
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
    return new StoreBreaker({random, maxWaitMs: MAX_STORE_WAIT_MS});
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
    if (status === 'dead') this.removeLater(nodeId);
  }

  // One node removes what the store holds of a lost one, once it is not expected back.
  private removeLater(nodeId: string): void {
    const {timers, logger, address} = this.options;
    timers.after(REMOVE_DEAD_MS, () => {
      const {membership} = this.member;
      const record = membership.get(nodeId);
      const owner = ownerOf(`remove|${nodeId}`, membership.reachable());
      if (this.closed || record?.status !== 'dead') return;
      if (owner !== address.nodeId) return;
      logger.info('nodeForgotten', {member: nodeId});
      void this.presence.removeDead(record.address);
    });
  }

  private tellMembersLater(): void {
    if (this.membersPending) return;
    this.membersPending = true;
    this.options.timers.after(MEMBERS_DELAY_MS, () => {
      this.membersPending = false;
      if (!this.closed) this.tellMembers();
    });
  }

  private tellMembers(): void {
    const {membership} = this.member;
    const reachable = membership.reachable();
    const watchers = watchersOf(reachable, WATCHERS_PER_DOMAIN);
    this.watchers = watchers.size;
    const {address, timers, events} = this.options;
    // A node that has not heard of others yet would be the only choice.
    const chosen = reachable.length > 1 && watchers.has(address.nodeId);
    this.duty.setChosen(timers.now(), chosen);
    this.tableFetcher.noteMembers();
    events.onMembers(membership.records(), membership.cutDomains);
  }

  private repeatNews(): void {
    const news = this.news.current(this.options.timers.now());
    if (news.length > 0) this.member.post({type: 'repeat', news});
  }
}
