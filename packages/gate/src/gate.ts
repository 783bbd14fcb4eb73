/** Admission control for one server. */
import type {ErrorKind} from '@goldcresthill/errors';
import {invariant} from '@goldcresthill/types';
import type {
  LoadReport,
  Mechanism,
  Millis,
  ServerState,
  ServiceRules,
} from '@goldcresthill/types';
import {AdaptiveLimit} from './adaptive_limit';
import type {AdaptiveLimitOptions} from './adaptive_limit';
import type {ColdRate} from './cold_limit';
import {Forecast} from './forecast';
import {RequestRateLimit} from './request_rate_limit';
import {RequestQueue} from './request_queue';

/** Options of {@link Gate}. */
export interface GateOptions {
  /** Concurrent requests that the server announced. */
  readonly slots: number;
  readonly rules: ServiceRules;
  /** Latest time at which requests that this gate does not know of may have started at the server; none by default. */
  readonly usedAt?: Millis;
}

/** A request that asks for admission. */
export interface GateRequest {
  /** Identifies the request at this gate. */
  readonly ref: number;
  readonly deadline: Millis;
  /** Whether the same request was in flight at a server that crashed; only one suspect is admitted at a time. */
  readonly suspect: boolean;
  /** Requests of one route are expected to take similar times; empty if the request has no route. */
  readonly route: string;
  /** Priority of the call; 0 is the most urgent. */
  readonly priority: number;
  /** Latest time at which an answer still has its full value. */
  readonly objective: Millis;
  /** Whether the caller was refused before. */
  readonly returning: boolean;
  /** Whether it is refused rather than started if it is not expected to end by its deadline; false by default. */
  readonly mustEnd?: boolean;
}

/** Decision about a request that has just arrived. */
export type Admission =
  | {readonly type: 'start'}
  | {
      readonly type: 'queued';
      /** Reference of a less urgent request that was removed from the queue to make room; the caller must refuse it. */
      readonly evicted: number | undefined;
    }
  | {readonly type: 'refuse'; readonly kind: ErrorKind};

/**
 * How a request ended at the server: `shed` if the server had no free slot,
 * `rejected` if it refused the request although it reports a free slot.
 */
export type RequestOutcome = 'ok' | 'shed' | 'rejected' | 'failed';

/** An action that the owner of the connections must carry out. */
export type GateCommand =
  | {readonly type: 'start'; readonly ref: number}
  | {readonly type: 'refuse'; readonly ref: number; readonly kind: ErrorKind}
  | {readonly type: 'drained'};

const PERCENT = 100;
/** Reference of a request that no queue contains. */
const UNREGISTERED_REF = -1;
/** Fraction of the remaining time that a request may wait at one gate. */
const MAX_WAIT_FRACTION = 0.3;
/** A queued request is rerouted only if it would miss its objective even without a margin on its service time. */
const NO_MARGIN = 1;

interface ArrivedRequest extends GateRequest {
  readonly arrivedAt: Millis;
}

interface QueuedRequest extends ArrivedRequest {
  /** When the request is refused here, so that it can still be tried at another server. */
  readonly refuseAt: Millis;
}

/**
 * Owns the slots and the queue of one server. It counts every request itself,
 * so its in-flight count is exact. A request reaches the server only through an
 * admission or a command of its gate.
 */
export class Gate {
  private readonly forecast = new Forecast();
  private readonly queue = new RequestQueue<QueuedRequest>();
  private readonly limit: AdaptiveLimit;
  private readonly rateLimit: RequestRateLimit;
  private readonly slots: number;
  private rules: ServiceRules;
  private suspectCount = 0;
  private status: ServerState = 'up';
  private drainedReported = false;

  constructor(now: Millis, options: GateOptions) {
    this.rules = options.rules;
    this.slots = Math.max(1, Math.min(options.slots, options.rules.maxSlots));
    this.limit = new AdaptiveLimit({startedAt: now, ...this.limitOptions});
    this.rateLimit = new RequestRateLimit(options.usedAt);
    this.rateLimit.configureCold(this.coldRate);
  }

