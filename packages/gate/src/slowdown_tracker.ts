/** Spells in which a server works slower than it does otherwise, and how long they last. */
import type {Millis} from '@goldcresthill/types';
import {WindowedMinimum} from './windowed_minimum';

/** A server is slow from this many times its own least slowdown of late. */
const SLOW_PERIOD_RATIO = 1.5;
/** Bounds what a misreported speed can do. */
const MIN_SLOWDOWN = 0.1;
/** Mean length expected before any spell has ended, milliseconds; neighbours on a VM come and go within some hundred. */
const INITIAL_MEAN_PERIOD_MS = 400;
const MEAN_SMOOTHING_FACTOR = 0.1;
/** Half of all spells end within this share of the mean, as a few long ones raise it. */
const MEDIAN_TO_MEAN_RATIO = 0.7;
/** Least time that a spell is expected to go on, as a share of the mean. */
const MIN_REMAINING_FRACTION = 0.3;
/** Slowness that lasts longer is no spell but the server's speed, as while it is cold, milliseconds. */
const MAX_PERIOD_MS = 1_000;

/** Follows the slowdown that a server reports. */
export class SlowdownTracker {
  private current = 1;
  private slowSince: Millis | undefined;
  private meanMs: Millis = INITIAL_MEAN_PERIOD_MS;
  private readonly recentMinimum = new WindowedMinimum(MAX_PERIOD_MS / 2);

  /** Takes how many times longer than usual work takes that starts from now on. */
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

  /** Slowdown after the present spell. */
  get baseSlowdown(): number {
    return this.isSlow ? this.recentMinimum.value : this.current;
  }

  get isSlow(): boolean {
    return this.slowSince !== undefined;
  }

  /** Time until the present spell is expected to end; 0 if there is none. */
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
