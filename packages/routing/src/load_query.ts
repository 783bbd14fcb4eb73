/** Queries a few nodes for the load of their servers before a call is routed. */
import type {Millis} from '@goldcresthill/types';
import type {DomainSpill, SpillCall} from './domain_spill';
import type {Random} from './routing_policy';
import type {ServerView} from './server_view';

/** Options of LoadQuery. */
export interface LoadQueryOptions {
  /** Servers that the call may be routed to. */
  readonly candidates: readonly ServerView[];
  /** Node identity of the gateway. */
  readonly gatewayNodeId: string;
  /** Failure domain of the gateway. */
  readonly domain: string | undefined;
  readonly random: Random;
  /** Keeps the call in the gateway's domain while that answers it in time; without it, later rounds sample all domains. */
  readonly spill?: {readonly decision: DomainSpill; readonly call: SpillCall};
}

/** Next step of the gateway. */
export type LoadQueryCommand =
  /**
   * Query these servers, then call `onTimeout` unless the next command comes
   * within `waitMs`. With no servers, only wait.
   */
  | {
      readonly type: 'ask';
      readonly views: readonly ServerView[];
      readonly waitMs: Millis;
    }
  /** The query has ended: choose a server with `ServiceRouter.pick`, but none of those that would refuse the call. */
  | {readonly type: 'choose'; readonly refusing: readonly string[]}
  /** The query has ended: each server queried would refuse the call. */
  | {readonly type: 'refuse'};

/**
 * Servers queried in each round. A round starts only if no server queried so
 * far has capacity. Most queries end after the first round, so a larger one
 * would mostly cost its nodes processor time. The last one keeps a call from
 * being refused after a small sample of a large service.
 */
const SERVERS_PER_ROUND = [1, 3, 7, 14] as const;
/** Rounds that prefer servers of the gateway's own failure domain. */
const OWN_DOMAIN_ROUNDS = 2;
/** The same if a DomainSpill decides whether the call leaves the domain. */
const OWN_DOMAIN_ROUNDS_WITH_SPILL = 3;
/** Servers queried in each round in other domains, after those in the own domain. The first usually finds one, and each query costs bytes. */
const OTHERS_PER_ROUND = [4, 10] as const;
/** A report up to this age replaces a query, milliseconds. */
const FRESH_REPORT_MS = 15;
/** Longest wait for the answers of a round, milliseconds; nodes answer within 1 ms unless they are short of CPU time. */
const ROUND_WAIT_MS = 8;
/**
 * Extra wait when no node has answered in any round, as happens while many
 * nodes start, milliseconds. A server chosen without a report may hang for
 * longer.
 */
const FIRST_ANSWER_WAIT_MS = 60;
/** A server below this share of its limit and up to this slowdown ends the query at once. */
const LIGHT_LOAD_SHARE = 0.6;
const LIGHT_LOAD_SLOWDOWN = 1.15;
/** A server has capacity below this share of its limit and up to this slowdown; without one, the next round starts. */
const MAX_LOAD_SHARE = 0.99;
const MAX_SLOWDOWN = 1.5;
/** Greatest age of a report that counts as an answer to a load query, milliseconds. */
export const MAX_REPORT_AGE_MS = 50;

/**
 * Load query for one call, in rounds. The first rounds prefer servers of the
 * gateway's own failure domain. If none of them has capacity, further rounds
 * sample all domains: traffic between domains costs money, but a call that
 * waits costs more.
 */
export class LoadQuery {
  private readonly queried = new Set<ServerView>();
  private readonly pending = new Set<ServerView>();
  private readonly refusing = new Set<ServerView>();
  private round = 0;
  private awaitsFirstAnswer = false;
  private otherRounds = 0;

  constructor(private readonly options: LoadQueryOptions) {}

  /** Starts the first round. Servers with a fresh report are not queried. */
  begin(now: Millis): LoadQueryCommand {
    return this.startNextRound(now);
  }

