/** Policy that takes the server with the shortest expected time. */
import {expectedWorkTime} from '@goldcresthill/types';
import type {Micros, Millis} from '@goldcresthill/types';
import type {Choice, PolicyContext} from './routing_policy';
import {RoutingPolicy} from './routing_policy';
import type {ServerView} from './server_view';

/** Parts of the score that can be turned off to measure their worth. */
export interface Mechanisms {
  /** Network time to the failure domain counts. */
  readonly locality: boolean;
  /** Reports carried on answers and probes count. */
  readonly reports: boolean;
  /** Old reports count less. */
  readonly discount: boolean;
  /** The server's own recent time counts, not only the service's median. */
  readonly serverTime: boolean;
  /** Servers that answer with errors are avoided. */
  readonly errors: boolean;
}

/** Everything on. */
export const DEFAULT_MECHANISMS: Mechanisms = {
  locality: true,
  reports: true,
  discount: true,
  serverTime: true,
  errors: true,
};

/** Age at which a report of load counts for 1/e, milliseconds. */
const LOAD_MEMORY_MS = 5;
/** Age at which a report of the server's time counts for 1/e, milliseconds. */
const TIME_MEMORY_MS = 1_000;
/** Age at which a report of a server's speed counts for 1/e, milliseconds; spells of slowness last some hundred. */
const SLOWDOWN_MEMORY_MS = 500;
/** Speed expected of a server that has not told for long. */
const USUAL_SLOWDOWN = 1;
/** Share of the service time added as utilisation goes from 0 to 1. */
const UTILISATION_WEIGHT = 0.5;
/** Service times that one certain error is worth. */
const ERROR_WEIGHT = 10;
/** A server is slow when its time is this many times the median. */
const SLOW_RATIO = 1.5;
/** Candidates above this number are sampled. */
const MAX_SCORED = 32;
/** Servers within this share of the best score are drawn from at random. */
const TIE_SHARE = 0.02;
const MICROS_PER_MILLI = 1_000;
const REASON = 'shortest expected time';

/** Expected time: network, wait for a slot, and time at the server. */
export class ExpectedTimePolicy extends RoutingPolicy {
  override readonly name = 'expectedTime';

  constructor(private readonly mechanisms: Mechanisms = DEFAULT_MECHANISMS) {
    super();
  }

  override choose(
    candidates: readonly ServerView[],
    context: PolicyContext,
  ): Choice {
    const othersMean = this.meanOthers(candidates, context.now);
    const start = Math.floor(context.random() * candidates.length);
    const count = Math.min(candidates.length, MAX_SCORED);
    let best: ServerView | undefined;
    let bestScore = Infinity;
    const scores: Record<string, Micros> | undefined = context.explain
      ? {}
      : undefined;
    for (let i = 0; i < count; i++) {
      const view = candidates[(start + i) % candidates.length];
      if (view === undefined) continue;
      const score = this.scoreUs(view, context, othersMean);
      if (scores !== undefined) scores[view.id] = Math.round(score);
      if (best === undefined || score < bestScore * (1 - TIE_SHARE)) {
        best = view;
        bestScore = score;
      }
    }
    if (best === undefined) throw new RangeError('no candidate');
    return {view: best, reason: REASON, scoreUs: bestScore, scores};
  }

  /** Expected time of one more call at a server, microseconds. */
  scoreUs(
    view: ServerView,
    context: PolicyContext,
    othersMean: number,
  ): Micros {
    const service = this.serviceUs(view, context);
    const limit = Math.max(1, view.limit);
    const load = view.own + this.others(view, context.now, othersMean);
    const wait = Math.max(0, (load + 1 - limit) / limit) * service;
    const crowding = UTILISATION_WEIGHT * service * Math.min(1, load / limit);
    const network = this.networkUs(view, context);
    const errors = this.mechanisms.errors
      ? ERROR_WEIGHT * view.errorShare * context.medianUs
      : 0;
    return network + service + wait + crowding + errors;
  }

  private networkUs(view: ServerView, context: PolicyContext): Micros {
    if (!this.mechanisms.locality) return 0;
    const {domain, crossDomainShare = 0, medianUs} = context;
    const isFar = domain !== undefined && view.domain !== domain;
    return view.networkUs + (isFar ? crossDomainShare * medianUs : 0);
  }

  private serviceUs(view: ServerView, context: PolicyContext): Micros {
    const usualMs = this.usualUs(view, context) / MICROS_PER_MILLI;
    const slowdown = this.slowdown(view, context.now);
    return expectedWorkTime(usualMs, slowdown) * MICROS_PER_MILLI;
  }

  // Neighbours come and go, so that an old figure says little.
  private slowdown(view: ServerView, now: Millis): number {
    const {report} = view;
    if (report === undefined || !this.mechanisms.reports) return 1;
    const weight = this.weight(now - view.reportAt, SLOWDOWN_MEMORY_MS);
    return weight * report.slowdown + (1 - weight) * USUAL_SLOWDOWN;
  }

  /** Time at the server at usual speed. */
  private usualUs(view: ServerView, context: PolicyContext): Micros {
    const report = view.report;
    if (!this.mechanisms.serverTime || !this.mechanisms.reports)
      return context.medianUs;
    if (report === undefined || report.serviceUs === 0) return context.medianUs;
    const {medianUs} = context;
    // Differences within the noise of the estimate would only draw everyone to the same server.
    if (report.serviceUs < medianUs * SLOW_RATIO) return medianUs;
    const weight = this.weight(context.now - view.reportAt, TIME_MEMORY_MS);
    return weight * report.serviceUs + (1 - weight) * medianUs;
  }

  /** Requests of other gateways at a server: as reported, drifting to the mean with age. */
  private others(view: ServerView, now: Millis, mean: number): number {
    if (!this.mechanisms.reports || view.report === undefined) return mean;
    const weight = this.weight(now - view.reportAt, LOAD_MEMORY_MS);
    return weight * othersAtReport(view) + (1 - weight) * mean;
  }

  private meanOthers(candidates: readonly ServerView[], now: Millis): number {
    if (!this.mechanisms.reports) return 0;
    let sum = 0;
    let weights = 0;
    for (const view of candidates) {
      if (view.report === undefined) continue;
      const weight = this.weight(now - view.reportAt, TIME_MEMORY_MS);
      sum += weight * othersAtReport(view);
      weights += weight;
    }
    return weights > 0 ? sum / weights : 0;
  }

  private weight(age: Millis, memory: Millis): number {
    return this.mechanisms.discount ? Math.exp(-Math.max(0, age) / memory) : 1;
  }
}

function othersAtReport(view: ServerView): number {
  const report = view.report;
  if (report === undefined) return 0;
  return Math.max(0, report.inFlight + report.queued - view.ownAtReport);
}
