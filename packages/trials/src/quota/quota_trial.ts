/** Runs client load with faults against a way to enforce caps, and checks what came of it. */
import type {AccountCap, QuotaBounds} from '@goldcresthill/quotas';
import {seededRandom, VirtualClock} from '@goldcresthill/test-utils';
import type {Millis} from '@goldcresthill/types';
import {AccountLoad} from './account_load';
import {AllocatorFleet} from './allocator_fleet';
import type {CapScheme} from './cap_scheme';
import {QuotaChecker} from './quota_checker';
import type {AccountCounts, QuotaViolation} from './quota_checker';

/** A fault at a time after the start of the load, milliseconds. */
export type QuotaFault = {
  readonly at: Millis;
  readonly forMs: Millis;
} & (
  | {
      /** Of a node, or of an allocator in force: `pick` chooses among them. */
      readonly type: 'kill' | 'freeze';
      readonly pick: number;
      readonly allocator: boolean;
    }
  | {
      readonly type: 'cut';
      readonly domain: number;
      readonly fromStore: boolean;
    }
  | {readonly type: 'storeCut'; readonly domain: number | undefined}
  | {readonly type: 'restartFleet'}
  /** The store comes back with the state that it had when the load began. */
  | {readonly type: 'restoreStore'}
  | {
      readonly type: 'hot';
      readonly rank: number;
      readonly factor: number;
    }
);

/** Options of a trial. */
export interface QuotaTrialOptions {
  readonly seed: number;
  readonly nodes: number;
  readonly domains?: number;
  readonly accounts?: number;
  readonly requestsPerSecond?: number;
  /** Caps as a multiple of an account's usual rate. */
  readonly headroom?: number;
  readonly burstSeconds?: number;
  readonly durationMs?: Millis;
  readonly loss?: number;
  /** Time until membership declares a silent node dead, milliseconds. */
  readonly detectMs?: Millis;
  readonly faults?: readonly QuotaFault[];
  /** How often a refused client comes back after the time that it was told; 0 by default. */
  readonly returns?: number;
  /** Creates what enforces the caps; the product's allocators by default. */
  readonly scheme?: (
    clock: VirtualClock,
    caps: ReadonlyMap<string, AccountCap>,
  ) => CapScheme;
}

/** Refusals of requests within the cap, of accounts of similar size. */
export interface SizeClass {
  readonly name: string;
  readonly withinCap: number;
  /** Requests that ran less than the requests within the cap, percent of those. */
  readonly shortfallPercent: number;
  readonly overCapPercent: number;
  readonly unavailablePercent: number;
}

/** Result of a trial. */
export interface QuotaTrialResult {
  readonly violations: readonly QuotaViolation[];
  readonly sizes: readonly SizeClass[];
  readonly counts: ReadonlyMap<string, AccountCounts>;
  /** Per second of load, in the whole fleet. */
  readonly datagramsPerSecond: number;
  readonly storeCallsPerSecond: number;
  /** Share of returning clients that were admitted. */
  readonly returnsAdmitted: number;
  readonly longestWaitMs: Millis;
  /** Times at which requests within the cap were refused as unavailable, milliseconds since the start of the load. */
  readonly unavailableAt: readonly Millis[];
}

export const QUOTA_BOUNDS: QuotaBounds = {
  windowMs: 5_000,
  overshoot: 0.1,
  slack: 20,
};
const DEFAULT_DURATION_MS = 30_000;
/** Time for the first list of allocators to come into force, milliseconds. */
const WARM_UP_MS = 6_000;
const DEFAULT_DETECT_MS = 3_000;
const STEP_MS = 10;
const SLOW_ARRIVAL_SHARE = 0.01;
const SLOW_ARRIVAL_MS = 2_000;
const MAX_TRANSFER_MS = 10;

/** Runs one trial in virtual time. */
export async function runQuotaTrial(
  options: QuotaTrialOptions,
): Promise<QuotaTrialResult> {
  return new QuotaTrial(options).run();
}

class QuotaTrial {
  private readonly clock = new VirtualClock();
  private readonly random: () => number;
  private readonly load: AccountLoad;
  private readonly checker: QuotaChecker;
  private readonly fleet: AllocatorFleet | undefined;
  private readonly scheme: CapScheme;
  private readonly endAt: Millis;
  private returned = 0;
  private returnedAdmitted = 0;
  private longestWaitMs = 0;
  private readonly unavailableAt: Millis[] = [];

  constructor(private readonly options: QuotaTrialOptions) {
    const {clock} = this;
    this.random = seededRandom(options.seed);
    this.endAt = WARM_UP_MS + (options.durationMs ?? DEFAULT_DURATION_MS);
    this.load = new AccountLoad({
      accounts: options.accounts ?? 77,
      requestsPerSecond: options.requestsPerSecond ?? 540,
      skew: 1.2,
      headroom: options.headroom ?? 1.5,
      burstSeconds: options.burstSeconds ?? 1,
      random: this.random,
    });
    const {caps} = this.load;
    this.checker = new QuotaChecker(caps, QUOTA_BOUNDS);
    if (options.scheme === undefined) {
      this.fleet = new AllocatorFleet({
        clock,
        random: this.random,
        nodes: options.nodes,
        domains: options.domains ?? 3,
        caps,
        bounds: QUOTA_BOUNDS,
        loss: options.loss ?? 0,
        detectMs: options.detectMs ?? DEFAULT_DETECT_MS,
        onFault: err => {
          throw err;
        },
      });
    }
    const scheme = options.scheme?.(clock, caps) ?? this.fleet;
    if (scheme === undefined) throw new Error('no scheme');
    this.scheme = scheme;
  }

