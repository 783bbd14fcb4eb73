/** Decides whether a call leaves the failure domain of its gateway. */
import {expectedWorkTime} from '@goldcresthill/types';
import type {Millis} from '@goldcresthill/types';
import {CallSizes} from './call_sizes';
import {DecayingShare} from './decaying_share';
import {hasCapacity, MAX_REPORT_AGE_MS} from './load_query';
import type {Random} from './routing_policy';
import type {ServerView} from './server_view';

/** Times and size of one call, as the decision needs them. */
export interface SpillCall {
  /** Time at which an answer loses its full value. */
  readonly objective: Millis;
  /** Time at which an answer loses all value. */
  readonly deadline: Millis;
  /** Name of the route, by which the size of the answer is known. */
  readonly route: string;
  /** Size of the request's body, bytes. */
  readonly requestBytes: number;
}

/** Options of DomainSpill. */
export interface DomainSpillOptions {
  /** Failure domain of the gateway. */
  readonly domain: string;
  /** Share of a call's value that crossing domains may cost for a call of average size, 0 to 1. */
  readonly crossingCost: number;
}

/** Why a call stays in its domain or leaves it. */
export type SpillReason =
  | 'own domain in time'
  | 'other domain has capacity'
  | 'other domain earlier'
  | 'no domain in time'
  | 'no server in own domain';

/** Servers that a call may be routed to, and why. */
export interface SpillDecision {
  readonly views: readonly ServerView[];
  readonly reason: SpillReason;
}

/** Multiple of the expected service time within which nearly all requests end. */
const SERVICE_TAIL = 4;
/** Time after which an observation has the weight 1/e, milliseconds; a step in demand is followed within twice that. */
const DECAY_MS = 300;
/** Share of calls that query other domains, per share of such queries that found a server lately; up to all calls. */
const QUERIES_PER_FOUND = 10;
/** Least share of calls that query other domains, however seldom these had capacity lately. */
const MIN_QUERY_SHARE = 0.3;
/** Largest cost of a crossing as a share of a call's value, whatever its size. */
const MAX_COST = 0.5;
const MICROS_PER_MILLI = 1_000;

/**
 * Keeps calls in their failure domain as long as it answers them within their
 * objective. A call leaves for a server with free capacity that is expected to
 * answer in time if the own domain is not. Servers with a queue are left to the
 * calls of their own domain: two full domains would otherwise exchange calls.
 * Servers without a recent report count as full.
 *
 * A queue in the own domain saves traffic only while it is temporary. Under
 * sustained overload, the excess has to leave in any case, and a queue would
 * only delay the calls that stay. The accepted wait therefore shrinks with the
 * share of calls that found a queue lately.
 */
export class DomainSpill {
  readonly sizes = new CallSizes();
  /** Share of calls for which all queried servers of the own domain had a queue. */
  private readonly queueing = new DecayingShare(DECAY_MS, 0);
  /** Share of queries of other domains that found a server with capacity. */
  private readonly found = new DecayingShare(DECAY_MS, 1);
  private crossingCost: number;

  constructor(private readonly options: DomainSpillOptions) {
    this.crossingCost = options.crossingCost;
  }

  /** Applies a new cost of crossing. */
  configure(crossingCost: number): void {
    this.crossingCost = crossingCost;
  }

  /** Whether a server of the own domain is expected to answer a call in time; false without a recent report. */
  isInTime(now: Millis, view: ServerView, call: SpillCall): boolean {
    const estimate = this.estimate(now, view, call);
    if (estimate === undefined) return false;
    const slackMs = call.objective - now - estimate.runMs;
    const acceptedShare = 1 - this.queueing.value(now);
    return slackMs >= 0 && estimate.waitMs <= slackMs * acceptedShare;
  }

  /** Whether a call that its own domain would answer late should query other domains. */
  shouldQueryOthers(now: Millis, random: Random): boolean {
    const share = QUERIES_PER_FOUND * this.found.value(now);
    return random() < Math.max(MIN_QUERY_SHARE, share);
  }

  /** Records whether a query of other domains found a server with capacity. */
  recordOthersQueried(now: Millis, found: boolean): void {
    this.found.observe(now, found);
  }

  /** Records whether all queried servers of the own domain had a queue. */
  recordOwnQueried(now: Millis, isQueueing: boolean): void {
    this.queueing.observe(now, isQueueing);
  }

  /** Chooses the servers of one domain among those that a call may be routed to. */
  select(
    now: Millis,
    views: readonly ServerView[],
    call: SpillCall,
  ): SpillDecision {
    const {domain} = this.options;
    const own = views.filter(view => view.domain === domain);
    if (own.length === 0) return {views, reason: 'no server in own domain'};
    const inTime = own.filter(view => this.isInTime(now, view, call));
    if (inTime.length > 0) return {views: inTime, reason: 'own domain in time'};
    const free = views.filter(
      view => view.domain !== domain && hasCapacity(now, view),
    );
    const freeInTime = free.filter(view => this.value(now, view, call) === 1);
    if (freeInTime.length > 0)
      return {views: freeInTime, reason: 'other domain has capacity'};
    return this.selectLate(now, own, free, call);
  }

  // No domain is expected to answer in time, so the call goes where its answer is worth most.
  private selectLate(
    now: Millis,
    own: readonly ServerView[],
    others: readonly ServerView[],
    call: SpillCall,
  ): SpillDecision {
    const bestOf = (views: readonly ServerView[]): number =>
      Math.max(0, ...views.map(view => this.value(now, view, call)));
    const size = this.sizes.relative(call.route, call.requestBytes);
    const cost = Math.min(MAX_COST, this.crossingCost * size);
    return bestOf(others) - bestOf(own) > cost
      ? {views: others, reason: 'other domain earlier'}
      : {views: own, reason: 'no domain in time'};
  }

  /** Value of an answer: 1 until the objective, then falling to 0 at the deadline. */
  private value(now: Millis, view: ServerView, call: SpillCall): number {
    const estimate = this.estimate(now, view, call);
    if (estimate === undefined) return 0;
    const end = now + estimate.runMs + estimate.waitMs;
    if (end <= call.objective) return 1;
    const objective = Math.max(now, call.objective);
    return Math.max(0, (call.deadline - end) / (call.deadline - objective));
  }

  /** Time that nearly all calls need at a server once it has a slot for them, and time until it has one; undefined without a recent report. */
  private estimate(
    now: Millis,
    view: ServerView,
    call: SpillCall,
  ): {runMs: Millis; waitMs: Millis} | undefined {
    const {report} = view;
    if (report === undefined || now - view.reportedAt > MAX_REPORT_AGE_MS)
      return undefined;
    const serviceMs = report.serviceUs / MICROS_PER_MILLI;
    const limit = Math.max(1, report.limit);
    const load = Math.max(report.inFlight + report.queued, view.ownInFlight);
    const wait = Math.max(0, (load + 1 - limit) / limit);
    const tailMs = expectedWorkTime(SERVICE_TAIL * serviceMs, report.slowdown);
    return {
      runMs: this.networkMs(view, call) + tailMs,
      waitMs: wait * expectedWorkTime(serviceMs, report.slowdown),
    };
  }

  /** Round trip and transfer; the part above the least round trip grows with the size of the call. */
  private networkMs(view: ServerView, call: SpillCall): Millis {
    const {networkUs, leastNetworkUs} = view;
    const size = this.sizes.relative(call.route, call.requestBytes);
    const transferUs = Math.max(0, networkUs - leastNetworkUs) * size;
    return (
      (Math.min(networkUs, leastNetworkUs) + transferUs) / MICROS_PER_MILLI
    );
  }
}
