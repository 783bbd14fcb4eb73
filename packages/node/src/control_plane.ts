/** Control plane of one node: membership, configuration and presence. */
import {runGuarded} from '@goldcresthill/errors';
import {watchersOf} from '@goldcresthill/membership';
import type {
  ExchangeMessage,
  QuarantineUpdate,
  MemberRecord,
} from '@goldcresthill/membership';
import type {ObjectStore, StoreBreaker} from '@goldcresthill/object-store';
import type {Configuration, Ticket, TicketAnswer} from '@goldcresthill/tickets';
import type {Timers} from '@goldcresthill/timers';
import type {NodeAddress, ServerRecord} from '@goldcresthill/types';
import {ConfigTask} from './config/config_task';
import {MemberTask} from './member/member_task';
import type {PeerLinks} from './member/peer_links';
import {Presence} from './member/presence';

/** Events of the control plane. */
export interface ControlEvents {
  readonly onMembers: (
    records: readonly MemberRecord[],
    cutDomains: readonly string[],
  ) => void;
  readonly onConfiguration: (
    configuration: Configuration,
    source: string,
  ) => void;
  /** Receives updates of the quarantine, possibly repeatedly. */
  readonly onQuarantineUpdate: (news: QuarantineUpdate) => void;
  readonly onStatus: (nodeId: string, status: string, reason: string) => void;
  readonly onFault: (err: unknown) => void;
}

export interface ControlPlaneOptions {
  readonly address: NodeAddress;
  readonly incarnation: number;
  readonly roundMs: number;
  readonly bytesPerSecond: number;
  readonly store: ObjectStore;
  readonly breaker: StoreBreaker;
  readonly links: PeerLinks;
  /** Nodes listed in the settings, contacted at the start so that the node can join while the store is down. */
  readonly peers?: readonly NodeAddress[];
  readonly timers: Timers;
  readonly random: () => number;
  readonly events: ControlEvents;
  /** If false, an unreachable domain is treated as the death of each of its nodes. */
  readonly cutDetection?: boolean;
}

/** Number of nodes in each domain that watch the configuration in the store. */
const WATCHERS_PER_DOMAIN = 2;

/** Time over which the nodes write their presence objects again after a restore of the store, milliseconds per node. */
const REWRITE_SPREAD_MS_PER_NODE = 5;

/** The parts of a node that deal with the fleet rather than with calls. */
export class ControlPlane {
  readonly member: MemberTask;
  readonly config: ConfigTask;
  readonly presence: Presence;
  private membersUpdateScheduled = false;
  private readonly unsubscribeRestored: () => void;

  constructor(private readonly options: ControlPlaneOptions) {
    const {address, incarnation, store, breaker, timers, random, events} =
      options;
    this.member = this.makeMember();
    this.config = new ConfigTask({
      timers,
      store,
      breaker,
      random,
      onConfiguration: (configuration, source) => {
        const {revision} = configuration;
        this.member.post({type: 'setConfigRevision', revision});
        events.onConfiguration(configuration, source);
      },
      onFault: events.onFault,
    });
    this.presence = new Presence({
      timers,
      store,
      breaker,
      address,
      incarnation,
      onPeers: records => this.member.post({type: 'seed', records}),
      onWritten: () => this.member.post({type: 'setStoreEra', era: store.era}),
      onFault: events.onFault,
    });
    this.unsubscribeRestored = store.onRestored(era => {
      this.member.post({type: 'setStoreEra', era});
      this.rewritePresence(era);
    });
  }

  /** Starts to watch the configuration and publishes the presence of the node. */
  start(): void {
    this.config.start();
    runGuarded(this.options.events.onFault, () => this.presence.start());
    this.options.peers?.forEach(to => this.member.post({type: 'join', to}));
    this.updateMembers();
  }

  /** Applies a gossip message of another node and returns the answer. */
  receive(message: ExchangeMessage): ExchangeMessage {
    return this.member.receive(message);
  }

  /** Returns the changes of the configuration since a revision, as JSON. */
  deltaFor(since: number): string {
    return this.config.deltaFor(since);
  }

  setServers(servers: readonly ServerRecord[]): void {
    this.member.post({type: 'setServers', servers});
  }

  publishQuarantineUpdate(update: QuarantineUpdate): void {
    this.member.post({type: 'spread', update});
  }

  submit(ticket: Ticket, reply: (answer: TicketAnswer) => void): void {
    this.config.post({type: 'submit', ticket, reply});
  }

  /** Announces to the fleet that this node leaves, and removes its presence; resolves once it is removed. */
  async leave(): Promise<void> {
    this.member.post({type: 'leave'});
    await this.presence.remove();
  }

  async close(): Promise<void> {
    this.unsubscribeRestored();
    this.presence.close();
    await Promise.all([this.config.close(), this.member.close()]);
  }

  private makeMember(): MemberTask {
    const {events, ...options} = this.options;
    return new MemberTask({
      ...options,
      events: {
        onMembers: () => this.scheduleMembersUpdate(),
        onQuarantineUpdate: events.onQuarantineUpdate,
        heldRevision: () => this.config.current.revision,
        onConfigDelta: delta => this.config.post({type: 'applyDelta', delta}),
        onStoreRestored: era => this.rewritePresence(era),
        onStatus: (nodeId, status, reason) =>
          this.onStatus(nodeId, status, reason),
        onFault: events.onFault,
      },
    });
  }

  private rewritePresence(era: number): void {
    const nodes = this.member.membership.reachable().length;
    this.presence.ensureWritten(era, nodes * REWRITE_SPREAD_MS_PER_NODE);
  }

  // Many records may change at once; the update runs once for all of them.
  private scheduleMembersUpdate(): void {
    if (this.membersUpdateScheduled) return;
    this.membersUpdateScheduled = true;
    this.options.timers.after(0, () => {
      this.membersUpdateScheduled = false;
      this.updateMembers();
    });
  }

  private updateMembers(): void {
    const {membership} = this.member;
    const watchers = watchersOf(membership.reachable(), WATCHERS_PER_DOMAIN);
    const on = watchers.has(this.options.address.nodeId);
    this.config.post({type: 'setWatcher', isWatcher: on});
    this.options.events.onMembers(membership.records(), membership.cutDomains);
  }

  private onStatus(nodeId: string, status: string, reason: string): void {
    this.options.events.onStatus(nodeId, status, reason);
    if (status !== 'dead') return;
    const dead = this.member.membership.get(nodeId)?.address;
    const removers = watchersOf(this.member.membership.reachable(), 1);
    const isRemover = removers.has(this.options.address.nodeId);
    if (dead === undefined || !isRemover) return;
    runGuarded(this.options.events.onFault, () =>
      this.presence.removeDead(dead),
    );
  }
}
