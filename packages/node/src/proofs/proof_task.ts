/** Keeps a proof that what this node holds of a store object is recent. */
import {runGuarded} from '@goldcresthill/errors';
import type {FaultListener} from '@goldcresthill/errors';
import {FreshnessProof, ProofPlanner} from '@goldcresthill/freshness';
import type {
  ClockReading,
  ProofTarget,
  QueryRef,
} from '@goldcresthill/freshness';
import type {ProofEntry} from '@goldcresthill/peers';
import type {Cancel, Timers} from '@goldcresthill/timers';
import type {Millis, NodeAddress} from '@goldcresthill/types';

/** Sends a query for proofs of objects to a node; calls `done` once, with undefined if no answer arrived in time. */
export type RequestProofs = (
  to: NodeAddress,
  names: readonly string[],
  done: (proofs: readonly ProofEntry[] | undefined) => void,
) => void;

/** Options of ProofTask. */
export interface ProofTaskOptions {
  readonly self: NodeAddress;
  /** Path of the store object. */
  readonly name: string;
  /** Age from which a proof no longer counts, milliseconds. */
  readonly maxAgeMs: Millis;
  readonly timers: Timers;
  readonly random: () => number;
  readonly readClocks: () => ClockReading;
  readonly request: RequestProofs;
  /** Reads the object's newest state and puts it into force; resolves to its revision, or to undefined if the store did not answer or the object is invalid. */
  readonly queryStore: () => Promise<number | undefined>;
  /** Returns the revision in force at this node. */
  readonly heldRevision: () => number;
  /** A proof was gained or has expired. */
  readonly onProven: (isProven: boolean, ageMs: Millis) => void;
  readonly onFault: FaultListener;
}

/** Part of the longest age that is left for the resolution and the drift of clocks. */
const MARGIN_FRACTION = 0.05;
/** Time after which a round goes on although the store has not answered, milliseconds; a later answer still counts. */
const STORE_WAIT_MS = 300;
/** Shortest timer, milliseconds; a wait below the resolution of the clock would end before the round is due. */
const MIN_WAIT_MS = 1;
/** Delay of the first query, milliseconds: mostly the read of the store that activates the task is about to prove the revision. A request that needs a proof does not wait for it. */
const START_DELAY_MS = 100;
/** Usual time that a round takes, milliseconds. */
const ROUND_MS = 20;

/** Queries the store and other nodes as its planner decides, while it is active. */
export class ProofTask {
  private readonly proof: FreshnessProof;
  private readonly planner: ProofPlanner;
  private nodes: ReadonlyMap<string, NodeAddress> = new Map();
  private cancelTimer: Cancel = () => undefined;
  private isActive = false;
  private isStorePending = false;
  private wasProven = false;
  private readonly limitMs: Millis;

  constructor(private readonly options: ProofTaskOptions) {
    const {name, maxAgeMs, random} = options;
    this.proof = new FreshnessProof({objects: [name]});
    this.planner = new ProofPlanner({maxAgeMs, random});
    this.limitMs = maxAgeMs * (1 - MARGIN_FRACTION);
  }

  /** Starts or stops the queries. */
  setActive(isActive: boolean): void {
    if (isActive === this.isActive) return;
    this.isActive = isActive;
    this.cancelTimer();
    if (!isActive) return;
    const {timers} = this.options;
    this.cancelTimer = timers.after(START_DELAY_MS, () => this.run());
  }

  /** Sets the reachable nodes and those of them that query the store for the others. */
  setNodes(
    reachable: readonly NodeAddress[],
    watcherIds: ReadonlySet<string>,
  ): void {
    this.nodes = new Map(reachable.map(node => [node.nodeId, node]));
    const watchers = reachable
      .filter(({nodeId}) => watcherIds.has(nodeId))
      .sort((a, b) => (a.nodeId < b.nodeId ? -1 : 1));
    const {self} = this.options;
    const fleetSize = reachable.length;
    this.planner.setPeers({self, watchers, fleetSize});
  }

