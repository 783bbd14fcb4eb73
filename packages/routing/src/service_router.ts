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
import {LoadQuery, MAX_REPORT_AGE_MS} from './load_query';
import {LatencyQuantile} from './latency_quantile';
import {createPolicy} from './policies';
import type {Random, RoutingPolicy} from './routing_policy';
import {ProbePlanner} from './probe_planner';
import {ServerView} from './server_view';
import {rendezvousSubset} from './rendezvous_subset';

/** A server as membership describes it to a router. */
export interface ServerEndpoint {
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
  readonly gatewayNodeId: string;
  /** Failure domain of the gateway. */
  readonly domain?: string;
  readonly rules: ServiceRules;
  readonly random: Random;
  /** Replaces the policy of the rules, in trials. */
  readonly policy?: RoutingPolicy;
}

/** A chosen server and why. */
export interface PickedServer {
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
  readonly loadQueried?: boolean;
}

/** What one attempt taught. */
export interface PickResult {
  readonly id: string;
  readonly elapsedMs: Millis;
  readonly report: LoadReport | undefined;
  /** How old the report was when it arrived; half the network time unless given. */
  readonly reportAgeMs?: Millis;
  /** Time the exchange spent at the gate, microseconds. */
  readonly gateUs: Micros | undefined;
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
const HEDGE_MAX_LOAD = 0.7;
/** A hedged attempt does not go to servers above this share of errors. */
const HEDGE_MAX_ERROR_SHARE = 0.05;
/** When more than this share is set aside, nothing is. */
const PANIC_SHARE = 0.5;
/** An attempt without an answer after this many times the median is held against its server. */
const TIMEOUT_ERROR_RATIO = 4;
const MICROS_PER_MILLI = 1_000;
const DEFAULT_MEDIAN_SERVICE_US = 1_000;
const PERCENT = 100;
const MEDIAN_PERCENTILE = 50;

/** Views of all servers of a service, and the budgets that go with them. */
export class ServiceRouter {
  private readonly views = new Map<string, ServerView>();
  private readonly endpoints = new Map<string, ServerEndpoint>();
  private subset: ServerView[] = [];
  private rules: ServiceRules;
  private policy: RoutingPolicy;
  /** Resends and hedged attempts. */
  private readonly retryBudget: WindowBudget;
  /** The part of it that hedged attempts may take. */
  private readonly hedgeBudget: WindowBudget;
  private fleetSize = Infinity;
  private readonly hedgeLatency: LatencyQuantile;
  private readonly medianServiceTime = new LatencyQuantile(MEDIAN_PERCENTILE);
  readonly probes: ProbePlanner;

  constructor(
    now: Millis,
    private readonly options: RouterOptions,
  ) {
    this.rules = options.rules;
    this.policy = options.policy ?? createPolicy(options.rules.policy);
    this.retryBudget = new WindowBudget(this.retryOptions);
    this.hedgeBudget = new WindowBudget(this.hedgeOptions);
    this.hedgeLatency = new LatencyQuantile(options.rules.hedgeQuantile);
    this.probes = new ProbePlanner(now, options.rules);
  }

  /** Takes new rules; what was learnt of servers is kept. */
  configure(now: Millis, rules: ServiceRules): void {
    const policyChanged = rules.policy !== this.rules.policy;
    this.rules = rules;
    if (policyChanged)
      this.policy = this.options.policy ?? createPolicy(rules.policy);
    this.retryBudget.configure(this.retryOptions);
    this.hedgeBudget.configure(this.hedgeOptions);
    this.hedgeLatency.configure(rules.hedgeQuantile);
    this.probes.configure(now, rules);
    this.rebuildSubset();
  }

  /** Takes the whole list of servers that membership knows of. */
  setServers(endpoints: readonly ServerEndpoint[]): void {
    const seen = new Set<string>();
    for (const endpoint of endpoints) {
      seen.add(endpoint.id);
      this.setServer(endpoint);
    }
    for (const id of [...this.views.keys()]) {
      if (!seen.has(id)) this.removeServer(id);
    }
    this.rebuildSubset();
  }

  /** Takes the number of nodes known, this one included, among which the pool of resends is divided. */
  setFleetSize(fleetSize: number): void {
    if (fleetSize === this.fleetSize) return;
    this.fleetSize = fleetSize;
    this.retryBudget.configure(this.retryOptions);
    this.hedgeBudget.configure(this.hedgeOptions);
  }

  /** A consultation about where a call may go. */
  createLoadQuery(now: Millis, exclude: readonly string[] = []): LoadQuery {
    const {gatewayNodeId, domain, random} = this.options;
    const candidates = this.withoutSetAside(
      now,
      this.usableServers(exclude),
    ).candidates;
    return new LoadQuery({candidates, gatewayNodeId, domain, random});
  }

  /** The node beside a server says that it has none. */
  markDown(id: string): void {
    const view = this.views.get(id);
    if (view !== undefined) view.state = 'down';
  }

