/** Clocks and timers of the process itself. */
import {performance} from 'node:perf_hooks';
import {runGuarded} from '@goldcresthill/errors';
import type {FaultListener} from '@goldcresthill/errors';
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

/** Options of RealTimers. */
export interface RealTimersOptions {
  /** Receives what the functions run by the timers throw; without it, such an error ends the process. */
  readonly onFault?: FaultListener;
}

/** Timers of the Node.js runtime. They run only after the sockets have been read. */
export class RealTimers extends Timers {
  constructor(private readonly options: RealTimersOptions = {}) {
    super();
  }

  override now(): Millis {
    return performance.now();
  }

  override wall(): Millis {
    return Date.now();
  }

  override after(delayMs: Millis, run: () => void): Cancel {
    return runAfter(delayMs, this.guarded(run));
  }

  override every(intervalMs: Millis, run: () => void): Cancel {
    let immediate: NodeJS.Immediate | undefined;
    const guardedRun = this.guarded(run);
    const timer = setInterval(() => {
      immediate = setImmediate(guardedRun);
    }, intervalMs);
    return () => {
      clearInterval(timer);
      clearImmediate(immediate);
    };
  }

  private guarded(run: () => void): () => void {
    const {onFault} = this.options;
    return onFault === undefined ? run : () => runGuarded(onFault, run);
  }
}
