/** Circuit breaker of the object store. */
import type {Millis} from '@goldcresthill/types';

/** Options of StoreBreaker. */
export interface StoreBreakerOptions {
  readonly random: () => number;
  readonly minWaitMs?: number;
  readonly maxWaitMs?: number;
}

const DEFAULT_MIN_WAIT_MS = 100;
const DEFAULT_MAX_WAIT_MS = 10_000;

/**
 * Blocks calls after failures, with exponential backoff and full jitter, so that
 * the nodes of a fleet do not retry at the same time when an outage ends.
 */
export class StoreBreaker {
  private failures = 0;
  private openUntil: Millis = -Infinity;

  constructor(private readonly options: StoreBreakerOptions) {}

  /** Whether the store may be called now. */
  allows(now: Millis): boolean {
    return now >= this.openUntil;
  }

  /** Records a successful call and closes the breaker. */
  succeed(): void {
    this.failures = 0;
    this.openUntil = -Infinity;
  }

  /** Records a failed call and opens the breaker. */
  fail(now: Millis): void {
    const min = this.options.minWaitMs ?? DEFAULT_MIN_WAIT_MS;
    const max = this.options.maxWaitMs ?? DEFAULT_MAX_WAIT_MS;
    const wait = Math.min(max, min * 2 ** this.failures);
    this.failures++;
    this.openUntil = now + min + this.options.random() * wait;
  }

  /** Milliseconds until the store may be called. */
  waitMs(now: Millis): Millis {
    return Math.max(0, this.openUntil - now);
  }

  /** Whether the last call failed. */
  get isFailing(): boolean {
    return this.failures > 0;
  }
}