  async run(): Promise<QuotaTrialResult> {
    await this.runUntil(WARM_UP_MS);
    this.fleet?.copyStore();
    const datagrams = this.fleet?.datagrams ?? 0;
    const storeCalls = this.fleet?.storeCalls ?? 0;
    for (const fault of this.options.faults ?? [])
      this.clock.after(fault.at, () => this.inject(fault));
    for (const account of this.load.rates.keys()) this.scheduleNext(account);
    await this.runUntil(this.endAt);
    const seconds = (this.endAt - WARM_UP_MS) / 1_000;
    const perSecond = (count = 0) => Math.round((count * 10) / seconds) / 10;
    const result = {
      violations: this.checker.violations(),
      sizes: this.sizes(),
      counts: this.checker.counts,
      datagramsPerSecond: perSecond((this.fleet?.datagrams ?? 0) - datagrams),
      storeCallsPerSecond: perSecond(
        (this.fleet?.storeCalls ?? 0) - storeCalls,
      ),
      returnsAdmitted: this.returnedAdmitted / Math.max(1, this.returned),
      longestWaitMs: this.longestWaitMs,
      unavailableAt: this.unavailableAt,
    };
    this.fleet?.close();
    return result;
  }

  // The clock settles promises only when it handles an event or starts a run.
  private async runUntil(end: Millis): Promise<void> {
    while (this.clock.now < end)
      await this.clock.runUntilSettled(Math.min(end, this.clock.now + STEP_MS));
  }

  private scheduleNext(account: string): void {
    this.clock.after(this.load.untilNext(account, this.clock.now), () => {
      if (this.clock.now >= this.endAt) return;
      this.send(account, 0);
      this.scheduleNext(account);
    });
  }

  private send(account: string, returns: number): void {
    const {clock, checker} = this;
    const sentAt = clock.now;
    const isWithin = checker.recordSent(account, sentAt);
    if (returns > 0) this.returned++;
    const node = Math.floor(this.random() * this.options.nodes);
    this.scheme.admit(node, account, outcome => {
      if (clock.now >= this.endAt) return;
      if (outcome.type === 'admitted') {
        checker.recordAdmitted(account);
        if (returns > 0) this.returnedAdmitted++;
        this.longestWaitMs = Math.max(this.longestWaitMs, clock.now - sentAt);
        clock.after(this.transferMs(), () =>
          checker.recordRan(account, {sentAt, arrivedAt: clock.now}),
        );
        return;
      }
      checker.recordRefused(account, isWithin, outcome.type);
      if (isWithin && outcome.type === 'unavailable')
        this.unavailableAt.push(clock.now - WARM_UP_MS);
      if (returns < (this.options.returns ?? 0))
        clock.after(outcome.retryAfterMs, () =>
          this.send(account, returns + 1),
        );
    });
  }

  /** Time from admission until a server starts the request. */
  private transferMs(): Millis {
    const isSlow = this.random() < SLOW_ARRIVAL_SHARE;
    return this.random() * (isSlow ? SLOW_ARRIVAL_MS : MAX_TRANSFER_MS);
  }

  private inject(fault: QuotaFault): void {
    const {fleet, options} = this;
    switch (fault.type) {
      case 'hot': {
        const {now} = this.clock;
        const account = `account-${fault.rank + 1}`;
        const {factor, forMs} = fault;
        this.load.heat({account, factor, from: now, until: now + forMs});
        return;
      }
      case 'cut':
        fleet?.cut(fault.domain, fault.forMs, fault.fromStore);
        return;
      case 'storeCut':
        fleet?.cutStore(fault.domain, fault.forMs);
        return;
      case 'restoreStore':
        fleet?.restoreStore();
        return;
      case 'restartFleet':
        for (let i = 0; i < options.nodes; i++) fleet?.kill(i, fault.forMs);
        return;
      case 'kill':
      case 'freeze': {
        if (fleet === undefined) return;
        const {allocators} = fleet;
        const index =
          (fault.allocator
            ? allocators[fault.pick % Math.max(1, allocators.length)]
            : undefined) ?? fault.pick % options.nodes;
        fleet[fault.type](index, fault.forMs);
        return;
      }
    }
  }

  private sizes(): SizeClass[] {
    const {rates} = this.load;
    const classes: readonly [string, number, number][] = [
      ['below 1/s', 0, 1],
      ['1 to 10/s', 1, 10],
      ['above 10/s', 10, Infinity],
    ];
    return classes.map(([name, from, to]) => {
      const members = [...rates].filter(
        ([, rate]) => from <= rate && rate < to,
      );
      const sum = (pick: (counts: AccountCounts) => number) =>
        members.reduce((total, [account]) => {
          const counts = this.checker.counts.get(account);
          return total + (counts === undefined ? 0 : pick(counts));
        }, 0);
      const withinCap = sum(counts => counts.withinCap);
      const percent = (count: number) =>
        Math.round((10_000 * count) / Math.max(1, withinCap)) / 100;
      return {
        name,
        withinCap,
        shortfallPercent: percent(
          sum(counts => Math.max(0, counts.withinCap - counts.admitted)),
        ),
        overCapPercent: percent(sum(counts => counts.withinOverCap)),
        unavailablePercent: percent(sum(counts => counts.withinUnavailable)),
      };
    });
  }
}
