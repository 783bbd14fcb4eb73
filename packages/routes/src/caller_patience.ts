/** Tells callers that come back from new ones by the time that they have left. */
import type {Millis} from '@goldcresthill/types';

/** Most routes that are remembered. */
const MAX_ROUTES = 10_000;
/** A caller whose time differs by less from that of a new one is new, milliseconds. */
const TOLERANCE_MS = 15;
/** Weight of the newest request in the share of new callers. */
const WEIGHT_OF_NEWEST = 0.05;
/** Where fewer callers seem new, they do not all start with the same time. */
const MIN_NEW_SHARE = 0.5;
/** Requests after which the share of new callers means something. */
const MIN_REQUESTS = 30;

interface RouteMemory {
  longest: Millis;
  newShare: number;
  requests: number;
}

/** What the time that a caller has left says of it. */
export type CallerHistory =
  | {readonly type: 'new'}
  /** The caller has been refused before. */
  | {readonly type: 'returning'; readonly waitedMs: Millis};

/**
 * Clients of a route wait for the same time in all, and name what is left of
 * it. What is missing to the longest time named is what they have waited.
 * Calls of servers may each name another time, which tells nothing.
 */
export class CallerPatience {
  private readonly routes = new Map<string, RouteMemory>();

  /** What is known of the caller of a request with that time left. */
  historyOf(route: string, leftMs: Millis): CallerHistory {
    const memory = this.memoryOf(route);
    const waitedMs = memory.longest - leftMs;
    const isNew = waitedMs < TOLERANCE_MS;
    memory.longest = Math.max(memory.longest, leftMs);
    memory.newShare += WEIGHT_OF_NEWEST * ((isNew ? 1 : 0) - memory.newShare);
    memory.requests++;
    const tells =
      memory.requests >= MIN_REQUESTS && memory.newShare >= MIN_NEW_SHARE;
    return isNew || !tells ? {type: 'new'} : {type: 'returning', waitedMs};
  }

  private memoryOf(route: string): RouteMemory {
    const known = this.routes.get(route);
    if (known !== undefined) return known;
    if (this.routes.size >= MAX_ROUTES) this.routes.clear();
    const memory = {longest: 0, newShare: 1, requests: 0};
    this.routes.set(route, memory);
    return memory;
  }
}