  /** Decides whether an arriving request starts, is queued or is refused. */
  admit(now: Millis, request: GateRequest): Admission {
    const req = {...request, arrivedAt: now};
    const mustWait = this.mustWait(now, req);
    const kind = this.refusalKind(now, req, mustWait);
    if (kind !== undefined) return {type: 'refuse', kind};
    if (!mustWait) {
      this.start(now, req);
      return {type: 'start'};
    }
    const evicted = this.evictFor(req);
    this.queue.add({...req, refuseAt: now + this.maxWaitMs(now, req)});
    if (req.suspect) this.suspectCount++;
    this.assertBounds();
    return {type: 'queued', evicted};
  }

  /** Whether a request that arrives now would be admitted. */
  accepts(now: Millis, request: Omit<GateRequest, 'ref'>): boolean {
    const req = {...request, ref: UNREGISTERED_REF, arrivedAt: now};
    return this.refusalKind(now, req, this.mustWait(now, req)) === undefined;
  }

  /** Releases the slot of a request that has ended at the server. */
  finish(now: Millis, ref: number, outcome: RequestOutcome): GateCommand[] {
    const {suspect} = this.forecast.finish(now, ref, outcome === 'ok');
    if (suspect) this.suspectCount--;
    if (outcome !== 'rejected') {
      this.limit.observe(now, outcome === 'shed', this.inFlight + 1);
    }
    return this.appendDrained(this.startQueued(now));
  }

  /** Removes a request from the queue; returns false if it is not queued. */
  cancelQueued(ref: number): boolean {
    const req = this.queue.remove(ref);
    if (req === undefined) return false;
    if (req.suspect) this.suspectCount--;
    return true;
  }

  /** Refuses queued requests that have waited too long and starts those that may start. Call it about every 100 ms. */
  advance(now: Millis): GateCommand[] {
    const commands: GateCommand[] = [];
    for (const req of this.queue) {
      if (req.refuseAt > now && !this.shouldReroute(now, req)) continue;
      this.cancelQueued(req.ref);
      commands.push({type: 'refuse', ref: req.ref, kind: 'queueFull'});
    }
    return this.appendDrained([...commands, ...this.startQueued(now)]);
  }

  /** Refuses queued and new requests from now on; running requests continue. */
  drain(): GateCommand[] {
    if (this.status === 'up') this.status = 'draining';
    return this.appendDrained(this.refuseQueued('draining'));
  }

  /** Refuses queued and new requests because the server is gone. */
  markDown(): GateCommand[] {
    this.status = 'down';
    return this.refuseQueued('serverUnreachable');
  }

  /** Returns a draining or drained server to service, for example when an operator cancels the drain. */
  undrain(): void {
    if (this.status !== 'draining') return;
    this.status = 'up';
    this.drainedReported = false;
  }

  /** Applies new rules; the slots stay as announced by the server. */
  configure(rules: ServiceRules): void {
    this.rules = rules;
    this.limit.configure(this.limitOptions);
    this.rateLimit.configureCold(this.coldRate);
  }

  /** Records the slowdown that the server reports: how many times longer than usual a request takes that starts now. */
  updateSlowdown(now: Millis, slowdown: number): GateCommand[] {
    this.forecast.updateSlowdown(now, slowdown);
    return this.appendDrained(this.startQueued(now));
  }

  /** Applies the rate limit that the server advertises, requests per second; undefined if it advertises none. */
  limitRate(now: Millis, perSecond: number | undefined): GateCommand[] {
    this.rateLimit.configure(now, perSecond);
    return this.appendDrained(this.startQueued(now));
  }

  /**
   * Records that the server stays cold for a time, milliseconds. Queued requests
   * that may not start now are refused, so that another server can run them.
   */
  setCold(now: Millis, coldMs: Millis): GateCommand[] {
    this.rateLimit.setCold(now, coldMs);
    const commands = this.startQueued(now);
    if (this.rateLimit.isColdLimited(now))
      commands.push(...this.refuseQueued('queueFull'));
    return this.appendDrained(commands);
  }

  /** Whether the server is cold, as far as is known. */
  isCold(now: Millis): boolean {
    return this.rateLimit.isCold(now);
  }

  /** The rate limit that the server advertises, requests per second; undefined if it advertises none. */
  get advertisedRate(): number | undefined {
    return this.rateLimit.rate;
  }

