/** Decides whom a node queries for a proof of freshness, and when. */
import type {Millis} from '@goldcresthill/types';

/** Who is queried. */
export type ProofTarget =
  {readonly type: 'store'} | {readonly type: 'peer'; readonly nodeId: string};

/** A node as the planner knows it. */
export interface ProofPeer {
  readonly nodeId: string;
  readonly domain: string;
}

/** The nodes that a node knows. */
export interface ProofPeers {
  readonly self: ProofPeer;
  /** Nodes that query the store for the others. */
  readonly watchers: readonly ProofPeer[];
  /** Number of nodes of the fleet, including this one. */
  readonly fleetSize: number;
}

/** Options of ProofPlanner. */
export interface ProofPlannerOptions {
  /** Age up to which a proof is of use, milliseconds. */
  readonly maxAgeMs: Millis;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
}

/** Interval between queries of a node, as a fraction of `maxAgeMs`. */
const INTERVAL_FRACTION = 0.2;
/** Age, in intervals, up to which an answer suffices to a watcher; the store's watcher is queried each interval. */
const WATCHER_ENOUGH_INTERVALS = 1.6;
/** Age, in intervals, up to which an answer suffices to another node; one interval more than a watcher's may have. */
const NODE_ENOUGH_INTERVALS = 2.8;
/** Age beyond which a node that is no watcher queries the store, as a fraction of `maxAgeMs`; beyond what peers' answers reach in normal operation. */
const OWN_QUERY_FRACTION = 0.7;
/** Least time between the starts of two rounds, in intervals. */
const MIN_ROUND_GAP_INTERVALS = 0.25;
/** Longest time between two rounds after several without a proof, in intervals, for watchers and for other nodes. */
const MAX_WATCHER_GAP_INTERVALS = 0.5;
const MAX_NODE_GAP_INTERVALS = 1;
/** Queries without an answer after which a peer is left out. */
const MAX_UNANSWERED = 2;
/** Peers that a node which is no watcher queries in one round. */
const MAX_PEERS_PER_ROUND = 3;
/** Interval at which one of all nodes that are no watchers queries a store that does not answer, milliseconds. */
const FLEET_QUERY_INTERVAL_MS = 200;
/** Interval at which watchers but the first query a store that does not answer, in intervals. */
const WATCHER_BACKOFF_INTERVALS = 2;

interface Silence {
  unanswered: number;
  /** Until then the peer is left out. */
  until: Millis;
}

/**
 * The first watcher queries the store once in an interval; each other watcher
 * queries the watchers before it, and all other nodes query watchers, first of
 * their own domain. A query that is not answered, or by a proof that is too
 * old, is followed by one to the next target of the round. Watchers end their
 * rounds with the store and the watchers after them; other nodes query the
 * store only when their proof is about to expire.
 */
export class ProofPlanner {
  private peers: ProofPeers | undefined;
  private readonly silences = new Map<string, Silence>();
  private readonly intervalMs: Millis;
  private targets: ProofTarget[] = [];
  private isPending = false;
  private roundStartedAt: Millis = -Infinity;
  private nextRoundAt: Millis = -Infinity;
  private storeAllowedAt: Millis = -Infinity;
  /** Rounds since the last one that ended with a proof. */
  private failedRounds = 0;

  constructor(private readonly options: ProofPlannerOptions) {
    this.intervalMs = options.maxAgeMs * INTERVAL_FRACTION;
  }

  setPeers(peers: ProofPeers): void {
    this.peers = peers;
  }

  /** Returns the query to send now, after which `recordAnswer` or `recordSilence` is called; undefined if none is due. */
  next(now: Millis, ageMs: Millis): ProofTarget | undefined {
    if (this.isPending) return undefined;
    if (this.targets.length === 0) {
      if (now < this.nextRoundAt) return undefined;
      this.roundStartedAt = now;
      this.targets = this.roundOf(now, ageMs);
    }
    const target = this.targets.shift();
    if (target === undefined) this.endRound(now, false);
    this.isPending = target !== undefined;
    return target;
  }

  /** Time until `next` may return a query, milliseconds; 0 while one is pending. */
  waitMs(now: Millis): Millis {
    const isInRound = this.isPending || this.targets.length > 0;
    return isInRound ? 0 : Math.max(0, this.nextRoundAt - now);
  }

