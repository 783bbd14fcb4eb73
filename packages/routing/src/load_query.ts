/** Asks a few servers for their load before one is chosen. */
import type {Millis} from '@goldcresthill/types';
import type {Random} from './routing_policy';
import type {ServerView} from './server_view';

/** What a consultation starts from. */
export interface LoadQueryOptions {
  /** Servers that may take the call. */
  readonly candidates: readonly ServerView[];
  /** Node and failure domain of the gateway. */
  readonly gatewayNodeId: string;
  readonly domain: string | undefined;
  readonly random: Random;
}

/** What the gateway is to do next. */
export type LoadQueryCommand =
  /** Ask these, and report after `waitMs` if not all have answered by then. */
  | {
      readonly type: 'ask';
      readonly views: readonly ServerView[];
      readonly waitMs: Millis;
    }
  | {readonly type: 'choose'};

/**
 * Servers asked in each round, the next one only if none of those before has
 * room. Most rounds end with the first: with a quarter of all servers slow and
 * some full, two find one in order four times in five.
 */
const SERVERS_PER_ROUND = [2, 4, 5] as const;
/** Rounds in the own failure domain, while it has servers that have not been asked. */
const OWN_DOMAIN_ROUNDS = 2;
/** Knowledge of that age is as good as an answer, milliseconds. */
const FRESH_REPORT_MS = 15;
/** Longest wait for answers, milliseconds; nodes answer within one, unless they are short of processor time. */
const ROUND_WAIT_MS = 8;
/** Wait for the first answer when nobody has answered, as while many nodes start; a blind choice may hang for longer, milliseconds. */
const FIRST_ANSWER_WAIT_MS = 60;
/** A server is taken at once below this share of its limit and this slowdown. */
const LIGHT_LOAD_SHARE = 0.6;
const LIGHT_LOAD_SLOWDOWN = 1.15;
/** Servers elsewhere are asked when all have more load than this share of their limit, or are slower than this. */
const MAX_LOAD_SHARE = 0.99;
const MAX_SLOWDOWN = 1.5;
/** An answer to a consultation is at most that old, milliseconds. */
export const MAX_REPORT_AGE_MS = 50;

/**
 * The first rounds ask in the own failure domain. If none of these servers has
 * room at its usual speed, the last round asks in all of them: bytes between
 * domains are dear, and a call that waits is dearer.
 */
export class LoadQuery {
  private readonly queried = new Set<ServerView>();
  private readonly pending = new Set<ServerView>();
  private round = 0;
  private awaitsFirstAnswer = false;

  constructor(private readonly options: LoadQueryOptions) {}

  /** Starts; what is known well enough is not asked for. */
  begin(now: Millis): LoadQueryCommand {
    return this.startNextRound(now);
  }

  /** A server has answered, or cannot. */
  onAnswer(now: Millis, view: ServerView): LoadQueryCommand | undefined {
    if (!this.pending.delete(view)) return undefined;
    if (this.awaitsFirstAnswer || isLightlyLoaded(now, view))
      return this.choose();
    return this.pending.size === 0 ? this.endRound(now) : undefined;
  }

  /** The wait is over; those who have not answered are not in order if others have. */
  onTimeout(now: Millis): LoadQueryCommand {
    if (this.hasAnswer) {
      for (const view of this.pending) view.recordUnanswered(now);
      this.pending.clear();
      return this.endRound(now);
    }
    // Late answers count, as the own VM may be the slow one.
    const next = this.startNextRound(now);
    if (next.type === 'ask' || this.awaitsFirstAnswer) return next;
    this.awaitsFirstAnswer = true;
    return {type: 'ask', views: [], waitMs: FIRST_ANSWER_WAIT_MS};
  }

  private get hasAnswer(): boolean {
    return this.queried.size > this.pending.size;
  }

  private endRound(now: Millis): LoadQueryCommand {
    const hasUsable = [...this.queried].some(view => hasCapacity(now, view));
    return hasUsable ? this.choose() : this.startNextRound(now);
  }

  // Where the own domain has too few servers for a round, others fill it up.
  private startNextRound(now: Millis): LoadQueryCommand {
    const roundSize = SERVERS_PER_ROUND[this.round];
    // Those that are still waited for stay so, as their late answers may be waited for.
    if (roundSize === undefined) return {type: 'choose'};
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
      return this.choose();
    }
    if (outdated.length === 0) return this.endRound(now);
    outdated.forEach(view => this.pending.add(view));
    return {type: 'ask', views: outdated, waitMs: ROUND_WAIT_MS};
  }

  private choose(): LoadQueryCommand {
    this.pending.clear();
    return {type: 'choose'};
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

function hasCapacity(now: Millis, view: ServerView): boolean {
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
