/** Aggregate of one node's view of all nodes: failure detection and gossip. */
import {isDeepStrictEqual} from 'node:util';
import {TokenBucket} from '@goldcresthill/budgets';
import {invariant} from '@goldcresthill/types';
import type {Millis, NodeAddress, ServerRecord} from '@goldcresthill/types';
import {isMostlySuspect} from './cut_detector';
import {DomainContacts} from './domain_contacts';
import {BASE_BYTES, messageBytes} from './exchange_message';
import type {ExchangeMessage, QuarantineUpdate} from './exchange_message';
import type {MemberRecord, MemberStatus} from './member_record';
import {isTombstone, isNewer, withLeavingInstances} from './member_record';
import {MemberTable} from './member_table';
import type {MemberCommand, MembershipOptions} from './membership_types';
import {ExchangeComposer} from './exchange_composer';
import {successorsOf} from './successors';

const DEFAULT_ROUND_MS = 1_000;
const SUSPICION_ROUNDS = 4;
const DEFAULT_BYTES_PER_SECOND = 9_000;
const DEFAULT_SUCCESSORS = 3;
/** Consecutive unanswered exchanges before a node is suspected. */
const MISSES_TO_SUSPECT = 2;
/** Number of nodes that one push of queued gossip goes to. */
const FANOUT = 3;
/** Smallest message worth pushing, bytes; it has room for a few records. */
const MIN_PUSH_MESSAGE_BYTES = 800;
/** Average number of a domain's nodes that push gossip to other domains. */
const CROSS_DOMAIN_SENDERS = 6;
/** Number of nodes asked to probe one that does not answer. */
const INDIRECT_PROBERS = 2;
/** Interval at which a random dead node is contacted again, rounds. */
const DEAD_RETRY_ROUNDS = 5;
/** Time for which the record of a dead or departed node is kept, milliseconds. */
const TOMBSTONE_TTL_MS = 600_000;
/** Burst of the byte budget, in seconds of its rate. */
const BURST_SECONDS = 4;

/**
 * SWIM-style membership of one node. It performs no I/O: time and randomness are
 * passed in, and messages to send are returned as commands.
 */
export class Membership {
  private readonly table = new MemberTable();
  private readonly composer: ExchangeComposer;
  private readonly misses = new Map<string, number>();
  private readonly suspectedAt = new Map<string, Millis>();
  private readonly byteBudget: TokenBucket;
  private readonly roundMs: number;
  private readonly suspicionMs: number;
  private readonly contacts: DomainContacts;
  private successors: string[] = [];
  private ownDomainSize = 1;
  private readonly minPushMessageBytes: number;
  private neighboursStale = true;
  private nextRoundAt: Millis;
  private roundCount = 0;
  private successorCursor = 0;
  private pushDue = false;
  private configRevision = 0;
  private storeEra = 0;
  private self: MemberRecord;

  constructor(
    now: Millis,
    private readonly options: MembershipOptions,
  ) {
    this.roundMs = options.roundMs ?? DEFAULT_ROUND_MS;
    this.suspicionMs = options.suspicionMs ?? this.roundMs * SUSPICION_ROUNDS;
    this.composer = new ExchangeComposer(this.table, options);
    this.contacts = new DomainContacts(options.self);
    this.minPushMessageBytes = Math.min(
      MIN_PUSH_MESSAGE_BYTES,
      options.maxMessageBytes ?? MIN_PUSH_MESSAGE_BYTES,
    );
    const perSecond = options.bytesPerSecond ?? DEFAULT_BYTES_PER_SECOND;
    this.byteBudget = new TokenBucket(now, {
      perSecond,
      burst: perSecond * BURST_SECONDS,
    });
    // A random phase keeps the rounds of different nodes from synchronizing.
    this.nextRoundAt = now + options.random() * this.roundMs;
    this.self = {
      address: options.self,
      incarnation: options.incarnation,
      version: 1,
      status: 'alive',
      servers: [],
    };
    this.table.merge(now, this.self);
    this.composer.queueRecord(this.self);
  }

