/** Decides when the store may be called again after failures. */
import type {Millis} from '@goldcresthill/types';

/** Sizes of the waits. */
export interface StoreBreakerOptions {
  readonly random: () => number;
  readonly minWaitMs?: number;
  readonly maxWaitMs?: number;
}

const DEFAULT_MIN_WAIT_MS = 100;
const DEFAULT_MAX_WAIT_MS = 10_000;

/**
 * Jittered exponential wait. The jitter covers the whole of the wait, so that
 * a fleet does not return in step when an outage ends.
 */
export class StoreBreaker {
  private failures = 0;
  private openUntil: Millis = -Infinity;

  constructor(private readonly options: StoreBreakerOptions) {}

  /** Whether a call may be made now. */
  allows(now: Millis): boolean {
    return now >= this.openUntil;
  }

  succeed(): void {
    this.failures = 0;
    this.openUntil = -Infinity;
  }

  fail(now: Millis): void {
    const min = this.options.minWaitMs ?? DEFAULT_MIN_WAIT_MS;
    const max = this.options.maxWaitMs ?? DEFAULT_MAX_WAIT_MS;
    const wait = Math.min(max, min * 2 ** this.failures);
    this.failures++;
    this.openUntil = now + min + this.options.random() * wait;
  }

  /** Milliseconds until a call may be made. */
  waitMs(now: Millis): Millis {
    return Math.max(0, this.openUntil - now);
  }

  get isFailing(): boolean {
    return this.failures > 0;
  }
}
