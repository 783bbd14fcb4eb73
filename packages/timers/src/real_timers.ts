/** Clocks and timers of the process itself. */
import {performance} from 'node:perf_hooks';
import type {Millis} from '@goldcresthill/types';
import type {Cancel} from './timers';
import {Timers} from './timers';

/** Timers of the Node.js runtime. */
export class RealTimers extends Timers {
  override now(): Millis {
    return performance.now();
  }

  override wall(): Millis {
    return Date.now();
  }

  override after(delayMs: Millis, run: () => void): Cancel {
    const timer = setTimeout(run, delayMs);
    return () => clearTimeout(timer);
  }

  override every(intervalMs: Millis, run: () => void): Cancel {
    const timer = setInterval(run, intervalMs);
    return () => clearInterval(timer);
  }
}
