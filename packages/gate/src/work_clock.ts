/** A clock that runs as fast as the server works. */
import type {Millis} from '@goldcresthill/types';

/** Bounds what a misreported speed can do. */
const MIN_SLOWDOWN = 0.1;

/**
 * Two readings differ by the time that the work between them takes at usual
 * speed. Durations by this clock are comparable between servers whose VMs are
 * slowed down by neighbours.
 */
export class WorkClock {
  private worked = 0;
  private readAt: Millis;
  private current = 1;

  constructor(startedAt: Millis) {
    this.readAt = startedAt;
  }

  /** How many times longer than usual work takes from now on. */
  setSlowdown(now: Millis, slowdown: number): void {
    this.worked = this.at(now);
    this.readAt = now;
    this.current = Math.max(MIN_SLOWDOWN, slowdown);
  }

  get slowdown(): number {
    return this.current;
  }

  /** Work done by an instant, milliseconds at usual speed. */
  at(now: Millis): Millis {
    return this.worked + (now - this.readAt) / this.current;
  }
}
