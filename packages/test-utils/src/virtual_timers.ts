/** Timers on a virtual clock. */
import type {Cancel} from '@goldcresthill/timers';
import {Timers} from '@goldcresthill/timers';
import type {VirtualClock} from './virtual_clock';

/** Shortest timer of a process whose machine was suspended, milliseconds. */
const MIN_DELAY_MS = 0.001;

/** Timers of one simulated process, which can be paused, or killed for good. */
export class VirtualTimers extends Timers {
  private pausedUntil = -Infinity;
  private dead = false;
  /** Time for which the machine was suspended, milliseconds. */
  private suspendedMs = 0;
  private wallStepMs = 0;

  constructor(private readonly clock: VirtualClock) {
    super();
  }

  override now(): number {
    return this.clock.now - this.suspendedMs;
  }

  override wall(): number {
    return this.clock.now + this.wallStepMs;
  }

  /** Time since the machine booted, milliseconds. */
  sinceBoot(): number {
    return this.clock.now;
  }

  override after(delayMs: number, run: () => void): Cancel {
    let cancelled = false;
    const fire = (): void => {
      if (cancelled || this.dead) return;
      const left = this.pausedUntil - this.clock.now;
      if (left > 0) this.clock.after(left, fire);
      else run();
    };
    this.clock.after(this.effectiveDelayMs(delayMs), fire);
    return () => (cancelled = true);
  }

  // The difference between the two clocks is rounded, so that a shorter timer could fall due again and again at one instant.
  private effectiveDelayMs(delayMs: number): number {
    const isRounded = this.suspendedMs > 0 && delayMs > 0;
    return isRounded ? Math.max(MIN_DELAY_MS, delayMs) : delayMs;
  }

  /** Runs no timer of this process until a time; timers that fall due meanwhile run then. */
  pauseUntil(instant: number): void {
    this.pausedUntil = Math.max(this.pausedUntil, instant);
  }

  /** Like `pauseUntil`, but the monotonic clock does not count the time, as when the machine is suspended. */
  suspendUntil(instant: number): void {
    this.suspendedMs += Math.max(0, instant - this.clock.now);
    this.pauseUntil(instant);
  }

  /** Sets the time of day forward, or backward by a negative step, milliseconds. */
  stepWall(stepMs: number): void {
    this.wallStepMs += stepMs;
  }

  get isPaused(): boolean {
    return this.pausedUntil > this.clock.now;
  }

  /** Runs no timer of this process any more. */
  kill(): void {
    this.dead = true;
  }

  get isDead(): boolean {
    return this.dead;
  }
}