  /** Counts a load check of the server; returns false if its rate limit does not allow one now. */
  takeLoadCheck(now: Millis): boolean {
    return this.rateLimit.takeCheck(now);
  }

  /** Time until the server's rate limit allows the next request, milliseconds. */
  rateWaitMs(now: Millis): Millis {
    return this.rateLimit.waitMs(now, 0);
  }

  get hasQueued(): boolean {
    return this.queue.size > 0;
  }

  /** Whether the server is in a slow period. */
  get isSlow(): boolean {
    return this.forecast.isSlow;
  }

  /** Whether requests are queued during a slow period. */
  get isHolding(): boolean {
    return this.forecast.isSlow && this.queue.size > 0;
  }

  /** Load report as counted by this gate. */
  report(now: Millis): LoadReport {
    return {
      inFlight: this.inFlight,
      queued: this.queue.size,
      limit: this.reportedLimit(now),
      ...this.forecast.reportFields(now),
      state: this.status,
    };
  }

  get state(): ServerState {
    return this.status;
  }

  get inFlight(): number {
    return this.forecast.inFlight;
  }

  // Gateways take a server for full whose report shows no free slot, and for free if it shows one.
  private reportedLimit(now: Millis): number {
    const limit = this.limit.current(now);
    return Math.min(limit, this.inFlight + this.rateLimit.startable(now));
  }

  private startQueued(now: Millis): GateCommand[] {
    const commands: GateCommand[] = [];
    while (this.hasSlot(now)) {
      const req = this.nextStartable(now);
      if (req === undefined) break;
      this.cancelQueued(req.ref);
      if (this.isTooLate(now, req)) {
        commands.push({type: 'refuse', ref: req.ref, kind: 'deadlineTooShort'});
        continue;
      }
      this.start(now, req);
      commands.push({type: 'start', ref: req.ref});
    }
    return commands;
  }

  private refusalKind(
    now: Millis,
    req: ArrivedRequest,
    mustWait: boolean,
  ): ErrorKind | undefined {
    if (this.status === 'draining') return 'draining';
    if (this.status === 'down') return 'serverUnreachable';
    if (req.suspect && this.suspectCount > 0) return 'suspectBusy';
    if (this.isTooLate(now, req)) return 'deadlineTooShort';
    // A queue in front of a cold server would only delay requests that another one can run.
    if (this.rateLimit.isColdLimited(now)) return 'queueFull';
    const mayMissObjective = mustWait || this.forecast.isSlow;
    if (this.isOn('deadlineCheck') && mayMissObjective) {
      const end = this.expectedEnd(now, req);
      // A request that can start at once runs regardless of its deadline.
      if (mustWait && end >= req.deadline) return 'deadlineTooShort';
      // A caller that was refused before is not refused again for missing its objective.
      if (!req.returning && end > req.objective) return 'queueFull';
    }
    return mustWait && this.isQueueFullFor(req) ? 'queueFull' : undefined;
  }

  private isTooLate(now: Millis, req: ArrivedRequest): boolean {
    if (req.deadline <= now) return true;
    return req.mustEnd === true && !this.forecast.endsByDeadline(now, req);
  }

  private mustWait(now: Millis, req: ArrivedRequest): boolean {
    if (!this.hasSlot(now) || !this.mayStart(now, req)) return true;
    return this.nextStartable(now) !== undefined;
  }

  private nextStartable(now: Millis): QueuedRequest | undefined {
    return this.queue.next(
      req => this.forecast.endIfStarted(now, req),
      req => this.mayStart(now, req),
    );
  }

  /** When a request is expected to end, counting the requests ahead of it. */
  private expectedEnd(
    now: Millis,
    req: ArrivedRequest,
    margin?: number,
  ): Millis {
    const limit = this.limit.current(now);
    const ahead = this.queue.countAhead(req, other =>
      this.forecast.endIfStarted(now, other),
    );
    const end = this.forecast.expectedEnd(now, req, {ahead, limit, margin});
    const rateWaitMs = this.rateLimit.waitMs(now, ahead);
    if (rateWaitMs === 0) return end;
    return Math.max(end, this.forecast.endIfStarted(now, req) + rateWaitMs);
  }