  /** Runs everything that is due; call it about every tenth of a round. */
  tick(now: Millis): MemberCommand[] {
    const commands: MemberCommand[] = [];
    this.expireSuspicions(now, commands);
    if (this.pushDue && this.canPush(now)) this.push(now, commands);
    if (now >= this.nextRoundAt) this.runRound(now, commands);
    return commands;
  }

  /** Merges members found outside gossip: presence objects, or peers listed in the settings. */
  seed(now: Millis, records: readonly MemberRecord[]): MemberCommand[] {
    const commands: MemberCommand[] = [];
    records.forEach(record => this.mergeRecord(now, record, commands, false));
    this.pushDue = true;
    return commands;
  }

  /** Merges a received message and returns the answer to send. */
  receive(
    now: Millis,
    message: ExchangeMessage,
  ): {answer: ExchangeMessage; commands: MemberCommand[]} {
    const commands = this.mergeMessage(now, message);
    this.handleProbe(now, message, commands);
    const answer = this.composeMessage(now, message.from.nodeId);
    this.byteBudget.take(now, messageBytes(answer));
    return {answer, commands};
  }

  /** Merges the answer to an exchange that this node started; the peer is alive. */
  receiveAnswer(
    now: Millis,
    peer: string,
    answer: ExchangeMessage,
  ): MemberCommand[] {
    this.misses.delete(peer);
    const commands = this.mergeMessage(now, answer);
    if (this.composer.hasOwnRecordFor(peer))
      this.sendExchange(now, peer, commands, undefined);
    return commands;
  }

  /**
   * Records that a peer did not answer in time. A peer of another domain is
   * replaced as its contact; one of this domain is probed indirectly, then suspected.
   */
  recordMiss(now: Millis, peer: string): MemberCommand[] {
    const commands: MemberCommand[] = [];
    const domain = this.table.get(peer)?.address.domain;
    if (domain !== undefined && domain !== this.ownDomain) {
      if (this.contacts.recordFailure(domain, peer))
        commands.push({type: 'membersChanged'});
      if (this.options.cutDetection !== false) return commands;
    }
    const count = (this.misses.get(peer) ?? 0) + 1;
    this.misses.set(peer, count);
    if (count === MISSES_TO_SUSPECT - 1)
      this.requestIndirectProbes(now, peer, commands);
    if (count >= MISSES_TO_SUSPECT) this.markSuspect(now, peer, commands);
    return commands;
  }

  /** Reports to `origin`, which asked for an indirect probe, that this node reached `target`. */
  reportReached(now: Millis, origin: string, target: string): MemberCommand[] {
    const record = this.table.get(origin);
    if (record === undefined) return [];
    const message = {
      ...this.composeMessage(now, origin),
      probeTarget: target,
      probeReached: true,
    };
    return [{type: 'exchange', to: record.address, message}];
  }

  /** Publishes the servers of this VM. */
  setServers(now: Millis, servers: readonly ServerRecord[]): MemberCommand[] {
    return this.updateSelf(now, {servers});
  }

  /** Publishes the server processes of this VM that announced that they are leaving. */
  setLeaving(now: Millis, leaving: readonly string[]): MemberCommand[] {
    if (isDeepStrictEqual(leaving, this.self.leaving ?? [])) return [];
    return this.updateSelf(now, {leaving});
  }

  /** Queues an update again for nodes that joined after it was sent. */
  requeue(news: QuarantineUpdate): void {
    this.composer.queueUpdate(news);
  }

  /** Announces that this node leaves. */
  leave(now: Millis): MemberCommand[] {
    const commands = this.updateSelf(now, {status: 'left', servers: []});
    this.push(now, commands);
    return commands;
  }

  /** Sets the revision of the configuration that this node holds and pushes it at once if it is newer. */
  setConfigRevision(now: Millis, revision: number): MemberCommand[] {
    if (revision <= this.configRevision) return [];
    this.configRevision = revision;
    const commands: MemberCommand[] = [];
    this.push(now, commands);
    return commands;
  }

  /** Sets the newest era of the store that this node knows. A later one than the first is pushed at once. */
  setStoreEra(now: Millis, era: number): MemberCommand[] {
    if (era <= this.storeEra) return [];
    const isFirst = this.storeEra === 0;
    this.storeEra = era;
    const commands: MemberCommand[] = [];
    if (!isFirst) this.push(now, commands);
    return commands;
  }

