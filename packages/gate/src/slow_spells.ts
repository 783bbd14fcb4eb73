/** Spells in which a server works slower than usual, and how long they last. */
import type {Millis} from '@goldcresthill/types';

/** From this slowdown on a server counts as slow. */
const SLOW_FROM = 1.5;
/** Bounds what a misreported speed can do. */
const MIN_SLOWDOWN = 0.1;
/** Mean length expected before any spell has ended, milliseconds; neighbours on a VM come and go within some hundred. */
const FIRST_MEAN_MS = 400;
const WEIGHT_OF_NEWEST = 0.1;
/** Half of all spells end within this share of the mean, as a few long ones raise it. */
const MEDIAN_SHARE = 0.7;
/** Least time that a spell is expected to go on, as a share of the mean. */
const LEAST_REST_SHARE = 0.3;
/** A spell that has lasted this many means is none of the usual ones. */
const LONG_MEANS = 3;

/** Follows the slowdown that a server reports. */
export class SlowSpells {
  private current = 1;
  private beganAt: Millis | undefined;
  private meanMs: Millis = FIRST_MEAN_MS;

  /** Takes how many times longer than usual work takes that starts from now on. */
  learn(now: Millis, slowdown: number): void {
    this.current = Math.max(MIN_SLOWDOWN, slowdown);
    if (this.current >= SLOW_FROM) {
      this.beganAt ??= now;
      return;
    }
    if (this.beganAt !== undefined) this.learnLength(now - this.beganAt);
    this.beganAt = undefined;
  }

  get slowdown(): number {
    return this.current;
  }

  get isSlow(): boolean {
    return this.beganAt !== undefined;
  }

  /** Time until the present spell is expected to end; 0 if there is none. */
  expectedRest(now: Millis): Millis {
    if (this.beganAt === undefined) return 0;
    const age = now - this.beganAt;
    if (age >= LONG_MEANS * this.meanMs) return age;
    const rest = MEDIAN_SHARE * this.meanMs - age;
    return Math.max(rest, LEAST_REST_SHARE * this.meanMs);
  }

  // A long slowness is no spell and teaches nothing about them.
  private learnLength(length: Millis): void {
    if (length >= LONG_MEANS * this.meanMs) return;
    this.meanMs += WEIGHT_OF_NEWEST * (length - this.meanMs);
  }
}
