/** Clocks and timers of the process itself. */
import {performance} from 'node:perf_hooks';
import type {Millis} from '@goldcresthill/types';
import type {Cancel} from './timers';
import {Timers} from './timers';

/**
 * Runs a function once after a delay. The sockets are read first: after a
 * process has stood still, Node.js runs the timers that became due before it
 * reads what arrived meanwhile, so that an answer which is there would be taken for lost.
 */
export function runAfter(delayMs: Millis, run: () => void): Cancel {
  let immediate: NodeJS.Immediate | undefined;
  const timer = setTimeout(() => {
    immediate = setImmediate(run);
  }, delayMs);
  return () => {
    clearTimeout(timer);
    clearImmediate(immediate);
  };
}

/** Timers of the Node.js runtime. They run only after the sockets have been read. */
export class RealTimers extends Timers {
  override now(): Millis {
    return performance.now();
  }

  override wall(): Millis {
    return Date.now();
  }

  override after(delayMs: Millis, run: () => void): Cancel {
    return runAfter(delayMs, run);
  }

  override every(intervalMs: Millis, run: () => void): Cancel {
    let immediate: NodeJS.Immediate | undefined;
    const timer = setInterval(() => {
      immediate = setImmediate(run);
    }, intervalMs);
    return () => {
      clearInterval(timer);
      clearImmediate(immediate);
    };
  }
}