  /** Pushes an update at once; the caller has checked that it is new. */
  spread(now: Millis, news: QuarantineUpdate): MemberCommand[] {
    this.composer.queueUpdate(news);
    const commands: MemberCommand[] = [];
    this.push(now, commands);
    return commands;
  }

  /** Whether gossip is waiting to be pushed before the next round. */
  get isPushDue(): boolean {
    return this.pushDue;
  }

  /** Records of all known nodes, this one and tombstones included. */
  records(): readonly MemberRecord[] {
    return this.table.records();
  }

  get(nodeId: string): MemberRecord | undefined {
    return this.table.get(nodeId);
  }

  /** Nodes with status `alive`, this one included. */
  reachable(): NodeAddress[] {
    return this.table
      .records()
      .filter(record => record.status === 'alive')
      .map(record => record.address);
  }

  /** Hash of the member table, equal at nodes whose tables agree. */
  get digest(): number {
    return this.table.digest;
  }

  /** Unreachable failure domains; their nodes keep their last status but should not be used. */
  get cutDomains(): string[] {
    this.refreshNeighbours();
    return this.contacts.cutDomains;
  }

  get ownRecord(): MemberRecord {
    return this.self;
  }

  private updateSelf(
    now: Millis,
    change: Partial<
      Pick<MemberRecord, 'servers' | 'status' | 'incarnation' | 'leaving'>
    >,
  ): MemberCommand[] {
    this.self = {...this.self, ...change, version: this.self.version + 1};
    this.table.merge(now, this.self);
    this.composer.queueRecord(this.self);
    this.pushDue = true;
    return [{type: 'membersChanged'}];
  }

  private mergeMessage(now: Millis, message: ExchangeMessage): MemberCommand[] {
    const commands: MemberCommand[] = [];
    if (this.contacts.recordSuccess(message.from.domain))
      commands.push({type: 'membersChanged'});
    message.records.forEach(record =>
      this.mergeRecord(now, record, commands, true),
    );
    this.addUnknownSender(now, message.from, commands);
    for (const news of message.news) commands.push({type: 'news', news});
    this.composer.compareDigests(message);
    if (message.configRevision > this.configRevision) {
      const revision = message.configRevision;
      commands.push({type: 'fetchConfig', from: message.from, revision});
    }
    if (message.storeEra > this.storeEra) {
      const {storeEra: era} = message;
      commands.push(...this.setStoreEra(now, era));
      commands.push({type: 'storeRestored', era});
    }
    return commands;
  }

  // An unknown sender gets a placeholder record, which its own record replaces.
  private addUnknownSender(
    now: Millis,
    from: NodeAddress,
    commands: MemberCommand[],
  ): void {
    if (this.table.get(from.nodeId) !== undefined) return;
    const record = {address: from, incarnation: 0, version: 0, servers: []};
    this.mergeRecord(now, {...record, status: 'alive'}, commands, false);
  }

  /** Composes the first message to a node of which only the address is known. */
  composeJoinMessage(now: Millis): ExchangeMessage {
    return this.composeMessage(now, '');
  }

  private handleProbe(
    now: Millis,
    message: ExchangeMessage,
    commands: MemberCommand[],
  ): void {
    if (message.probeTarget === undefined) return;
    if (message.probeReached) {
      this.misses.delete(message.probeTarget);
      return;
    }
    const target = this.table.get(message.probeTarget)?.address;
    if (target === undefined) return;
    const probe = this.composeMessage(now, target.nodeId);
    const origin = message.from.nodeId;
    commands.push({type: 'probeFor', target, message: probe, origin});
  }

