/** A budget for the memory that data of other parties retains; the caller passes the current time. */
import {invariant} from '@goldcresthill/types';
import type {Millis} from '@goldcresthill/types';

/** Options of {@link RetentionBudget}. */
export interface RetentionBudgetOptions {
  /** Memory that all holders may retain together, bytes. */
  readonly maxBytes: number;
  /** Memory that one holder at a time may retain beside the shared memory, bytes. */
  readonly reserveBytes: number;
  /** Time without progress after which a holder may be evicted for another, milliseconds. */
  readonly staleMs: Millis;
}

/** Result of a request for memory. */
export interface RetentionGrant {
  readonly isGranted: boolean;
  /** Holders that have lost what they held, those without progress for longest first. */
  readonly evicted: readonly number[];
}

interface Holder {
  bytes: number;
  lastProgressAt: Millis;
  /** Whether its data is complete and in use, so that it cannot be evicted. */
  isSettled: boolean;
}

/**
 * Grants memory to holders by reference. One holder that needs more than the
 * shared memory has left gets the reserve, so that a single large body fits
 * whatever the others hold.
 */
export class RetentionBudget {
  private readonly holders = new Map<number, Holder>();
  private nextRef = 1;
  private sharedBytes = 0;
  /** The holder whose memory counts against the reserve. */
  private reserveRef: number | undefined;

  constructor(private readonly options: RetentionBudgetOptions) {}

  /** Memory that all holders retain, bytes. */
  get retainedBytes(): number {
    const {reserveRef} = this;
    const reserved =
      reserveRef === undefined ? undefined : this.holders.get(reserveRef);
    return this.sharedBytes + (reserved?.bytes ?? 0);
  }

  /** Adds a holder that retains nothing yet, and returns its reference. */
  open(now: Millis): number {
    const ref = this.nextRef++;
    this.holders.set(ref, {bytes: 0, lastProgressAt: now, isSettled: false});
    return ref;
  }

  /** Records that data of a holder has arrived. */
  recordProgress(ref: number, now: Millis): void {
    const holder = this.holders.get(ref);
    if (holder !== undefined) holder.lastProgressAt = now;
  }

  /** Records that the data of a holder is complete; it is not evicted any more. */
  settle(ref: number): void {
    const holder = this.holders.get(ref);
    if (holder !== undefined) holder.isSettled = true;
  }

  /** Sets what a holder retains. If that is not granted, the holder keeps what it had. */
  resize(ref: number, now: Millis, bytes: number): RetentionGrant {
    const holder = this.holders.get(ref);
    if (holder === undefined) return {isGranted: false, evicted: []};
    holder.lastProgressAt = now;
    if (this.fits(ref, holder, bytes)) {
      this.store(ref, holder, bytes);
      return {isGranted: true, evicted: []};
    }
    const evicted = this.evictStale(ref, holder, bytes, now);
    if (this.fits(ref, holder, bytes)) {
      this.store(ref, holder, bytes);
      return {isGranted: true, evicted};
    }
    if (this.reserveRef !== undefined || bytes > this.options.reserveBytes)
      return {isGranted: false, evicted};
    this.sharedBytes -= holder.bytes;
    holder.bytes = bytes;
    this.reserveRef = ref;
    return {isGranted: true, evicted};
  }

  /** Removes a holder; without effect if it was evicted. */
  close(ref: number): void {
    const holder = this.holders.get(ref);
    if (holder === undefined) return;
    this.holders.delete(ref);
    if (this.reserveRef === ref) this.reserveRef = undefined;
    else this.sharedBytes -= holder.bytes;
    invariant(this.sharedBytes >= 0, 'retained bytes are not negative');
  }

  private fits(ref: number, holder: Holder, bytes: number): boolean {
    if (bytes <= holder.bytes) return true;
    return ref === this.reserveRef
      ? bytes <= this.options.reserveBytes
      : this.sharedBytes - holder.bytes + bytes <= this.options.maxBytes;
  }

  private store(ref: number, holder: Holder, bytes: number): void {
    if (ref !== this.reserveRef) this.sharedBytes += bytes - holder.bytes;
    holder.bytes = bytes;
  }

  private evictStale(
    ref: number,
    holder: Holder,
    bytes: number,
    now: Millis,
  ): number[] {
    const staleAt = now - this.options.staleMs;
    const stale = [...this.holders]
      .filter(
        ([other, {isSettled, lastProgressAt}]) =>
          other !== ref && !isSettled && lastProgressAt <= staleAt,
      )
      .sort(([, a], [, b]) => a.lastProgressAt - b.lastProgressAt);
    const evicted: number[] = [];
    for (const [other] of stale) {
      if (this.fits(ref, holder, bytes)) break;
      this.close(other);
      evicted.push(other);
    }
    return evicted;
  }
}
