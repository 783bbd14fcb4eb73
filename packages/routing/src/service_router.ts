/** Routing state of one service at one gateway. */
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
import {DomainSpill} from './domain_spill';
import type {SpillCall, SpillReason} from './domain_spill';
import {LoadQuery, MAX_REPORT_AGE_MS} from './load_query';
import {LatencyQuantile} from './latency_quantile';
import {createPolicy} from './policies';
import type {Random, RoutingPolicy} from './routing_policy';
import {ProbePlanner} from './probe_planner';
import {ServerView} from './server_view';
import {rendezvousSubset} from './rendezvous_subset';

/** A server as the membership list describes it. */
export interface ServerEndpoint {
  readonly id: string;
  readonly nodeId: string;
  readonly domain: string;
  readonly slots: number;
  readonly state: ServerState;
  /** Estimated round trip time of the network, used until one has been measured. */
  readonly networkUs: Micros;
  /** Changes when the server or its node restarts. */
  readonly instance: string;
}

/** Options of ServiceRouter. */
export interface RouterOptions {
  /** Node identity of the gateway. */
  readonly gatewayNodeId: string;
  /** Failure domain of the gateway. */
  readonly domain?: string;
  readonly rules: ServiceRules;
  readonly random: Random;
  /** Overrides the policy of the rules, in trials. */
  readonly policy?: RoutingPolicy;
}

/** The server chosen for an attempt, with the reason. */
export interface PickedServer {
  readonly id: string;
  readonly nodeId: string;
  readonly reason: string;
  readonly scoreUs: Micros | undefined;
  /** Number of servers that the policy chose from. */
  readonly candidates: number;
  /** Number of usable servers that were left out because they are set aside. */
  readonly setAside: number;
  readonly scores: Readonly<Record<string, Micros>> | undefined;
  /** Why the call stays in its failure domain or leaves it; undefined if that was not decided. */
  readonly spill: SpillReason | undefined;
}

/** Options of ServiceRouter.pick. */
export interface PickOptions {
  /** Whether to return the scores of the candidates. */
  readonly explain?: boolean;
  /** A hedged attempt, which is sent only to a server with spare capacity. */
  readonly hedge?: boolean;
  /** A load query has just ended; servers with a recent report are preferred. */
  readonly loadQueried?: boolean;
  /** The call, from which it is decided whether it leaves the failure domain. */
  readonly call?: SpillCall;
}

/** Result of one attempt. */
export interface PickResult {
  readonly id: string;
  readonly elapsedMs: Millis;
  readonly report: LoadReport | undefined;
  /** Age of the report on arrival; by default half the network time. */
  readonly reportAgeMs?: Millis;
  /** Time that the exchange spent at the gate. */
  readonly gateUs: Micros | undefined;
  readonly outcome:
    | 'answered'
    | 'serverError'
    | 'refused'
    /** Refused by a server that had capacity; counts as a server error. */
    | 'rejected'
    | 'failed'
    /** Abandoned for a reason other than the server. */
    | 'cancelled'
    /** No response by the deadline. */
    | 'timedOut';
}

/** Hedged attempts per window in addition to the share of calls. */
const HEDGE_BURST = 3;
/** Window of hedged attempts, as a share of the window of resends. */
const HEDGE_WINDOW_SHARE = 0.25;
/** Hedged attempts are sent to servers below this share of their limit. */
const HEDGE_MAX_LOAD = 0.7;
/** Hedged attempts are not sent to servers above this share of errors. */
const HEDGE_MAX_ERROR_SHARE = 0.05;
/** Panic threshold: if more than this share of the servers is set aside, all of them are used. */
const PANIC_SHARE = 0.5;
/** An attempt that times out counts as a server error if it took longer than this multiple of the median service time. */
const TIMEOUT_ERROR_RATIO = 4;
const MICROS_PER_MILLI = 1_000;
const DEFAULT_MEDIAN_SERVICE_US = 1_000;
const PERCENT = 100;
const MEDIAN_PERCENTILE = 50;

/**
 * Chooses servers for the attempts of one service. Holds the views of its servers
 * and the budgets of resends, hedged attempts and probes.
 */
export class ServiceRouter {
  private readonly views = new Map<string, ServerView>();
  private readonly endpoints = new Map<string, ServerEndpoint>();
  private subset: ServerView[] = [];
  private rules: ServiceRules;
  private policy: RoutingPolicy;
  /** Budget of resends and hedged attempts together. */
  private readonly retryBudget: WindowBudget;
  /** Further bound on hedged attempts, which use both budgets. */
  private readonly hedgeBudget: WindowBudget;
  private fleetSize = Infinity;
  private readonly hedgeLatency: LatencyQuantile;
  private readonly medianServiceTime = new LatencyQuantile(MEDIAN_PERCENTILE);
  readonly probes: ProbePlanner;
  /** Decides which calls leave the failure domain; undefined if the domain of the gateway is unknown. */
  private readonly domainSpill: DomainSpill | undefined;

  constructor(
    now: Millis,
    private readonly options: RouterOptions,
  ) {
    this.rules = options.rules;
    this.policy = options.policy ?? createPolicy(options.rules);
    this.retryBudget = new WindowBudget(this.retryOptions);
    this.hedgeBudget = new WindowBudget(this.hedgeOptions);
    this.hedgeLatency = new LatencyQuantile(options.rules.hedgeQuantile);
    this.probes = new ProbePlanner(now, options.rules);
    const {domain} = options;
    this.domainSpill =
      domain === undefined
        ? undefined
        : new DomainSpill({domain, crossingCost: this.crossingCost});
  }