  private mergeRecord(
    now: Millis,
    record: MemberRecord,
    commands: MemberCommand[],
    gossip: boolean,
  ): void {
    const {nodeId} = record.address;
    if (nodeId === this.self.address.nodeId) {
      this.restoreLeaving(now, record, commands);
      this.refute(now, record, commands);
      return;
    }
    const before = this.table.get(nodeId);
    // A tombstone of an unknown node carries no useful information.
    if (before === undefined && isTombstone(record)) return;
    if (!this.table.merge(now, record)) return;
    // A restarted node gets back the leaving servers that its previous process announced.
    if (
      before?.leaving !== undefined &&
      before.incarnation !== record.incarnation
    ) {
      this.composer.queueOwnRecordFor(nodeId);
    }
    invariant(
      before === undefined || isNewer(record, before),
      'membership.order',
      () => nodeId,
    );
    if (gossip) this.composer.queueRecord(record);
    this.pushDue = this.pushDue || gossip;
    if (before?.status !== record.status) this.neighboursStale = true;
    if (record.status === 'suspect') this.suspectedAt.set(nodeId, now);
    else this.suspectedAt.delete(nodeId);
    if (record.status === 'alive') this.misses.delete(nodeId);
    commands.push({type: 'membersChanged'});
    if (before?.status !== record.status) {
      commands.push({
        type: 'statusChanged',
        nodeId,
        status: record.status,
        reason: 'reported by a peer',
      });
    }
  }

  // Leaving servers that an earlier process of this node announced are still leaving.
  private restoreLeaving(
    now: Millis,
    record: MemberRecord,
    commands: MemberCommand[],
  ): void {
    const {leaving = []} = withLeavingInstances(this.self, record);
    const known = this.self.leaving ?? [];
    const instances = leaving.filter(i => !known.includes(i));
    if (instances.length === 0) return;
    commands.push({type: 'leaving', instances});
    commands.push(...this.updateSelf(now, {leaving}));
  }

  // Only a node itself may declare that it is alive: it answers a newer record of itself with a higher version.
  private refute(
    now: Millis,
    record: MemberRecord,
    commands: MemberCommand[],
  ): void {
    if (!isNewer(record, this.self) || this.self.status === 'left') return;
    const incarnation = Math.max(record.incarnation, this.self.incarnation);
    const version = Math.max(record.version, this.self.version);
    this.self = {...this.self, incarnation, version};
    commands.push(...this.updateSelf(now, {}));
  }

  private markSuspect(
    now: Millis,
    peer: string,
    commands: MemberCommand[],
  ): void {
    const record = this.table.get(peer);
    if (record === undefined || record.status !== 'alive') return;
    this.setStatus(now, record, 'suspect', 'no answer to exchanges', commands);
    this.suspectedAt.set(peer, now);
  }

  private expireSuspicions(now: Millis, commands: MemberCommand[]): void {
    for (const [peer, at] of this.suspectedAt) {
      if (now - at < this.suspicionMs) continue;
      const record = this.table.get(peer);
      if (record === undefined || record.status !== 'suspect') {
        this.suspectedAt.delete(peer);
        continue;
      }
      if (this.mayBeCutOff(record)) {
        // Restart the timer, so that nodes are not declared dead as soon as the cut heals.
        this.suspectedAt.set(peer, now);
        continue;
      }
      this.suspectedAt.delete(peer);
      this.setStatus(now, record, 'dead', 'suspicion not refuted', commands);
    }
  }

  private mayBeCutOff(record: MemberRecord): boolean {
    if (this.options.cutDetection === false) return false;
    const {domain, nodeId} = record.address;
    // Only nodes of the same domain can distinguish a death from a cut.
    if (domain !== this.ownDomain) return true;
    return isMostlySuspect(this.table.records(), domain, nodeId);
  }

  private setStatus(
    now: Millis,
    record: MemberRecord,
    status: MemberStatus,
    reason: string,
    commands: MemberCommand[],
  ): void {
    const next = {...record, status};
    this.table.merge(now, next);
    this.composer.queueRecord(next);
    this.pushDue = true;
    this.neighboursStale = true;
    const {nodeId} = record.address;
    commands.push({type: 'statusChanged', nodeId, status, reason});
    commands.push({type: 'membersChanged'});
  }

  private requestIndirectProbes(
    now: Millis,
    peer: string,
    commands: MemberCommand[],
  ): void {
    this.refreshNeighbours();
    const probers = this.successors.filter(id => id !== peer);
    for (const prober of probers.slice(0, INDIRECT_PROBERS)) {
      this.sendExchange(now, prober, commands, peer);
    }
  }

