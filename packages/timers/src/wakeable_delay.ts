/** A delay that can be ended early. */
import type {Millis} from '@goldcresthill/types';
import type {Timers} from './timers';

/** Delay of one loop. A wake-up between two delays ends the next one at once. */
export class WakeableDelay {
  private end: (() => void) | undefined;
  private isWoken = false;

  constructor(private readonly timers: Timers) {}

  /** Resolves after a delay, or when woken. */
  async wait(delayMs: Millis): Promise<void> {
    if (!this.isWoken)
      await new Promise<void>(done => {
        const cancel = this.timers.after(delayMs, done);
        this.end = () => {
          cancel();
          done();
        };
      });
    this.end = undefined;
    this.isWoken = false;
  }

  wake(): void {
    this.isWoken = true;
    this.end?.();
  }
}
