/** The clocks of a live process. */
import {performance} from 'node:perf_hooks';

/** Monotonic time, milliseconds with a fraction. */
export function monotonicMs(): number {
  return performance.now();
}

/** Wall-clock time, milliseconds since 1970. */
export function wallMs(): number {
  return Date.now();
}