  /**
   * Handles the answer of a node, after its report has been recorded in the view
   * or the server has been marked down. `accepts` tells whether its gate would
   * admit the call. Returns undefined while more answers are awaited or if the
   * server was not awaited.
   */
  onAnswer(
    now: Millis,
    view: ServerView,
    accepts: boolean,
  ): LoadQueryCommand | undefined {
    if (!this.pending.delete(view)) return undefined;
    if (!accepts) this.refusing.add(view);
    else if (this.awaitsFirstAnswer || isLightlyLoaded(now, view))
      return this.choose(now);
    return this.pending.size === 0 ? this.endRound(now) : undefined;
  }

  /**
   * Handles the end of the wait. If some nodes have answered, the servers of
   * those that have not are set aside.
   */
  onTimeout(now: Millis): LoadQueryCommand {
    if (this.hasAnswer && !this.awaitsFirstAnswer) {
      for (const view of this.pending) view.recordUnanswered(now);
      this.pending.clear();
      return this.endRound(now);
    }
    // No answer at all may be due to a slow VM of the gateway, so late answers are accepted.
    const next = this.startNextRound(now);
    if (next.type === 'ask' || this.awaitsFirstAnswer) return next;
    this.awaitsFirstAnswer = true;
    return {type: 'ask', views: [], waitMs: FIRST_ANSWER_WAIT_MS};
  }

  private get hasAnswer(): boolean {
    return this.queried.size > this.pending.size;
  }

  private endRound(now: Millis): LoadQueryCommand {
    const hasUsable = [...this.queried].some(
      view => !this.refusing.has(view) && hasCapacity(now, view),
    );
    const isLast = this.otherRounds === OTHERS_PER_ROUND.length;
    if (this.queriesOthers && (hasUsable || isLast))
      this.options.spill?.decision.recordOthersQueried(now, hasUsable);
    return hasUsable ? this.choose(now) : this.startNextRound(now);
  }

  private get queriesOthers(): boolean {
    return this.otherRounds > 0;
  }

  // The query ends within the own domain if that answers the call in time, or if no other domain has had capacity lately.
  private endsInOwnDomain(now: Millis): boolean {
    const {spill, domain, random} = this.options;
    // Without any answer, this node may be slow itself, and nothing is known of its domain.
    if (spill === undefined || !this.hasAnswer) return false;
    const accepting = [...this.queried].filter(
      view => view.domain === domain && !this.refusing.has(view),
    );
    const {decision, call} = spill;
    const isInTime = accepting.some(view => decision.isInTime(now, view, call));
    decision.recordOwnQueried(now, !accepting.some(v => hasFreeSlot(now, v)));
    if (isInTime) return true;
    // A call that its own domain refuses would be lost.
    return accepting.length > 0 && !decision.shouldQueryOthers(now, random);
  }

  // Servers of other domains complete a round for which the own domain has too few.
  private startNextRound(now: Millis): LoadQueryCommand {
    const {spill, candidates, domain} = this.options;
    const hasOwn = candidates.some(view => view.domain === domain);
    const hasOthers = candidates.some(view => view.domain !== domain);
    return spill !== undefined && hasOwn && hasOthers
      ? this.startDomainRound(now)
      : this.startRound(now);
  }

  private startDomainRound(now: Millis): LoadQueryCommand {
    const {candidates, domain} = this.options;
    const unqueried = candidates.filter(view => !this.queried.has(view));
    const own = unqueried.filter(view => view.domain === domain);
    if (this.round < OWN_DOMAIN_ROUNDS_WITH_SPILL && own.length > 0)
      return this.query(now, this.sampleOwn(own));
    if (!this.queriesOthers && this.endsInOwnDomain(now)) return this.end();
    const count = OTHERS_PER_ROUND[this.otherRounds++];
    if (count === undefined) return this.end();
    const others = unqueried.filter(view => view.domain !== domain);
    const sampled = this.sample(others, count);
    const rest = this.sample(own, count - sampled.length);
    return this.query(now, [...sampled, ...rest]);
  }

