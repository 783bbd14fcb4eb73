/** Aggregate that chooses servers of one service for one gateway. */
import {WindowBudget} from '@goldcresthill/budgets';
import type {WindowBudgetOptions} from '@goldcresthill/budgets';
import {invariant} from '@goldcresthill/types';
import type {
  LoadReport,
  Micros,
  Millis,
  ServerState,
  ServiceRules,
} from '@goldcresthill/types';
import {Consultation, KNOWN_MS} from './consultation';
import {LatencyQuantile} from './latency_quantile';
import {policyOf} from './policies';
import type {Random, RoutingPolicy} from './routing_policy';
import {ProbePlanner} from './probe_planner';
import {ServerView} from './server_view';
import {subsetOf} from './subset';

/** A server as membership describes it to a router. */
export interface ServerPlace {
  readonly id: string;
  readonly nodeId: string;
  readonly domain: string;
  readonly slots: number;
  readonly state: ServerState;
  readonly networkUs: Micros;
  /** Changes when the server or its node starts anew. */
  readonly instance: string;
}

/** What a router starts from. */
export interface RouterOptions {
  /** Node identity of the gateway. */
  readonly owner: string;
  /** Failure domain of the gateway. */
  readonly domain?: string;
  readonly rules: ServiceRules;
  readonly random: Random;
  /** Replaces the policy of the rules, in trials. */
  readonly policy?: RoutingPolicy;
}

/** A chosen server and why. */
export interface Pick {
  readonly id: string;
  readonly nodeId: string;
  readonly reason: string;
  readonly scoreUs: Micros | undefined;
  readonly candidates: number;
  readonly setAside: number;
  readonly scores: Readonly<Record<string, Micros>> | undefined;
}

/** How to choose. */
export interface PickOptions {
  /** Scores of all candidates are wanted. */
  readonly explain?: boolean;
  /** A second attempt, which may only use room that nobody needs. */
  readonly hedge?: boolean;
  /** Servers have just been asked, so that those who have answered go first. */
  readonly consulted?: boolean;
}

/** What one attempt taught. */
export interface PickResult {
  readonly id: string;
  readonly elapsedMs: Millis;
  readonly report: LoadReport | undefined;
  /** How old the report was when it arrived; half the network time unless given. */
  readonly reportAgeMs?: Millis;
  /** Time the exchange spent at the gate, microseconds. */
  readonly atGateUs: Micros | undefined;
  readonly outcome:
    | 'answered'
    | 'serverError'
    | 'refused'
    /** Refused by a server that had room, which counts as an error of the server. */
    | 'rejected'
    | 'failed'
    /** Given up for another reason than the server. */
    | 'cancelled'
    /** No answer until the deadline. */
    | 'timedOut';
}

/** Hedged attempts that may be made at once. */
const HEDGE_BURST = 3;
/** Hedged attempts are saved up for a shorter time than resends. */
const HEDGE_WINDOW_SHARE = 0.25;
/** A hedged attempt goes to servers below this share of their limit. */
const HEDGE_UTILISATION = 0.7;
/** A hedged attempt does not go to servers above this share of errors. */
const HEDGE_ERROR_SHARE = 0.05;
/** When more than this share is set aside, nothing is. */
const PANIC_SHARE = 0.5;
/** An attempt without an answer after this many times the median is held against its server. */
const HUNG_RATIO = 4;
const MICROS_PER_MILLI = 1_000;
const DEFAULT_MEDIAN_US = 1_000;
const PERCENT = 100;
const MEDIAN_QUANTILE = 50;

/** Views of all servers of a service, and the budgets that go with them. */
export class ServiceRouter {
  private readonly views = new Map<string, ServerView>();
  private readonly places = new Map<string, ServerPlace>();
  private active: ServerView[] = [];
  private rules: ServiceRules;
  private policy: RoutingPolicy;
  /** Resends and hedged attempts. */
  private readonly retry: WindowBudget;
  /** The part of it that hedged attempts may take. */
  private readonly hedging: WindowBudget;
  private nodes = Infinity;
  private readonly hedgeAfter: LatencyQuantile;
  private readonly median = new LatencyQuantile(MEDIAN_QUANTILE);
  readonly probes: ProbePlanner;