  /** Records the answer to the pending query; `ageMs` is the age of this node's proof now. */
  recordAnswer(now: Millis, target: ProofTarget, ageMs: Millis): void {
    if (target.type === 'peer') this.silences.delete(target.nodeId);
    else this.storeAllowedAt = now;
    this.isPending = false;
    const enough =
      this.rank >= 0 ? WATCHER_ENOUGH_INTERVALS : NODE_ENOUGH_INTERVALS;
    if (ageMs <= enough * this.intervalMs) this.endRound(now, true);
    else if (this.targets.length === 0) this.endRound(now, false);
  }

  /** Records that the pending query was not answered in time. */
  recordSilence(now: Millis, target: ProofTarget): void {
    if (target.type === 'peer') this.recordPeerSilence(now, target.nodeId);
    else this.storeAllowedAt = now + this.storeBackoffMs;
    this.isPending = false;
    if (this.targets.length === 0) this.endRound(now, false);
  }

  /** Starts a round as soon as possible, as a request needs a proof. */
  requestRound(now: Millis): void {
    const earliest = this.roundStartedAt + this.roundGapMs;
    this.nextRoundAt = Math.min(this.nextRoundAt, Math.max(now, earliest));
  }

  /** Position among the watchers, from 0; -1 if this node is none. */
  private get rank(): number {
    const {peers} = this;
    if (peers === undefined) return -1;
    return peers.watchers.findIndex(w => w.nodeId === peers.self.nodeId);
  }

  /** Least time between the starts of two rounds; it grows while rounds end without a proof. */
  private get roundGapMs(): Millis {
    const maxIntervals =
      this.rank >= 0 ? MAX_WATCHER_GAP_INTERVALS : MAX_NODE_GAP_INTERVALS;
    const intervals = MIN_ROUND_GAP_INTERVALS * 2 ** this.failedRounds;
    return this.intervalMs * Math.min(maxIntervals, intervals);
  }

  private get storeBackoffMs(): Millis {
    const {rank, intervalMs} = this;
    if (rank === 0) return intervalMs;
    if (rank > 0) return intervalMs * WATCHER_BACKOFF_INTERVALS;
    const fleetSize = this.peers?.fleetSize ?? 1;
    const spreadMs = fleetSize * FLEET_QUERY_INTERVAL_MS;
    return Math.max(intervalMs, spreadMs * (0.5 + this.options.random()));
  }

  private roundOf(now: Millis, ageMs: Millis): ProofTarget[] {
    const {peers, rank} = this;
    const store: ProofTarget[] =
      now >= this.storeAllowedAt ? [{type: 'store'}] : [];
    if (peers === undefined) return store;
    if (rank >= 0) {
      const before = peers.watchers.slice(0, rank);
      const after = peers.watchers.slice(rank + 1);
      return [
        ...this.queriesTo(now, before),
        ...store,
        ...this.queriesTo(now, after).slice(0, MAX_PEERS_PER_ROUND),
      ];
    }
    const own = this.shuffled(
      peers.watchers.filter(({domain}) => domain === peers.self.domain),
    );
    const others = this.shuffled(
      peers.watchers.filter(({domain}) => domain !== peers.self.domain),
    );
    const responsive = this.queriesTo(now, [...own, ...others]);
    const isExpiring = ageMs >= this.options.maxAgeMs * OWN_QUERY_FRACTION;
    return [
      ...responsive.slice(0, MAX_PEERS_PER_ROUND),
      ...(isExpiring ? store : []),
    ];
  }

  private queriesTo(now: Millis, nodes: readonly ProofPeer[]): ProofTarget[] {
    return nodes
      .filter(({nodeId}) => now >= (this.silences.get(nodeId)?.until ?? now))
      .map(({nodeId}) => ({type: 'peer', nodeId}));
  }

  // Queries of many nodes are spread over the watchers.
  private shuffled(nodes: ProofPeer[]): ProofPeer[] {
    const start = Math.floor(this.options.random() * nodes.length);
    return [...nodes.slice(start), ...nodes.slice(0, start)];
  }

  private recordPeerSilence(now: Millis, nodeId: string): void {
    const silence = this.silences.get(nodeId) ?? {unanswered: 0, until: now};
    silence.unanswered++;
    if (silence.unanswered >= MAX_UNANSWERED)
      silence.until = now + this.options.maxAgeMs;
    this.silences.set(nodeId, silence);
  }

  private endRound(now: Millis, isProven: boolean): void {
    this.targets = [];
    this.failedRounds = isProven ? 0 : this.failedRounds + 1;
    this.nextRoundAt = isProven
      ? this.roundStartedAt + this.intervalMs
      : now + this.roundGapMs;
  }
}
