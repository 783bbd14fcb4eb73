/** Records how long ago a node knew that a revision of a store object was the newest one. */
import type {Millis} from '@goldcresthill/types';
import {elapsedMs} from './clock_reading';
import type {ClockReading} from './clock_reading';

/** Identifies a query of this process; never reused. */
export type QueryRef = number;

/** Knowledge that a revision of an object was the newest in the store a while ago. */
export interface ObjectProof {
  readonly revision: number;
  /** Time since it is known to have been the newest, milliseconds; 0 for an answer of the store itself. */
  readonly ageMs: Millis;
}

/** Options of FreshnessProof. */
export interface FreshnessProofOptions<Name extends string> {
  /** Names of the store objects that proofs are about. */
  readonly objects: readonly Name[];
  /** Queries whose answers are still accepted; the oldest are forgotten first. */
  readonly maxQueries?: number;
}

/** A proof as this node holds it. */
interface HeldProof {
  readonly revision: number;
  /** Clocks when the query was sent. */
  readonly askedAt: ClockReading;
  /** Age of the proof at the node or store that answered, milliseconds. */
  readonly addedMs: Millis;
}

const DEFAULT_MAX_QUERIES = 64;
/** Proofs kept of an object: that of the newest revision, and those that count while an earlier one is held. */
const MAX_PROOFS = 4;

/**
 * Proofs of the freshness of named store objects. A proof is dated at the
 * moment when this node sent its query, so that an answer which waited in a
 * socket while the process was paused does not appear recent. Its age is the
 * largest of the times elapsed by three clocks.
 *
 * Every reading passed in must be taken after what it is used to judge has
 * been read from its socket.
 */
export class FreshnessProof<Name extends string = string> {
  private readonly proofs: ReadonlyMap<Name, HeldProof[]>;
  private readonly queries = new Map<QueryRef, ClockReading>();
  private nextRef = 1;

  constructor(private readonly options: FreshnessProofOptions<Name>) {
    this.proofs = new Map(options.objects.map(name => [name, []]));
  }

  /** Records that a query is about to be sent. The clocks must be read before that. */
  ask(clocks: ClockReading): QueryRef {
    const {maxQueries = DEFAULT_MAX_QUERIES} = this.options;
    const ref = this.nextRef++;
    this.queries.set(ref, clocks);
    for (const oldest of this.queries.keys()) {
      if (this.queries.size <= maxQueries) break;
      this.queries.delete(oldest);
    }
    return ref;
  }

  /**
   * Records an answer to a query, which may cover several objects by one call
   * each. The store answers with an age of 0. Answers to unknown queries, about
   * unknown objects or with an invalid age are ignored.
   */
  answer(ref: QueryRef, name: Name, {revision, ageMs}: ObjectProof): void {
    const askedAt = this.queries.get(ref);
    const held = this.proofs.get(name);
    if (askedAt === undefined || held === undefined) return;
    if (!Number.isFinite(revision) || !(ageMs >= 0) || ageMs === Infinity)
      return;
    this.add(held, {revision, askedAt, addedMs: ageMs});
  }

  /** Forgets a query: later answers to it are ignored. */
  forget(ref: QueryRef): void {
    this.queries.delete(ref);
  }

  /**
   * Returns the time since the held revision of an object is known to have
   * been the newest, milliseconds; Infinity if that is not known. A proof of an
   * earlier revision counts: a node that holds a later one holds everything
   * that was acknowledged by then. A proof of a later revision does not count.
   */
  ageMs(name: Name, clocks: ClockReading, heldRevision: number): Millis {
    let least = Infinity;
    for (const proof of this.proofs.get(name) ?? []) {
      if (proof.revision > heldRevision) continue;
      least = Math.min(least, ageOf(proof, clocks));
    }
    return least;
  }

  /** Returns the proof of the least age, to answer another node with; undefined without one. */
  newest(name: Name, clocks: ClockReading): ObjectProof | undefined {
    let newest: ObjectProof | undefined;
    for (const proof of this.proofs.get(name) ?? []) {
      const ageMs = ageOf(proof, clocks);
      if (ageMs < (newest?.ageMs ?? Infinity))
        newest = {revision: proof.revision, ageMs};
    }
    return newest;
  }

  /** Voids all proofs and queries, as the store was restored from an older copy. */
  clear(): void {
    this.queries.clear();
    for (const held of this.proofs.values()) held.length = 0;
  }

  // Of each revision only the latest proof is kept, and the earliest of all is dropped if there are too many.
  private add(held: HeldProof[], proof: HeldProof): void {
    const same = held.findIndex(({revision}) => revision === proof.revision);
    const known = held[same];
    if (known !== undefined) {
      if (isLater(proof, known)) held[same] = proof;
      return;
    }
    held.push(proof);
    if (held.length <= MAX_PROOFS) return;
    const earliest = held.reduce((a, b) => (isLater(a, b) ? b : a));
    held.splice(held.indexOf(earliest), 1);
  }
}

function ageOf({askedAt, addedMs}: HeldProof, clocks: ClockReading): Millis {
  return elapsedMs(askedAt, clocks) + addedMs;
}

// Both ages are taken at the later query, as the clocks may have been set between the two.
function isLater(proof: HeldProof, known: HeldProof): boolean {
  const isAskedLater = proof.askedAt.steadyMs >= known.askedAt.steadyMs;
  const at = isAskedLater ? proof.askedAt : known.askedAt;
  return ageOf(proof, at) <= ageOf(known, at);
}