  constructor(
    now: Millis,
    private readonly options: RouterOptions,
  ) {
    this.rules = options.rules;
    this.policy = options.policy ?? policyOf(options.rules.policy);
    this.retry = new WindowBudget(this.retryOptions);
    this.hedging = new WindowBudget(this.hedgeOptions);
    this.hedgeAfter = new LatencyQuantile(options.rules.hedgeQuantile);
    this.probes = new ProbePlanner(now, options.rules);
  }

  /** Takes new rules; what was learnt of servers is kept. */
  configure(now: Millis, rules: ServiceRules): void {
    const policyChanged = rules.policy !== this.rules.policy;
    this.rules = rules;
    if (policyChanged)
      this.policy = this.options.policy ?? policyOf(rules.policy);
    this.retry.configure(this.retryOptions);
    this.hedging.configure(this.hedgeOptions);
    this.hedgeAfter.configure(rules.hedgeQuantile);
    this.probes.configure(now, rules);
    this.rebuild();
  }

  /** Takes the whole list of servers that membership knows of. */
  setServers(places: readonly ServerPlace[]): void {
    const seen = new Set<string>();
    for (const place of places) {
      seen.add(place.id);
      this.setServer(place);
    }
    for (const id of [...this.views.keys()]) {
      if (!seen.has(id)) this.removeServer(id);
    }
    this.rebuild();
  }

  /** Takes the number of nodes known, this one included, among which the pool of resends is divided. */
  shareAmong(nodes: number): void {
    if (nodes === this.nodes) return;
    this.nodes = nodes;
    this.retry.configure(this.retryOptions);
    this.hedging.configure(this.hedgeOptions);
  }

  /** A consultation about where a call may go. */
  consult(now: Millis, exclude: readonly string[] = []): Consultation {
    const {owner, domain, random} = this.options;
    const candidates = this.inOrder(now, this.usable(exclude)).candidates;
    return new Consultation({candidates, owner, domain, random});
  }

  /** The node beside a server says that it has none. */
  noteAbsent(id: string): void {
    const view = this.views.get(id);
    if (view !== undefined) view.state = 'down';
  }

  /** Chooses a server; undefined if none can take a call. */
  pick(
    now: Millis,
    exclude: readonly string[] = [],
    options: PickOptions = {},
  ): Pick | undefined {
    const {explain = false, hedge = false, consulted = false} = options;
    const all = this.usable(exclude);
    const usable = hedge ? all.filter(hasSpareRoom) : all;
    if (usable.length === 0) return undefined;
    const {candidates: sound, panic} = this.inOrder(now, usable);
    const setAside = usable.length - sound.length;
    const candidates = consulted ? knownOf(now, sound) : sound;
    const context = {
      now,
      random: this.options.random,
      medianUs: this.medianUs,
      domain: this.options.domain,
      crossDomainShare: this.rules.crossDomainPercent / PERCENT,
      explain,
    };
    const choice = this.policy.choose(candidates, context);
    invariant(
      choice.view.state === 'up' && !exclude.includes(choice.view.id),
      'routing.usable',
      () => `${choice.view.id} is ${choice.view.state}`,
    );
    choice.view.own++;
    return {
      id: choice.view.id,
      nodeId: choice.view.nodeId,
      reason: panic ? `${choice.reason}, most servers failing` : choice.reason,
      scoreUs: choice.scoreUs,
      candidates: candidates.length,
      setAside,
      scores: choice.scores,
    };
  }

  /** Records a call for the budgets that are shares of traffic. */
  recordCall(now: Millis): void {
    this.retry.record(now);
    this.hedging.record(now);
  }

  /** Takes what an attempt taught. Each pick is matched by one result. */
  settle(now: Millis, result: PickResult): void {
    const view = this.views.get(result.id);
    if (view === undefined) return;
    view.own = Math.max(0, view.own - 1);
    if (result.report !== undefined) {
      view.learn(now, result.report, result.reportAgeMs);
    }
    if (result.atGateUs !== undefined) {
      view.learnNetwork(result.elapsedMs, result.atGateUs);
    }
    this.learnOutcome(now, view, result);
  }

  /** Takes a report that no call carried. */
  learn(now: Millis, id: string, report: LoadReport, ageMs?: Millis): void {
    this.views.get(id)?.learn(now, report, ageMs);
  }

  /** Servers to probe after a call. */
  planProbes(now: Millis): ServerView[] {
    if (this.active.length < 2) return [];
    return this.probes.plan(now, this.active, this.options.random);
  }

