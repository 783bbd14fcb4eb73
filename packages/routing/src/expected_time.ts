/** Policy that takes the server with the shortest expected time. */
import {expectedWorkTime} from '@goldcresthill/types';
import type {Micros, Millis} from '@goldcresthill/types';
import type {PolicyChoice, PolicyContext} from './routing_policy';
import {RoutingPolicy} from './routing_policy';
import type {ServerView} from './server_view';

/** Parts of the score that can be turned off to measure their worth. */
export interface ScoringFeatures {
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
export const ALL_SCORING_FEATURES: ScoringFeatures = {
  locality: true,
  reports: true,
  discount: true,
  serverTime: true,
  errors: true,
};

/** Age at which a report of load counts for 1/e, milliseconds. */
const LOAD_DECAY_MS = 5;
/** Age at which a report of the server's time counts for 1/e, milliseconds. */
const SERVICE_TIME_DECAY_MS = 1_000;
/** Age at which a report of a server's speed counts for 1/e, milliseconds; spells of slowness last some hundred. */
const SLOWDOWN_DECAY_MS = 500;
/** Speed expected of a server that has not told for long. */
const NORMAL_SLOWDOWN = 1;
/** Share of the service time added as utilisation goes from 0 to 1. */
const UTILISATION_WEIGHT = 0.5;
/** Service times that one certain error is worth. */
const ERROR_PENALTY_MEDIANS = 10;
/** A server is slow when its time is this many times the median. */
const SLOW_RATIO = 1.5;
/** Candidates above this number are sampled. */
const MAX_SCORED = 32;
/** Servers within this share of the best score are drawn from at random. */
const MIN_IMPROVEMENT = 0.02;
const MICROS_PER_MILLI = 1_000;
const REASON = 'shortest expected time';

/** Expected time: network, wait for a slot, and time at the server. */
export class ExpectedTimePolicy extends RoutingPolicy {
  override readonly name = 'expectedTime';

  constructor(
    private readonly features: ScoringFeatures = ALL_SCORING_FEATURES,
  ) {
    super();
  }

  override choose(
    candidates: readonly ServerView[],
    context: PolicyContext,
  ): PolicyChoice {
    const othersMean = this.meanOthersLoad(candidates, context.now);
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
      if (best === undefined || score < bestScore * (1 - MIN_IMPROVEMENT)) {
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
    const load =
      view.ownInFlight + this.othersLoad(view, context.now, othersMean);
    const wait = Math.max(0, (load + 1 - limit) / limit) * service;
    const contention = UTILISATION_WEIGHT * service * Math.min(1, load / limit);
    const network = this.networkUs(view, context);
    const errors = this.features.errors
      ? ERROR_PENALTY_MEDIANS * view.errorShare * context.medianServiceUs
      : 0;
    return network + service + wait + contention + errors;
  }

  private networkUs(view: ServerView, context: PolicyContext): Micros {
    if (!this.features.locality) return 0;
    const {domain, crossDomainShare = 0, medianServiceUs} = context;
    const isFar = domain !== undefined && view.domain !== domain;
    return view.networkUs + (isFar ? crossDomainShare * medianServiceUs : 0);
  }

  private serviceUs(view: ServerView, context: PolicyContext): Micros {
    const normalMs = this.normalServiceUs(view, context) / MICROS_PER_MILLI;
    const slowdown = this.slowdown(view, context.now);
    return expectedWorkTime(normalMs, slowdown) * MICROS_PER_MILLI;
  }

  // Neighbours come and go, so that an old figure says little.
  private slowdown(view: ServerView, now: Millis): number {
    const {report} = view;
    if (report === undefined || !this.features.reports) return 1;
    const weight = this.ageWeight(now - view.reportedAt, SLOWDOWN_DECAY_MS);
    return weight * report.slowdown + (1 - weight) * NORMAL_SLOWDOWN;
  }

  /** Time at the server at usual speed. */
  private normalServiceUs(view: ServerView, context: PolicyContext): Micros {
    const report = view.report;
    if (!this.features.serverTime || !this.features.reports)
      return context.medianServiceUs;
    if (report === undefined || report.serviceUs === 0)
      return context.medianServiceUs;
    const {medianServiceUs} = context;
    // Differences within the noise of the estimate would only draw everyone to the same server.
    if (report.serviceUs < medianServiceUs * SLOW_RATIO) return medianServiceUs;
    const weight = this.ageWeight(
      context.now - view.reportedAt,
      SERVICE_TIME_DECAY_MS,
    );
    return weight * report.serviceUs + (1 - weight) * medianServiceUs;
  }

  /** Requests of other gateways at a server: as reported, drifting to the mean with age. */
  private othersLoad(view: ServerView, now: Millis, mean: number): number {
    if (!this.features.reports || view.report === undefined) return mean;
    const weight = this.ageWeight(now - view.reportedAt, LOAD_DECAY_MS);
    return weight * othersLoadAtReport(view) + (1 - weight) * mean;
  }

  private meanOthersLoad(
    candidates: readonly ServerView[],
    now: Millis,
  ): number {
    if (!this.features.reports) return 0;
    let weightedLoad = 0;
    let totalWeight = 0;
    for (const view of candidates) {
      if (view.report === undefined) continue;
      const weight = this.ageWeight(
        now - view.reportedAt,
        SERVICE_TIME_DECAY_MS,
      );
      weightedLoad += weight * othersLoadAtReport(view);
      totalWeight += weight;
    }
    return totalWeight > 0 ? weightedLoad / totalWeight : 0;
  }

  private ageWeight(ageMs: Millis, decayMs: Millis): number {
    return this.features.discount ? Math.exp(-Math.max(0, ageMs) / decayMs) : 1;
  }
}

function othersLoadAtReport(view: ServerView): number {
  const report = view.report;
  if (report === undefined) return 0;
  return Math.max(
    0,
    report.inFlight + report.queued - view.ownInFlightAtReport,
  );
}
