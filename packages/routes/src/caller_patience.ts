/** Tells callers that come back from new ones by the time that they have left. */
import type {Millis} from '@goldcresthill/types';

/** Most routes that are remembered. */
const MAX_ROUTES = 10_000;
/** A caller whose time differs by less from that of a new one is new, milliseconds. */
const TOLERANCE_MS = 15;
/** Weight of the newest request in the share of new callers. */
const WEIGHT_OF_NEWEST = 0.05;
/** Where fewer callers seem new, they do not all start with the same time; the calls of servers are such. */
const MIN_NEW_SHARE = 0.5;

interface RouteMemory {
  longest: Millis;
  newShare: number;
}

/**
 * Callers of a route wait for the same time in all, and name what is left of
 * it. What is missing to the longest time named is what they have waited.
 */
export class CallerPatience {
  private readonly routes = new Map<string, RouteMemory>();

  /** How long a caller has waited before this request, milliseconds; 0 for a new one. */
  waitedMs(route: string, leftMs: Millis): Millis {
    const memory = this.memoryOf(route);
    const waited = memory.longest - leftMs;
    const isNew = waited < TOLERANCE_MS;
    memory.longest = Math.max(memory.longest, leftMs);
    memory.newShare += WEIGHT_OF_NEWEST * ((isNew ? 1 : 0) - memory.newShare);
    return isNew || memory.newShare < MIN_NEW_SHARE ? 0 : waited;
  }

  private memoryOf(route: string): RouteMemory {
    const known = this.routes.get(route);
    if (known !== undefined) return known;
    if (this.routes.size >= MAX_ROUTES) this.routes.clear();
    const memory = {longest: 0, newShare: 0};
    this.routes.set(route, memory);
    return memory;
  }
}