  private runRound(now: Millis, commands: MemberCommand[]): void {
    this.nextRoundAt = now + this.roundMs;
    this.roundCount++;
    this.expireTombstones(now);
    this.refreshNeighbours();
    const next =
      this.successors[this.successorCursor++ % this.successors.length];
    if (next !== undefined) this.sendExchange(now, next, commands, undefined);
    for (const peer of this.contacts.dueContacts(this.ownDomainSize))
      this.sendExchange(now, peer, commands, undefined);
    // Retry peers that did not answer in each round, to distinguish a lost message from a dead node.
    for (const peer of this.misses.keys()) {
      const status = this.table.get(peer)?.status;
      if (status === 'alive') this.sendExchange(now, peer, commands, undefined);
    }
    this.retryRandomPeer(now, 'suspect', commands);
    if (this.roundCount % DEAD_RETRY_ROUNDS === 0)
      this.retryRandomPeer(now, 'dead', commands);
  }

  // Contacts an unreachable node, as otherwise neither side would notice that a cut has healed.
  private retryRandomPeer(
    now: Millis,
    status: MemberStatus,
    commands: MemberCommand[],
  ): void {
    const candidates = this.table
      .records()
      .filter(r => r.status === status && r.address.domain === this.ownDomain);
    if (candidates.length === 0) return;
    const record =
      candidates[Math.floor(this.options.random() * candidates.length)];
    if (record !== undefined) {
      this.sendExchange(now, record.address.nodeId, commands, undefined);
    }
  }

  private push(now: Millis, commands: MemberCommand[]): void {
    this.pushDue = false;
    this.refreshNeighbours();
    for (const peer of this.pickPushTargets()) {
      this.sendExchange(now, peer, commands, undefined);
    }
    // The rest of the queue goes out with the next tick.
    if (this.composer.hasQueuedGossip) this.pushDue = true;
  }

  // Pushing messages without room for records would use up the byte budget that the queue needs.
  private canPush(now: Millis): boolean {
    return this.byteBudget.available(now) >= FANOUT * this.minPushMessageBytes;
  }

  // Only a few nodes push to other domains, because traffic between domains is expensive.
  private pickPushTargets(): string[] {
    const {random} = this.options;
    const domainContacts = this.contacts.reachable();
    const crossesDomains = random() * this.ownDomainSize < CROSS_DOMAIN_SENDERS;
    const neighbours = crossesDomains
      ? [...this.successors, ...domainContacts]
      : this.successors;
    const start = Math.floor(random() * neighbours.length);
    const count = Math.min(FANOUT, neighbours.length);
    return Array.from(
      {length: count},
      (_, i) => neighbours[(start + i) % neighbours.length] ?? '',
    );
  }

  private sendExchange(
    now: Millis,
    peer: string,
    commands: MemberCommand[],
    probeTarget: string | undefined,
  ): void {
    const record = this.table.get(peer);
    if (record === undefined) return;
    if (this.byteBudget.available(now) < BASE_BYTES) return;
    const message = {...this.composeMessage(now, peer), probeTarget};
    this.byteBudget.take(now, messageBytes(message));
    commands.push({type: 'exchange', to: record.address, message});
  }

  private composeMessage(now: Millis, peer: string): ExchangeMessage {
    return this.composer.compose(peer, {
      self: this.self.address,
      configRevision: this.configRevision,
      storeEra: this.storeEra,
      bytesLeft: this.byteBudget.available(now),
    });
  }

  private refreshNeighbours(): void {
    if (!this.neighboursStale) return;
    this.neighboursStale = false;
    const alive = this.reachable();
    const count = this.options.successors ?? DEFAULT_SUCCESSORS;
    this.successors = successorsOf(this.self.address, alive, count);
    this.ownDomainSize = alive.filter(n => n.domain === this.ownDomain).length;
    this.contacts.update(alive);
  }

  private get ownDomain(): string {
    return this.self.address.domain;
  }

  private expireTombstones(now: Millis): void {
    for (const record of this.table.records()) {
      if (!isTombstone(record)) continue;
      const {nodeId} = record.address;
      if (nodeId === this.self.address.nodeId) continue;
      if (now - this.table.changedAt(nodeId) >= TOMBSTONE_TTL_MS)
        this.table.remove(nodeId);
    }
  }
}