  /** Chooses a server; undefined if none can take a call. */
  pick(
    now: Millis,
    exclude: readonly string[] = [],
    options: PickOptions = {},
  ): PickedServer | undefined {
    const {explain = false, hedge = false, loadQueried = false} = options;
    const all = this.usableServers(exclude);
    const usable = hedge ? all.filter(hasSpareCapacity) : all;
    if (usable.length === 0) return undefined;
    const {candidates: eligible, panic} = this.withoutSetAside(now, usable);
    const setAside = usable.length - eligible.length;
    const candidates = loadQueried
      ? withRecentReports(now, eligible)
      : eligible;
    const context = {
      now,
      random: this.options.random,
      medianServiceUs: this.medianServiceUs,
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
    choice.view.ownInFlight++;
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
    this.retryBudget.record(now);
    this.hedgeBudget.record(now);
  }

  /** Takes what an attempt taught. Each pick is matched by one result. */
  recordResult(now: Millis, result: PickResult): void {
    const view = this.views.get(result.id);
    if (view === undefined) return;
    view.ownInFlight = Math.max(0, view.ownInFlight - 1);
    if (result.report !== undefined) {
      view.recordReport(now, result.report, result.reportAgeMs);
    }
    if (result.gateUs !== undefined) {
      view.recordNetworkTime(result.elapsedMs, result.gateUs);
    }
    this.recordOutcome(now, view, result);
  }

  /** Takes a report that no call carried. */
  recordReport(
    now: Millis,
    id: string,
    report: LoadReport,
    ageMs?: Millis,
  ): void {
    this.views.get(id)?.recordReport(now, report, ageMs);
  }

  /** Servers to probe after a call. */
  planProbes(now: Millis): ServerView[] {
    if (this.subset.length < 2) return [];
    return this.probes.plan(now, this.subset, this.options.random);
  }

  takeRetry(now: Millis): boolean {
    return this.retryBudget.take(now);
  }

  takeHedge(now: Millis): boolean {
    return this.hedgeBudget.take(now) && this.retryBudget.take(now);
  }

  /** Time after which a hedged attempt pays, milliseconds; infinite when off. */
  get hedgeAfterMs(): Millis {
    return this.rules.hedgePercent > 0 ? this.hedgeLatency.value : Infinity;
  }

  get medianServiceUs(): Micros {
    const value = this.medianServiceTime.value;
    return Number.isFinite(value) ? value : DEFAULT_MEDIAN_SERVICE_US;
  }

  get currentRules(): ServiceRules {
    return this.rules;
  }

  /** Views for status pages and trials. */
  serverViews(): readonly ServerView[] {
    return [...this.views.values()];
  }

  private recordOutcome(
    now: Millis,
    view: ServerView,
    result: PickResult,
  ): void {
    switch (result.outcome) {
      case 'answered':
      case 'serverError':
        view.recordResponse(result.outcome === 'serverError');
        this.hedgeLatency.observe(result.elapsedMs);
        if (result.report !== undefined && result.report.serviceUs > 0) {
          this.medianServiceTime.observe(result.report.serviceUs);
        }
        return;
      case 'rejected':
        view.updateErrorShare(true);
        return;
      case 'timedOut':
        // Work of many times the usual length is the exception; a server that hangs is not.
        if (
          result.elapsedMs * MICROS_PER_MILLI >
          TIMEOUT_ERROR_RATIO * this.medianServiceUs
        ) {
          view.updateErrorShare(true);
        }
        return;
      case 'failed':
        view.recordFailure(now);
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
      burst: retryBurst + retryPool / this.fleetSize,
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
  private withoutSetAside(
    now: Millis,
    usable: readonly ServerView[],
  ): {candidates: readonly ServerView[]; panic: boolean} {
    const healthy = usable.filter(view => !view.isSetAside(now));
    const setAside = usable.length - healthy.length;
    const panic =
      setAside > usable.length * PANIC_SHARE || healthy.length === 0;
    return {candidates: panic ? usable : healthy, panic};
  }

  private usableServers(exclude: readonly string[]): ServerView[] {
    const up = this.subset.filter(view => view.state === 'up');
    return exclude.length === 0 ? up : up.filter(v => !exclude.includes(v.id));
  }

  private setServer(endpoint: ServerEndpoint): void {
    const known = this.endpoints.get(endpoint.id);
    this.endpoints.set(endpoint.id, endpoint);
    if (
      known?.instance === endpoint.instance &&
      known.slots === endpoint.slots
    ) {
      const view = this.views.get(endpoint.id);
      if (view !== undefined) view.state = endpoint.state;
      return;
    }
    const view = new ServerView(endpoint);
    view.state = endpoint.state;
    view.ownInFlight = this.views.get(endpoint.id)?.ownInFlight ?? 0;
    this.views.set(endpoint.id, view);
  }

  private removeServer(id: string): void {
    this.views.delete(id);
    this.endpoints.delete(id);
  }

  private rebuildSubset(): void {
    const ids = [...this.views.keys()].sort();
    const subset = rendezvousSubset(
      this.options.gatewayNodeId,
      ids,
      this.rules.subsetSize,
    );
    this.subset = subset.flatMap(id => this.views.get(id) ?? []);
  }
}

function withRecentReports(
  now: Millis,
  views: readonly ServerView[],
): readonly ServerView[] {
  const recent = views.filter(
    view => now - view.reportedAt <= MAX_REPORT_AGE_MS,
  );
  return recent.length > 0 ? recent : views;
}

function hasSpareCapacity(view: ServerView): boolean {
  if (view.errorShare > HEDGE_MAX_ERROR_SHARE) return false;
  const reported = (view.report?.inFlight ?? 0) + (view.report?.queued ?? 0);
  return Math.max(view.ownInFlight, reported) < view.limit * HEDGE_MAX_LOAD;
}
