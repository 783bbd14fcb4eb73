/** Expected duration of work on a VM whose speed varies. */
import type {Millis} from './call';

/** Expected remaining time of a slowdown, milliseconds; slowdowns by noisy neighbours last some hundred. */
const REMAINING_SLOWDOWN_MS = 300;

/**
 * Expected duration of work that takes `workMs` at normal speed, on a server
 * where work that starts now takes `slowdown` times as long. Work keeps the
 * speed that it starts with, so long work is best started after the slowdown.
 */
export function expectedWorkTime(workMs: Millis, slowdown: number): Millis {
  return Math.min(workMs * slowdown, workMs + REMAINING_SLOWDOWN_MS);
}
