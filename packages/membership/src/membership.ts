/** Aggregate that holds the fleet as one node sees it and decides whom to tell. */
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
/** Failed exchanges in a row before a node is suspected. */
const MISSES_TO_SUSPECT = 2;
/** Nodes told at once when there is news. */
const FANOUT = 3;
/** Message with room for a few records, bytes. */
const MIN_PUSH_MESSAGE_BYTES = 800;
/** Nodes of a domain that tell news to other domains, on average. */
const CROSS_DOMAIN_SENDERS = 6;
/** Nodes asked to reach one that does not answer. */
const INDIRECT_PROBERS = 2;
/** Every this many rounds a dead node is tried again. */
const DEAD_RETRY_ROUNDS = 5;
/** Time for which a dead or departed node is remembered, milliseconds. */
const TOMBSTONE_TTL_MS = 600_000;
/** Share of the byte budget that news may use at once, seconds' worth. */
const BURST_SECONDS = 4;

/** Membership of one node. Time and randomness are passed in. */
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
  /** Size of a message that has room for some records. */
  private readonly minPushMessageBytes: number;
  private neighboursStale = true;
  private nextRoundAt: Millis;
  private roundCount = 0;
  private successorCursor = 0;
  private pushDue = false;
  private configRevision = 0;
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
    // Rounds of different nodes are spread out so that they do not run in step.
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

  /** Lets time pass; to be called every tenth of a round or so. */
  tick(now: Millis): MemberCommand[] {
    const commands: MemberCommand[] = [];
    this.expireSuspicions(now, commands);
    if (this.pushDue && this.canPush(now)) this.push(now, commands);
    if (now >= this.nextRoundAt) this.runRound(now, commands);
    return commands;
  }

  /** Takes members found elsewhere: the presence objects or peers in the settings. */
  seed(now: Millis, records: readonly MemberRecord[]): MemberCommand[] {
    const commands: MemberCommand[] = [];
    records.forEach(record => this.mergeRecord(now, record, commands, false));
    this.pushDue = true;
    return commands;
  }

  /** Takes a message and returns the answer to it. */
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

  /** Takes the answer to a message of ours: the peer is alive. */
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

  /** A peer did not answer in time. */
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

  /** This node, asked to help, reached a node that the origin could not. */
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

  /** The servers of this VM have changed. */
  setServers(now: Millis, servers: readonly ServerRecord[]): MemberCommand[] {
    return this.updateSelf(now, {servers});
  }

  /** Server processes of this VM that have said that they leave. */
  setLeaving(now: Millis, leaving: readonly string[]): MemberCommand[] {
    if (isDeepStrictEqual(leaving, this.self.leaving ?? [])) return [];
    return this.updateSelf(now, {leaving});
  }

  /** Tells news again that newcomers may not have heard of. */
  requeue(news: QuarantineUpdate): void {
    this.composer.queueUpdate(news);
  }

  /** This node leaves. */
  leave(now: Millis): MemberCommand[] {
    const commands = this.updateSelf(now, {status: 'left', servers: []});
    this.push(now, commands);
    return commands;
  }

  /** This node holds a configuration of this revision and tells others at once. */
  setConfigRevision(now: Millis, revision: number): MemberCommand[] {
    if (revision <= this.configRevision) return [];
    this.configRevision = revision;
    const commands: MemberCommand[] = [];
    this.push(now, commands);
    return commands;
  }

  /** Spreads news at once; the caller has checked that it is new. */
  spread(now: Millis, news: QuarantineUpdate): MemberCommand[] {
    this.composer.queueUpdate(news);
    const commands: MemberCommand[] = [];
    this.push(now, commands);
    return commands;
  }

  /** Whether there is something to tell before the next round. */
  get isPushDue(): boolean {
    return this.pushDue;
  }

  /** Everything known, this node included. */
  records(): readonly MemberRecord[] {
    return this.table.records();
  }

  get(nodeId: string): MemberRecord | undefined {
    return this.table.get(nodeId);
  }

  /** Nodes that are thought to be alive, this one included. */
  reachable(): NodeAddress[] {
    return this.table
      .records()
      .filter(record => record.status === 'alive')
      .map(record => record.address);
  }

  /** Hash of the whole table: equal at two nodes that agree. */
  get digest(): number {
    return this.table.digest;
  }

  /** Domains that cannot be reached; their nodes are kept as they were, unused. */
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
    return commands;
  }

  // A sender that is not known yet is held until its own record arrives.
  private addUnknownSender(
    now: Millis,
    from: NodeAddress,
    commands: MemberCommand[],
  ): void {
    if (this.table.get(from.nodeId) !== undefined) return;
    const record = {address: from, incarnation: 0, version: 0, servers: []};
    this.mergeRecord(now, {...record, status: 'alive'}, commands, false);
  }

  /** A first message to a node of which only the address is known. */
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
    // A tombstone of a node that is not known is of no use.
    if (before === undefined && isTombstone(record)) return;
    if (!this.table.merge(now, record)) return;
    // A process that has just started is told what its node had said before.
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
        reason: 'told by a peer',
      });
    }
  }

  // What an earlier process of this node has told of its servers still holds.
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

  // Only the node itself may say that it is alive: it outbids what is said of it.
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
        // The suspicion starts anew, so that the end of a cut is not taken for deaths.
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
    // Only nodes of the same domain can tell a death from a cut.
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
    // Peers that did not answer are asked again each round, to tell a lost message from a dead node.
    for (const peer of this.misses.keys()) {
      const status = this.table.get(peer)?.status;
      if (status === 'alive') this.sendExchange(now, peer, commands, undefined);
    }
    this.retryRandomPeer(now, 'suspect', commands);
    if (this.roundCount % DEAD_RETRY_ROUNDS === 0)
      this.retryRandomPeer(now, 'dead', commands);
  }

  // After a cut has healed someone has to speak first.
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
    // What is left to tell goes out with the next tick.
    if (this.composer.hasQueuedGossip) this.pushDue = true;
  }

  // Messages without room for news would spend the budget that news needs.
  private canPush(now: Millis): boolean {
    return this.byteBudget.available(now) >= FANOUT * this.minPushMessageBytes;
  }

  // News leaves a domain by a few of its nodes, as bytes between domains are dear.
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