  /** Age of the proof of the revision in force, milliseconds; Infinity without one. */
  get ageMs(): Millis {
    const {name, readClocks, heldRevision} = this.options;
    return this.proof.ageMs(name, readClocks(), heldRevision());
  }

  /** Whether the revision in force is proven. What is judged by this must have been read before. Without a proof, a query is sent at once. */
  isProven(): boolean {
    const {ageMs} = this;
    const isProven = ageMs < this.limitMs;
    if (isProven !== this.wasProven) {
      this.wasProven = isProven;
      this.options.onProven(isProven, ageMs);
    }
    if (!isProven && this.isActive) {
      this.planner.requestRound(this.options.timers.now());
      this.run();
    }
    return isProven;
  }

  /** Time until a proof may be there, milliseconds. */
  get retryAfterMs(): Millis {
    return this.planner.waitMs(this.options.timers.now()) + ROUND_MS;
  }

  /** Records that the store is about to be queried by another part of the node. */
  ask(): QueryRef {
    return this.proof.ask(this.options.readClocks());
  }

  /** Records the newest revision in the store, as of the query. */
  recordNewest(ref: QueryRef, revision: number): void {
    this.proof.answer(ref, this.options.name, {revision, ageMs: 0});
    this.proof.forget(ref);
  }

  /** Answers a query of another node. */
  proofsOf(names: readonly string[]): ProofEntry[] {
    const {name, readClocks} = this.options;
    if (!names.includes(name)) return [];
    const proof = this.proof.newest(name, readClocks());
    return proof === undefined ? [] : [{...proof, name}];
  }

  close(): void {
    this.setActive(false);
  }

  private run(): void {
    if (!this.isActive) return;
    this.cancelTimer();
    const {timers} = this.options;
    // A round that becomes due between two readings of the clock would never be started.
    const now = timers.now();
    const target = this.planner.next(now, this.ageMs);
    if (target !== undefined) {
      this.query(target);
      return;
    }
    const waitMs = this.planner.waitMs(now);
    // While a query is pending, its end continues the round.
    if (waitMs === 0) return;
    this.cancelTimer = timers.after(Math.max(MIN_WAIT_MS, waitMs), () => {
      this.isProven();
      this.run();
    });
  }

  private query(target: ProofTarget): void {
    if (target.type === 'store') this.queryStore(target);
    else this.queryPeer(target);
  }

  private queryPeer(target: ProofTarget & {type: 'peer'}): void {
    const node = this.nodes.get(target.nodeId);
    if (node === undefined) {
      this.continueRound(target, false);
      return;
    }
    const {name, request} = this.options;
    const ref = this.ask();
    request(node, [name], proofs => {
      for (const proof of proofs ?? []) {
        if (proof.name === name) this.proof.answer(ref, name, proof);
      }
      this.proof.forget(ref);
      this.continueRound(target, proofs !== undefined);
    });
  }

  private queryStore(target: ProofTarget): void {
    if (this.isStorePending) {
      this.continueRound(target, false);
      return;
    }
    const {timers, queryStore, onFault} = this.options;
    this.isStorePending = true;
    let isWaiting = true;
    const endWait = (isAnswered: boolean): void => {
      if (!isWaiting) return;
      isWaiting = false;
      cancel();
      this.continueRound(target, isAnswered);
    };
    const cancel = timers.after(STORE_WAIT_MS, () => endWait(false));
    const ref = this.ask();
    runGuarded(
      err => {
        this.isStorePending = false;
        onFault(err);
        endWait(false);
      },
      async () => {
        const revision = await queryStore();
        this.isStorePending = false;
        if (revision !== undefined) this.recordNewest(ref, revision);
        endWait(revision !== undefined);
      },
    );
  }

  private continueRound(target: ProofTarget, isAnswered: boolean): void {
    const now = this.options.timers.now();
    if (isAnswered) this.planner.recordAnswer(now, target, this.ageMs);
    else this.planner.recordSilence(now, target);
    this.isProven();
    this.run();
  }
}
