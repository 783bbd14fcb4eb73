/** Tells callers that come back from new ones by the time that they have left. */
import type {Millis} from '@goldcresthill/types';

/** Most routes that are remembered. */
const MAX_TRACKED_ROUTES = 10_000;
/** A caller whose time differs by less from that of a new one is new, milliseconds. */
const NEW_CALLER_TOLERANCE_MS = 15;
/** Weight of the newest request in the share of new callers. */
const NEW_CALLER_SHARE_SMOOTHING = 0.05;
/** Where fewer callers seem new, they do not all start with the same time. */
const MIN_NEW_CALLER_SHARE = 0.5;
/** Requests after which the share of new callers means something. */
const MIN_REQUEST_COUNT = 30;

interface RouteStatistics {
  longestRemainingMs: Millis;
  newCallerShare: number;
  requestCount: number;
}

/** What the time that a caller has left says of it. */
export type CallerClassification =
  | {readonly type: 'new'}
  /** The caller has been refused before. */
  | {readonly type: 'returning'; readonly waitedMs: Millis};

/**
 * Clients of a route wait for the same time in all, and name what is left of
 * it. What is missing to the longest time named is what they have waited.
 * Calls of servers may each name another time, which tells nothing.
 */
export class ReturningCallerDetector {
  private readonly statisticsByRoute = new Map<string, RouteStatistics>();

  /** What is known of the caller of a request with that time left. */
  classify(route: string, remainingMs: Millis): CallerClassification {
    const statistics = this.statisticsOf(route);
    const waitedMs = statistics.longestRemainingMs - remainingMs;
    const isNew = waitedMs < NEW_CALLER_TOLERANCE_MS;
    statistics.longestRemainingMs = Math.max(
      statistics.longestRemainingMs,
      remainingMs,
    );
    statistics.newCallerShare +=
      NEW_CALLER_SHARE_SMOOTHING *
      ((isNew ? 1 : 0) - statistics.newCallerShare);
    statistics.requestCount++;
    const isReliable =
      statistics.requestCount >= MIN_REQUEST_COUNT &&
      statistics.newCallerShare >= MIN_NEW_CALLER_SHARE;
    return isNew || !isReliable ? {type: 'new'} : {type: 'returning', waitedMs};
  }

  private statisticsOf(route: string): RouteStatistics {
    const existing = this.statisticsByRoute.get(route);
    if (existing !== undefined) return existing;
    if (this.statisticsByRoute.size >= MAX_TRACKED_ROUTES)
      this.statisticsByRoute.clear();
    const statistics = {
      longestRemainingMs: 0,
      newCallerShare: 1,
      requestCount: 0,
    };
    this.statisticsByRoute.set(route, statistics);
    return statistics;
  }
}
