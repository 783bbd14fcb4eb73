/** Spells in which a server works slower than it does otherwise, and how long they last. */
import type {Millis} from '@goldcresthill/types';
import {RecentLeast} from './recent_least';

/** A server is slow from this many times its own least slowdown of late. */
const SLOW_RATIO = 1.5;
/** Bounds what a misreported speed can do. */
const MIN_SLOWDOWN = 0.1;
/** Mean length expected before any spell has ended, milliseconds; neighbours on a VM come and go within some hundred. */
const FIRST_MEAN_MS = 400;
const WEIGHT_OF_NEWEST = 0.1;
/** Half of all spells end within this share of the mean, as a few long ones raise it. */
const MEDIAN_SHARE = 0.7;
/** Least time that a spell is expected to go on, as a share of the mean. */
const LEAST_REST_SHARE = 0.3;
/** Slowness that lasts longer is no spell but the server's speed, as while it is cold, milliseconds. */
const LONGEST_SPELL_MS = 1_000;

/** Follows the slowdown that a server reports. */
export class SlowSpells {
  private current = 1;
  private beganAt: Millis | undefined;
  private meanMs: Millis = FIRST_MEAN_MS;
  private readonly least = new RecentLeast(LONGEST_SPELL_MS / 2);

  /** Takes how many times longer than usual work takes that starts from now on. */
  learn(now: Millis, slowdown: number): void {
    this.current = Math.max(MIN_SLOWDOWN, slowdown);
    this.least.add(now, this.current);
    if (this.current >= SLOW_RATIO * this.least.value) {
      this.beganAt ??= now;
      return;
    }
    if (this.beganAt !== undefined) this.learnLength(now - this.beganAt);
    this.beganAt = undefined;
  }

  get slowdown(): number {
    return this.current;
  }

  /** Slowdown after the present spell. */
  get slowdownAfter(): number {
    return this.isSlow ? this.least.value : this.current;
  }

  get isSlow(): boolean {
    return this.beganAt !== undefined;
  }

  /** Time until the present spell is expected to end; 0 if there is none. */
  expectedRest(now: Millis): Millis {
    if (this.beganAt === undefined) return 0;
    const rest = MEDIAN_SHARE * this.meanMs - (now - this.beganAt);
    return Math.max(rest, LEAST_REST_SHARE * this.meanMs);
  }

  private learnLength(length: Millis): void {
    if (length >= LONGEST_SPELL_MS) return;
    this.meanMs += WEIGHT_OF_NEWEST * (length - this.meanMs);
  }
}
