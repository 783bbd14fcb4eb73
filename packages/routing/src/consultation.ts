/** Asks a few servers for their load before one is chosen. */
import type {Millis} from '@goldcresthill/types';
import type {Random} from './routing_policy';
import type {ServerView} from './server_view';

/** What a consultation starts from. */
export interface ConsultationOptions {
  /** Servers that may take the call. */
  readonly candidates: readonly ServerView[];
  /** Node and failure domain of the gateway. */
  readonly owner: string;
  readonly domain: string | undefined;
  readonly random: Random;
}

/** What the gateway is to do next. */
export type ConsultationCommand =
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
const BREADTHS = [2, 4, 5] as const;
/** Rounds in the own failure domain, while it has servers that have not been asked. */
const NEAR_ROUNDS = 2;
/** Knowledge of that age is as good as an answer, milliseconds. */
const FRESH_MS = 15;
/** Longest wait for answers, milliseconds; nodes answer within one, unless they are short of processor time. */
const WAIT_MS = 8;
/** Wait for the first answer when nobody has answered, as while many nodes start; a blind choice may hang for longer, milliseconds. */
const LAST_WAIT_MS = 60;
/** A server is taken at once below this share of its limit and this slowdown. */
const EASY_SHARE = 0.6;
const EASY_SLOWDOWN = 1.15;
/** Servers elsewhere are asked when all have more load than this share of their limit, or are slower than this. */
const BUSY_SHARE = 0.99;
const BUSY_SLOWDOWN = 1.5;
/** An answer to a consultation is at most that old, milliseconds. */
export const KNOWN_MS = 50;

/**
 * The first rounds ask in the own failure domain. If none of these servers has
 * room at its usual speed, the last round asks in all of them: bytes between
 * domains are dear, and a call that waits is dearer.
 */
export class Consultation {
  private readonly asked = new Set<ServerView>();
  private readonly waiting = new Set<ServerView>();
  private round = 0;
  private waitedLonger = false;

  constructor(private readonly options: ConsultationOptions) {}

  /** Starts; what is known well enough is not asked for. */
  begin(now: Millis): ConsultationCommand {
    return this.askNext(now);
  }

  /** A server has answered, or cannot. */
  told(now: Millis, view: ServerView): ConsultationCommand | undefined {
    if (!this.waiting.delete(view)) return undefined;
    if (this.waitedLonger || isEasy(now, view)) return this.choose();
    return this.waiting.size === 0 ? this.conclude(now) : undefined;
  }

  /** The wait is over; those who have not answered are not in order if others have. */
  timeout(now: Millis): ConsultationCommand {
    if (this.hasAnswer) {
      for (const view of this.waiting) view.noteSilent(now);
      this.waiting.clear();
      return this.conclude(now);
    }
    // Late answers count, as the own VM may be the slow one.
    const next = this.askNext(now);
    if (next.type === 'ask' || this.waitedLonger) return next;
    this.waitedLonger = true;
    return {type: 'ask', views: [], waitMs: LAST_WAIT_MS};
  }

  private get hasAnswer(): boolean {
    return this.asked.size > this.waiting.size;
  }

  private conclude(now: Millis): ConsultationCommand {
    const found = [...this.asked].some(view => hasRoom(now, view));
    return found ? this.choose() : this.askNext(now);
  }

  // Where the own domain has too few servers for a round, others fill it up.
  private askNext(now: Millis): ConsultationCommand {
    const breadth = BREADTHS[this.round];
    // Those that are still waited for stay so, as their late answers may be waited for.
    if (breadth === undefined) return {type: 'choose'};
    const {candidates, domain, owner} = this.options;
    const left = candidates.filter(view => !this.asked.has(view));
    const near = left.filter(view => view.domain === domain);
    const own = near.filter(view => view.nodeId === owner);
    const wanted = this.round < NEAR_ROUNDS ? breadth - own.length : 0;
    const chosen = [...own, ...this.draw(near, wanted, own)];
    const rest = breadth - chosen.length;
    const far = left.filter(view => !chosen.includes(view));
    return this.ask(now, [...chosen, ...this.draw(far, rest)]);
  }

  private ask(now: Millis, views: readonly ServerView[]): ConsultationCommand {
    this.round++;
    views.forEach(view => this.asked.add(view));
    const unknown = views.filter(view => now - view.reportAt > FRESH_MS);
    if (unknown.length < views.length && views.some(v => isEasy(now, v))) {
      return this.choose();
    }
    if (unknown.length === 0) return this.conclude(now);
    unknown.forEach(view => this.waiting.add(view));
    return {type: 'ask', views: unknown, waitMs: WAIT_MS};
  }

  private choose(): ConsultationCommand {
    this.waiting.clear();
    return {type: 'choose'};
  }

  private draw(
    from: readonly ServerView[],
    count: number,
    without: readonly ServerView[] = [],
  ): ServerView[] {
    const left = from.filter(view => !without.includes(view));
    const drawn: ServerView[] = [];
    while (drawn.length < count && left.length > 0) {
      const index = Math.floor(this.options.random() * left.length);
      drawn.push(...left.splice(index, 1));
    }
    return drawn;
  }
}

function isEasy(now: Millis, view: ServerView): boolean {
  return isBelow(now, view, EASY_SHARE, EASY_SLOWDOWN);
}

function hasRoom(now: Millis, view: ServerView): boolean {
  return isBelow(now, view, BUSY_SHARE, BUSY_SLOWDOWN);
}

function isBelow(
  now: Millis,
  view: ServerView,
  share: number,
  slowdown: number,
): boolean {
  const {report} = view;
  if (report === undefined || view.state !== 'up') return false;
  if (now - view.reportAt > KNOWN_MS) return false;
  const load = Math.max(report.inFlight + report.queued, view.own);
  return load < share * report.limit && report.slowdown <= slowdown;
}