  takeRetry(now: Millis): boolean {
    return this.retry.take(now);
  }

  takeHedge(now: Millis): boolean {
    return this.hedging.take(now) && this.retry.take(now);
  }

  /** Time after which a hedged attempt pays, milliseconds; infinite when off. */
  get hedgeAfterMs(): Millis {
    return this.rules.hedgePercent > 0 ? this.hedgeAfter.value : Infinity;
  }

  get medianUs(): Micros {
    const value = this.median.value;
    return Number.isFinite(value) ? value : DEFAULT_MEDIAN_US;
  }

  get currentRules(): ServiceRules {
    return this.rules;
  }

  /** Views for status pages and trials. */
  snapshot(): readonly ServerView[] {
    return [...this.views.values()];
  }

  private learnOutcome(
    now: Millis,
    view: ServerView,
    result: PickResult,
  ): void {
    switch (result.outcome) {
      case 'answered':
      case 'serverError':
        view.succeed(result.outcome === 'serverError');
        this.hedgeAfter.observe(result.elapsedMs);
        if (result.report !== undefined && result.report.serviceUs > 0) {
          this.median.observe(result.report.serviceUs);
        }
        return;
      case 'rejected':
        view.noteError(true);
        return;
      case 'timedOut':
        // Work of many times the usual length is the exception; a server that hangs is not.
        if (result.elapsedMs * MICROS_PER_MILLI > HUNG_RATIO * this.medianUs) {
          view.noteError(true);
        }
        return;
      case 'failed':
        view.fail(now);
        return;
      case 'refused':
      case 'cancelled':
        return;
    }
  }

  private get retryOptions(): WindowBudgetOptions {
    const {retryPercent, retryBurst, retryPool, retryWindowMs} = this.rules;
    return {
      percent: retryPercent,
      burst: retryBurst + retryPool / this.nodes,
      windowMs: retryWindowMs,
    };
  }

  private get hedgeOptions(): WindowBudgetOptions {
    const {hedgePercent, retryWindowMs} = this.rules;
    const burst = Math.min(HEDGE_BURST, this.retryOptions.burst ?? 0);
    return {
      percent: hedgePercent,
      burst,
      windowMs: retryWindowMs * HEDGE_WINDOW_SHARE,
    };
  }

  /** Servers that are not set aside, unless that leaves too few. */
  private inOrder(
    now: Millis,
    usable: readonly ServerView[],
  ): {candidates: readonly ServerView[]; panic: boolean} {
    const healthy = usable.filter(view => !view.isSetAside(now));
    const setAside = usable.length - healthy.length;
    const panic =
      setAside > usable.length * PANIC_SHARE || healthy.length === 0;
    return {candidates: panic ? usable : healthy, panic};
  }

  private usable(exclude: readonly string[]): ServerView[] {
    const up = this.active.filter(view => view.state === 'up');
    return exclude.length === 0 ? up : up.filter(v => !exclude.includes(v.id));
  }

  private setServer(place: ServerPlace): void {
    const known = this.places.get(place.id);
    this.places.set(place.id, place);
    if (known?.instance === place.instance && known.slots === place.slots) {
      const view = this.views.get(place.id);
      if (view !== undefined) view.state = place.state;
      return;
    }
    const view = new ServerView(place);
    view.state = place.state;
    view.own = this.views.get(place.id)?.own ?? 0;
    this.views.set(place.id, view);
  }

  private removeServer(id: string): void {
    this.views.delete(id);
    this.places.delete(id);
  }

  private rebuild(): void {
    const names = [...this.views.keys()].sort();
    const chosen = subsetOf(this.options.owner, names, this.rules.subsetSize);
    this.active = chosen.flatMap(name => this.views.get(name) ?? []);
  }
}

function knownOf(
  now: Millis,
  views: readonly ServerView[],
): readonly ServerView[] {
  const known = views.filter(view => now - view.reportAt <= KNOWN_MS);
  return known.length > 0 ? known : views;
}

function hasSpareRoom(view: ServerView): boolean {
  if (view.errorShare > HEDGE_ERROR_SHARE) return false;
  const reported = (view.report?.inFlight ?? 0) + (view.report?.queued ?? 0);
  return Math.max(view.own, reported) < view.limit * HEDGE_UTILISATION;
}