  private sampleOwn(own: readonly ServerView[]): ServerView[] {
    const count = SERVERS_PER_ROUND[this.round] ?? 0;
    const ownVm = own.filter(v => v.nodeId === this.options.gatewayNodeId);
    return [...ownVm, ...this.sample(own, count - ownVm.length, ownVm)];
  }

  private startRound(now: Millis): LoadQueryCommand {
    const roundSize = SERVERS_PER_ROUND[this.round];
    // Pending servers stay pending: `onTimeout` may go on to wait for their answers.
    if (roundSize === undefined) return this.end();
    const {candidates, domain, gatewayNodeId} = this.options;
    const unqueried = candidates.filter(view => !this.queried.has(view));
    const inOwnDomain = unqueried.filter(view => view.domain === domain);
    const ownVm = inOwnDomain.filter(view => view.nodeId === gatewayNodeId);
    const ownDomainCount =
      this.round < OWN_DOMAIN_ROUNDS ? roundSize - ownVm.length : 0;
    const preferred = [
      ...ownVm,
      ...this.sample(inOwnDomain, ownDomainCount, ownVm),
    ];
    const missing = roundSize - preferred.length;
    const others = unqueried.filter(view => !preferred.includes(view));
    return this.query(now, [...preferred, ...this.sample(others, missing)]);
  }

  private query(now: Millis, views: readonly ServerView[]): LoadQueryCommand {
    this.round++;
    views.forEach(view => this.queried.add(view));
    const outdated = views.filter(
      view => now - view.reportedAt > FRESH_REPORT_MS,
    );
    if (
      outdated.length < views.length &&
      views.some(v => isLightlyLoaded(now, v))
    ) {
      return this.choose(now);
    }
    if (outdated.length === 0) return this.endRound(now);
    outdated.forEach(view => this.pending.add(view));
    return {type: 'ask', views: outdated, waitMs: ROUND_WAIT_MS};
  }

  private choose(now: Millis): LoadQueryCommand {
    if (!this.queriesOthers)
      this.options.spill?.decision.recordOwnQueried(now, false);
    this.pending.clear();
    return this.end();
  }

  private end(): LoadQueryCommand {
    const up = [...this.queried].filter(view => view.state === 'up');
    const refusing = up.filter(view => this.refusing.has(view));
    if (refusing.length > 0 && refusing.length === up.length)
      return {type: 'refuse'};
    return {type: 'choose', refusing: refusing.map(view => view.id)};
  }

  private sample(
    from: readonly ServerView[],
    count: number,
    exclude: readonly ServerView[] = [],
  ): ServerView[] {
    const remaining = from.filter(view => !exclude.includes(view));
    const drawn: ServerView[] = [];
    while (drawn.length < count && remaining.length > 0) {
      const index = Math.floor(this.options.random() * remaining.length);
      drawn.push(...remaining.splice(index, 1));
    }
    return drawn;
  }
}

function isLightlyLoaded(now: Millis, view: ServerView): boolean {
  return isWithin(now, view, LIGHT_LOAD_SHARE, LIGHT_LOAD_SLOWDOWN);
}

function hasFreeSlot(now: Millis, view: ServerView): boolean {
  const {report, ownInFlight, reportedAt} = view;
  if (report === undefined || now - reportedAt > MAX_REPORT_AGE_MS)
    return false;
  return Math.max(report.inFlight + report.queued, ownInFlight) < report.limit;
}

/** Whether a server has capacity for another call, by a recent report; false without one. */
export function hasCapacity(now: Millis, view: ServerView): boolean {
  return isWithin(now, view, MAX_LOAD_SHARE, MAX_SLOWDOWN);
}

function isWithin(
  now: Millis,
  view: ServerView,
  loadShare: number,
  slowdown: number,
): boolean {
  const {report} = view;
  if (report === undefined || view.state !== 'up') return false;
  if (now - view.reportedAt > MAX_REPORT_AGE_MS) return false;
  const load = Math.max(report.inFlight + report.queued, view.ownInFlight);
  return load < loadShare * report.limit && report.slowdown <= slowdown;
}
