/** How long work takes on a VM whose speed changes. */
import type {Millis} from './call';

/** Time for which a spell of slowness is expected to last on, milliseconds; neighbours come and go within some hundred. */
const SPELL_MS = 200;

/**
 * Expected duration of work that takes `workMs` at usual speed and begins
 * while everything takes `slowdown` times as long. The VM is expected to be as
 * fast as usual once the present spell is over.
 */
export function expectedWorkTime(workMs: Millis, slowdown: number): Millis {
  if (slowdown <= 1) return workMs * slowdown;
  const lostToSpell = SPELL_MS * (1 - 1 / slowdown);
  return Math.min(workMs * slowdown, workMs + lostToSpell);
}
