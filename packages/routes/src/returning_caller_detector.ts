/** Detects callers that retry a refused request, by the time that they have left. */
import type {Millis} from '@goldcresthill/types';

/** Routes with statistics; all statistics are cleared before one more is added. */
const MAX_TRACKED_ROUTES = 10_000;
/** Largest waiting time of a caller that still counts as new, milliseconds (exclusive). */
const NEW_CALLER_TOLERANCE_MS = 15;
/** Weight of the newest request in the moving average of the share of new callers. */
const NEW_CALLER_SHARE_SMOOTHING = 0.05;
/** Below this share of new callers, the callers of a route don't all start with the same timeout. */
const MIN_NEW_CALLER_SHARE = 0.5;
/** Requests of a route before its share of new callers is reliable. */
const MIN_REQUEST_COUNT = 30;

interface RouteStatistics {
  longestRemainingMs: Millis;
  newCallerShare: number;
  requestCount: number;
}

/** Whether a caller is new or returns after a refusal. */
export type CallerClassification =
  | {readonly type: 'new'}
  /** The caller was refused before, and has waited for `waitedMs` since its first request. */
  | {readonly type: 'returning'; readonly waitedMs: Millis};

/**
 * Classifies callers by the remaining time that they send. The clients of a
 * route share one total timeout, so the difference between the longest
 * remaining time seen and that of a request is how long its caller has waited.
 * Servers that are callers may each start with a different timeout; on a route
 * where few callers seem new, every caller is therefore classified as new.
 */
export class ReturningCallerDetector {
  private readonly statisticsByRoute = new Map<string, RouteStatistics>();

  /** Records a request with its remaining time, and classifies its caller. */
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
