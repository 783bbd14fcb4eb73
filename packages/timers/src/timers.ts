/** Clocks and timers, injected into tasks so that tests can run in virtual time. */
import type {Millis} from '@goldcresthill/types';

/** Cancels a timer; has no effect if it has already run. */
export type Cancel = () => void;

/** Real or virtual clocks and timers. */
export abstract class Timers {
  /** Monotonic time, milliseconds with a fraction. */
  abstract now(): Millis;
  /** Wall-clock time, milliseconds since 1970. */
  abstract wall(): Millis;
  /** Runs a function once after a delay. */
  abstract after(delayMs: Millis, run: () => void): Cancel;

  /** Runs a function repeatedly until it is cancelled, first after one interval. */
  every(intervalMs: Millis, run: () => void): Cancel {
    let cancelled = false;
    let cancel: Cancel;
    const runAndRepeat = (): void => {
      cancel = this.after(intervalMs, runAndRepeat);
      if (!cancelled) run();
    };
    cancel = this.after(intervalMs, runAndRepeat);
    return () => {
      cancelled = true;
      cancel();
    };
  }

  /** Resolves after a delay. */
  sleep(delayMs: Millis): Promise<void> {
    return new Promise(done => this.after(delayMs, done));
  }
}
