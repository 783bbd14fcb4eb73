/** Share of recent observations that were true. */
import type {Millis} from '@goldcresthill/types';

/** Weight of an observation that comes at the same time as the one before. */
const MIN_WEIGHT = 0.02;
/** Multiple of the decay time after which nothing is known. */
const UNKNOWN_AFTER_DECAYS = 10;

/** Weighs observations by the time between them, so that the share does not depend on their rate. */
export class DecayingShare {
  private share: number;
  private at: Millis = -Infinity;

  /** `initial` is the share while nothing has been observed lately; `decayMs` the age at which the weight is 1/e. */
  constructor(
    private readonly decayMs: Millis,
    private readonly initial: number,
  ) {
    this.share = initial;
  }

  observe(now: Millis, isTrue: boolean): void {
    const before = this.value(now);
    // The first observation counts like one after the decay time.
    const elapsedMs = Math.min(now - this.at, this.decayMs);
    const weight = Math.max(
      MIN_WEIGHT,
      1 - Math.exp(-elapsedMs / this.decayMs),
    );
    this.share = before + weight * ((isTrue ? 1 : 0) - before);
    this.at = now;
  }

  /** The share, 0 to 1. */
  value(now: Millis): number {
    const isKnown = now - this.at <= UNKNOWN_AFTER_DECAYS * this.decayMs;
    return isKnown ? this.share : this.initial;
  }
}