  // Reroutes a queued request while another server can still answer it in time.
  private shouldReroute(now: Millis, req: QueuedRequest): boolean {
    if (!this.isOn('leavingQueues') || req.returning) return false;
    if (req.objective >= req.deadline) return false;
    return this.expectedEnd(now, req, NO_MARGIN) > req.objective;
  }

  private isQueueFullFor(req: ArrivedRequest): boolean {
    if (this.queue.size < this.queueCapacity) return false;
    return this.queue.evictionCandidate(req) === undefined;
  }

  /** Removes a less urgent request from a full queue and returns its reference. */
  private evictFor(req: GateRequest): number | undefined {
    if (this.queue.size < this.queueCapacity) return undefined;
    const victim = this.queue.evictionCandidate(req);
    if (victim === undefined) return undefined;
    this.cancelQueued(victim.ref);
    return victim.ref;
  }

  private maxWaitMs(now: Millis, req: ArrivedRequest): Millis {
    if (!this.isOn('leavingQueues')) return req.deadline - now;
    const latestStart = this.forecast.latestStart(req);
    const end = latestStart > now ? req.objective : req.deadline;
    const sharedMs = (end - now) * MAX_WAIT_FRACTION;
    if (!this.forecast.isSlow || end === req.deadline) return sharedMs;
    // It may wait for the end of the slow period as long as it can then still meet its objective.
    return Math.max(sharedMs, latestStart - now);
  }

  private mayStart(now: Millis, req: ArrivedRequest): boolean {
    return !this.isOn('slowPeriods') || this.forecast.mayStart(now, req);
  }

  private isOn(mechanism: Mechanism): boolean {
    return !this.rules.disabled.includes(mechanism);
  }

  private get limitOptions(): Omit<AdaptiveLimitOptions, 'startedAt'> {
    return {
      slots: this.usableSlots,
      warmUpMs: this.rules.warmUpMs,
      adaptive: this.isOn('shedLimit'),
    };
  }

  private get coldRate(): ColdRate {
    const {coldRequestsPerSecond, coldBurst} = this.rules;
    return {perSecond: coldRequestsPerSecond, burst: coldBurst};
  }

  private get usableSlots(): number {
    const share = this.rules.slotPercent / PERCENT;
    return Math.max(1, Math.floor(this.slots * share));
  }

  private get queueCapacity(): number {
    return Math.ceil(this.rules.queuePerSlot * this.slots);
  }

  private hasSlot(now: Millis): boolean {
    return (
      this.inFlight < this.limit.current(now) &&
      this.rateLimit.startable(now) > 0
    );
  }

  private start(now: Millis, req: ArrivedRequest): void {
    invariant(
      this.status === 'up',
      'gate.drain',
      () => 'started a request at a server that is not up',
    );
    const isWithinRate = this.rateLimit.take(now);
    invariant(
      isWithinRate,
      'gate.rate',
      () => 'started a request above the rate limit of the server',
    );
    this.forecast.start(now, req.ref, req);
    if (req.suspect) this.suspectCount++;
    this.assertBounds();
  }

  private refuseQueued(kind: ErrorKind): GateCommand[] {
    const commands: GateCommand[] = [];
    for (const {ref} of this.queue) {
      this.cancelQueued(ref);
      commands.push({type: 'refuse', ref, kind});
    }
    return commands;
  }

  private appendDrained(commands: GateCommand[]): GateCommand[] {
    const idle = this.inFlight === 0 && this.queue.size === 0;
    if (this.status === 'draining' && idle && !this.drainedReported) {
      this.drainedReported = true;
      commands.push({type: 'drained'});
    }
    return commands;
  }

  private assertBounds(): void {
    invariant(
      this.inFlight <= this.slots,
      'gate.slots',
      () => `${this.inFlight} running on ${this.slots} slots`,
    );
    invariant(
      this.queue.size <= Math.max(this.queueCapacity, 1),
      'gate.queue',
      () => `${this.queue.size} queued, ${this.queueCapacity} allowed`,
    );
    invariant(
      this.suspectCount <= 1,
      'gate.suspects',
      () => `${this.suspectCount} suspects at one server`,
    );
  }
}
