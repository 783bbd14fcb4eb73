/** How long work takes on a VM whose speed changes. */
import type {Millis} from './call';

/** Time for which a spell of slowness is expected to last on, milliseconds; neighbours come and go within some hundred. */
const REMAINING_SLOWDOWN_MS = 300;

/**
 * Expected duration of work that takes `workMs` at usual speed at a server
 * where all that starts now takes `slowdown` times as long. Work keeps the
 * speed that it starts with, so that long work waits for the end of the spell.
 */
export function expectedWorkTime(workMs: Millis, slowdown: number): Millis {
  return Math.min(workMs * slowdown, workMs + REMAINING_SLOWDOWN_MS);
}