  /** Applies new rules; the views of the servers are kept. */
  configure(now: Millis, rules: ServiceRules): void {
    const policyChanged = rules.policy !== this.rules.policy;
    this.rules = rules;
    if (policyChanged) this.policy = this.options.policy ?? createPolicy(rules);
    this.retryBudget.configure(this.retryOptions);
    this.hedgeBudget.configure(this.hedgeOptions);
    this.hedgeLatency.configure(rules.hedgeQuantile);
    this.probes.configure(now, rules);
    this.domainSpill?.configure(this.crossingCost);
    this.rebuildSubset();
  }

  /**
   * Replaces the list of servers. The views of servers
   * whose instance and slots have not changed are kept.
   */
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

  /** Sets the number of known nodes, this one included, among which the pool of resends is divided. */
  setFleetSize(fleetSize: number): void {
    if (fleetSize === this.fleetSize) return;
    this.fleetSize = fleetSize;
    this.retryBudget.configure(this.retryOptions);
    this.hedgeBudget.configure(this.hedgeOptions);
  }

  /** Creates a query for the load of the servers that a call may be routed to. */
  createLoadQuery(
    now: Millis,
    exclude: readonly string[] = [],
    call?: SpillCall,
  ): LoadQuery {
    const {gatewayNodeId, domain, random} = this.options;
    const candidates = this.withoutSetAside(
      now,
      this.usableServers(exclude),
    ).candidates;
    const decision = this.activeSpill;
    const spill = decision && call && {decision, call};
    return new LoadQuery({candidates, gatewayNodeId, domain, random, spill});
  }

  /** Marks a server as down, after its node has answered that it has no such server. */
  markDown(id: string): void {
    const view = this.views.get(id);
    if (view !== undefined) view.state = 'down';
  }

  /**
   * Chooses a server and counts the attempt as in flight there, until
   * `recordResult`. Returns undefined if no server can be used.
   */
  pick(
    now: Millis,
    exclude: readonly string[] = [],
    options: PickOptions = {},
  ): PickedServer | undefined {
    const {explain = false, hedge = false, loadQueried = false, call} = options;
    const all = this.usableServers(exclude);
    const usable = hedge ? all.filter(hasSpareCapacity) : all;
    if (usable.length === 0) return undefined;
    const {candidates: eligible, panic} = this.withoutSetAside(now, usable);
    const setAside = usable.length - eligible.length;
    const reported = loadQueried ? withRecentReports(now, eligible) : eligible;
    const decision = call && this.activeSpill?.select(now, reported, call);
    const candidates = decision?.views ?? reported;
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
      spill: decision?.reason,
    };
  }

  /** Chooses as `pick` does and returns the scores, without counting an attempt. */
  preview(
    now: Millis,
    exclude: readonly string[],
    options: PickOptions,
  ): PickedServer | undefined {
    const picked = this.pick(now, exclude, {...options, explain: true});
    const view = picked && this.views.get(picked.id);
    if (view !== undefined) view.ownInFlight--;
    return picked;
  }

  /** Records a call in the budgets that are a share of calls. */
  recordCall(now: Millis): void {
    this.retryBudget.record(now);
    this.hedgeBudget.record(now);
  }

  /** Records the result of an attempt. Each pick needs exactly one result. */
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

  /** Records a load report that arrived other than with the result of an attempt. */
  recordReport(
    now: Millis,
    id: string,
    report: LoadReport,
    ageMs?: Millis,
  ): void {
    this.views.get(id)?.recordReport(now, report, ageMs);
  }

  /** Returns the servers to probe after a call. */
  planProbes(now: Millis): ServerView[] {
    if (this.subset.length < 2) return [];
    return this.probes.plan(now, this.subset, this.options.random);
  }

  /** Records the sizes of the bodies of an answered call, bytes. */
  recordSizes(route: string, requestBytes: number, answerBytes: number): void {
    this.domainSpill?.sizes.record(route, requestBytes, answerBytes);
  }

  /** Takes a resend from its budget; false if the budget is spent. */
  takeRetry(now: Millis): boolean {
    return this.retryBudget.take(now);
  }

  /** Takes a hedged attempt from both budgets; false if one of them is spent. */
  takeHedge(now: Millis): boolean {
    return this.hedgeBudget.take(now) && this.retryBudget.take(now);
  }

  /** Delay before a hedged attempt, milliseconds; Infinity while hedging is off or there are too few samples. */
  get hedgeAfterMs(): Millis {
    return this.rules.hedgePercent > 0 ? this.hedgeLatency.value : Infinity;
  }

  /** Median service time; a default until there are enough samples. */
  get medianServiceUs(): Micros {
    const value = this.medianServiceTime.value;
    return Number.isFinite(value) ? value : DEFAULT_MEDIAN_SERVICE_US;
  }

  get currentRules(): ServiceRules {
    return this.rules;
  }

  /** Views of all servers, for status pages and trials. */
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
        // A request that needs many times the median is rarer than a server that hangs.
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

  private get activeSpill(): DomainSpill | undefined {
    const isOff = this.rules.disabled.includes('domainSpill');
    return isOff ? undefined : this.domainSpill;
  }

  private get crossingCost(): number {
    return this.rules.crossingCostPercent / PERCENT;
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

  /** Removes the servers that are set aside; keeps all (panic) if that would leave too few. */
  private withoutSetAside(
    now: Millis,
    usable: readonly ServerView[],
  ): {candidates: readonly ServerView[]; panic: boolean} {
    const mayLeaveOut = !this.rules.disabled.includes('settingAside');
    const healthy = usable.filter(
      view => !mayLeaveOut || !view.isSetAside(now),
    );
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
