/** Detects periods in which a server is slower than otherwise, and estimates how long they last. */
import type {Millis} from '@goldcresthill/types';
import {WindowedMinimum} from './windowed_minimum';

/** A server counts as slow from this multiple of its own recent minimum slowdown. */
const SLOW_PERIOD_RATIO = 1.5;
/** Bounds the effect of a misreported slowdown. */
const MIN_SLOWDOWN = 0.1;
/** Mean length assumed before any slow period has ended, milliseconds; load of neighbours on a VM lasts some hundred milliseconds. */
const INITIAL_MEAN_PERIOD_MS = 400;
const MEAN_SMOOTHING_FACTOR = 0.1;
/** Half of all slow periods end within this fraction of the mean, as a few long ones raise it. */
const MEDIAN_TO_MEAN_RATIO = 0.7;
/** Lower bound of the expected remaining time, as a fraction of the mean length. */
const MIN_REMAINING_FRACTION = 0.3;
/** Longer slowness counts as the server's normal speed, as while it is cold, and not as a slow period, milliseconds. */
const MAX_PERIOD_MS = 1_000;

/** Tracks the slowdown that a server reports. */
export class SlowdownTracker {
  private current = 1;
  private slowSince: Millis | undefined;
  private meanMs: Millis = INITIAL_MEAN_PERIOD_MS;
  private readonly recentMinimum = new WindowedMinimum(MAX_PERIOD_MS / 2);

  /** Records how many times longer than usual a request takes that starts now. */
  update(now: Millis, slowdown: number): void {
    this.current = Math.max(MIN_SLOWDOWN, slowdown);
    this.recentMinimum.add(now, this.current);
    if (this.current >= SLOW_PERIOD_RATIO * this.recentMinimum.value) {
      this.slowSince ??= now;
      return;
    }
    if (this.slowSince !== undefined) this.recordPeriod(now - this.slowSince);
    this.slowSince = undefined;
  }

  get slowdown(): number {
    return this.current;
  }

  /** Slowdown expected outside slow periods. */
  get baseSlowdown(): number {
    return this.isSlow ? this.recentMinimum.value : this.current;
  }

  get isSlow(): boolean {
    return this.slowSince !== undefined;
  }

  /** Expected time to the end of the current slow period, milliseconds; 0 if there is none. */
  expectedRemainingMs(now: Millis): Millis {
    if (this.slowSince === undefined) return 0;
    const remainingMs =
      MEDIAN_TO_MEAN_RATIO * this.meanMs - (now - this.slowSince);
    return Math.max(remainingMs, MIN_REMAINING_FRACTION * this.meanMs);
  }

  private recordPeriod(periodMs: Millis): void {
    if (periodMs >= MAX_PERIOD_MS) return;
    this.meanMs += MEAN_SMOOTHING_FACTOR * (periodMs - this.meanMs);
  }
}
