/** Policy that chooses the server with the shortest expected time. */
import {expectedWorkTime} from '@goldcresthill/types';
import type {Micros, Millis} from '@goldcresthill/types';
import type {PolicyChoice, PolicyContext} from './routing_policy';
import {RoutingPolicy} from './routing_policy';
import type {ServerView} from './server_view';

/** Parts of the score that can be turned off to measure their effect. */
export interface ScoringFeatures {
  /** Adds the network time and the surcharge for another failure domain. */
  readonly locality: boolean;
  /** Uses the load reports that responses and probes carry. */
  readonly reports: boolean;
  /** Reduces the weight of reports with their age. */
  readonly discount: boolean;
  /** Uses the service time that the server reports, not only the median of the service. */
  readonly serverTime: boolean;
  /** Penalises servers by their share of errors. */
  readonly errors: boolean;
}

/** Default: every feature on. */
export const ALL_SCORING_FEATURES: ScoringFeatures = {
  locality: true,
  reports: true,
  discount: true,
  serverTime: true,
  errors: true,
};

/** Age at which a reported load has the weight 1/e, milliseconds. */
const LOAD_DECAY_MS = 5;
/** Age at which a reported service time has the weight 1/e, milliseconds. */
const SERVICE_TIME_DECAY_MS = 1_000;
/** Age at which a reported slowdown has the weight 1/e, milliseconds; slowdowns last some hundred. */
const SLOWDOWN_DECAY_MS = 500;
/** Slowdown assumed as a report grows old. */
const NORMAL_SLOWDOWN = 1;
/** Share of the service time added for contention at full utilisation; proportional below. */
const UTILISATION_WEIGHT = 0.5;
/** Penalty of a server whose every response is an error, in median service times. */
const ERROR_PENALTY_MEDIANS = 10;
/** A reported service time counts from this multiple of the median. */
const SLOW_RATIO = 1.5;
/** Most candidates scored for one call: consecutive ones from a random start. */
const MAX_SCORED = 32;
/** A candidate replaces the best so far only if its score is lower by this share, so that among near ties the random start decides. */
const MIN_IMPROVEMENT = 0.02;
const MICROS_PER_MILLI = 1_000;
const REASON = 'shortest expected time';

/**
 * Scores servers by the expected time of a call: network, wait for a slot,
 * service time, contention with other requests, and a penalty for errors.
 */
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

  // Noisy neighbours change within a short time, so an old slowdown counts for little.
  private slowdown(view: ServerView, now: Millis): number {
    const {report} = view;
    if (report === undefined || !this.features.reports) return 1;
    const weight = this.ageWeight(now - view.reportedAt, SLOWDOWN_DECAY_MS);
    return weight * report.slowdown + (1 - weight) * NORMAL_SLOWDOWN;
  }

  /** Service time at normal speed. */
  private normalServiceUs(view: ServerView, context: PolicyContext): Micros {
    const report = view.report;
    if (!this.features.serverTime || !this.features.reports)
      return context.medianServiceUs;
    if (report === undefined || report.serviceUs === 0)
      return context.medianServiceUs;
    const {medianServiceUs} = context;
    // Differences within the noise of the estimate would only make all gateways prefer the same server.
    if (report.serviceUs < medianServiceUs * SLOW_RATIO) return medianServiceUs;
    const weight = this.ageWeight(
      context.now - view.reportedAt,
      SERVICE_TIME_DECAY_MS,
    );
    return weight * report.serviceUs + (1 - weight) * medianServiceUs;
  }

  /** Requests of other gateways at a server: the reported number, which approaches the mean as the report ages. */
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
