/** Readings of the three clocks by which the age of a proof is measured. */
import type {Millis} from '@goldcresthill/types';

/** The clocks of a process, read at the same moment. A clock that cannot be read is NaN. */
export interface ClockReading {
  /** Monotonic time, milliseconds; does not count suspension of the machine. */
  readonly steadyMs: Millis;
  /** Time of day, milliseconds since 1970; may be set forward and backward. */
  readonly wallMs: Millis;
  /** Time since the machine booted, milliseconds; counts suspension, resolution 10 ms. */
  readonly bootMs: Millis;
}

/**
 * Time elapsed between two readings by the clock that counts most,
 * milliseconds; Infinity if a clock could not be read.
 */
export function elapsedMs(from: ClockReading, to: ClockReading): Millis {
  const elapsed = Math.max(
    0,
    to.steadyMs - from.steadyMs,
    to.wallMs - from.wallMs,
    to.bootMs - from.bootMs,
  );
  return Number.isNaN(elapsed) ? Infinity : elapsed;
}
