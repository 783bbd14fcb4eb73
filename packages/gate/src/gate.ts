/** The only way to one server. */
import type {ErrorKind} from '@goldcresthill/errors';
import {invariant} from '@goldcresthill/types';
import type {
  LoadReport,
  Millis,
  ServerState,
  ServiceRules,
} from '@goldcresthill/types';
import {AdaptiveLimit} from './adaptive_limit';
import {Forecast} from './forecast';
import {RequestQueue} from './request_queue';

/** What the gate needs to know of a server. */
export interface GateOptions {
  readonly slots: number;
  readonly rules: ServiceRules;
  /** Off: the limit does not follow what the server sheds. */
  readonly adaptiveLimit?: boolean;
  /** Off: a request waits at this gate for all of its time. */
  readonly reroutesWaiting?: boolean;
  /** Off: the queue does not look at deadlines. */
  readonly deadlineAware?: boolean;
}

/** A request that asks to be run. */
export interface GateRequest {
  /** Names the request at this gate. */
  readonly ref: number;
  readonly deadline: Millis;
  /** Whether the same request was in flight at a server that died. */
  readonly suspect: boolean;
  /** Requests of one route take alike; empty if none is named. */
  readonly route: string;
  /** Rank of the call; 0 goes first. */
  readonly priority: number;
  /** Instant up to which an answer is worth its full value. */
  readonly objective: Millis;
  /** The caller was refused before. */
  readonly returning: boolean;
}

/** Answer to a request that has just arrived. */
export type Admission =
  | {readonly type: 'start'}
  | {
      readonly type: 'queued';
      /** A less urgent request that gave way and is to be refused. */
      readonly evicted: number | undefined;
    }
  | {readonly type: 'refuse'; readonly kind: ErrorKind};

/**
 * How a request ended at the server: `shed` for lack of room, `rejected` by a
 * server that says it has room.
 */
export type RequestOutcome = 'ok' | 'shed' | 'rejected' | 'failed';

/** What the owner of the sockets is to do next. */
export type GateCommand =
  | {readonly type: 'start'; readonly ref: number}
  | {readonly type: 'refuse'; readonly ref: number; readonly kind: ErrorKind}
  | {readonly type: 'drained'};

const PERCENT = 100;
/** Share of the time left that a request waits at one gate. */
const MAX_WAIT_FRACTION = 0.3;
/** What waits already leaves only if it is late without any margin. */
const NO_MARGIN = 1;

interface ArrivedRequest extends GateRequest {
  readonly arrivedAt: Millis;
}

interface QueuedRequest extends ArrivedRequest {
  /** When it is refused, so that another server gets the chance. */
  readonly refuseAt: Millis;
}

/**
 * Aggregate that owns the slots and the queue of one server. It counts every
 * request itself, so its in-flight figure is exact. Its commands are the only
 * cause of a request reaching the server.
 */
export class Gate {
  private readonly forecast = new Forecast();
  private readonly queue = new RequestQueue<QueuedRequest>();
  private readonly limit: AdaptiveLimit;
  private readonly slots: number;
  private rules: ServiceRules;
  private suspectCount = 0;
  private status: ServerState = 'up';
  private drainedReported = false;

  constructor(
    now: Millis,
    private readonly options: GateOptions,
  ) {
    this.rules = options.rules;
    this.slots = Math.max(1, Math.min(options.slots, options.rules.maxSlots));
    this.limit = new AdaptiveLimit({
      slots: this.usableSlots,
      startedAt: now,
      warmUpMs: options.rules.warmUpMs,
      adaptive: options.adaptiveLimit,
    });
  }

  /** Decides about a request that has arrived. */
  admit(now: Millis, request: GateRequest): Admission {
    const req = {...request, arrivedAt: now};
    const kind = this.refusalKind(now, req);
    if (kind !== undefined) return {type: 'refuse', kind};
    const mustWait = this.mustWait(now, req);
    if ((mustWait || this.forecast.isSlow) && this.missesObjective(now, req)) {
      return {type: 'refuse', kind: 'queueFull'};
    }
    if (!mustWait) {
      this.start(now, req);
      return {type: 'start'};
    }
    const evicted = this.evictFor(req);
    if (this.queue.size >= this.queueCapacity) {
      return {type: 'refuse', kind: 'queueFull'};
    }
    this.queue.add({...req, refuseAt: now + this.maxWaitMs(now, req)});
    if (req.suspect) this.suspectCount++;
    this.assertBounds();
    return {type: 'queued', evicted};
  }

  /** A request has left the server. */
  finish(now: Millis, ref: number, outcome: RequestOutcome): GateCommand[] {
    const {suspect} = this.forecast.finish(now, ref, outcome === 'ok');
    if (suspect) this.suspectCount--;
    if (outcome !== 'rejected') {
      this.limit.observe(now, outcome === 'shed', this.inFlight + 1);
    }
    return this.appendDrained(this.startQueued(now));
  }

  /** Takes a request out of the queue; false if it is not waiting there. */
  cancelQueued(ref: number): boolean {
    const req = this.queue.remove(ref);
    if (req === undefined) return false;
    if (req.suspect) this.suspectCount--;
    return true;
  }

  /** Refuses what has waited for too long and starts what may start; to be called every 100 ms or so. */
  advance(now: Millis): GateCommand[] {
    const commands: GateCommand[] = [];
    for (const req of this.queue) {
      if (req.refuseAt > now && !this.shouldReroute(now, req)) continue;
      this.cancelQueued(req.ref);
      commands.push({type: 'refuse', ref: req.ref, kind: 'queueFull'});
    }
    return this.appendDrained([...commands, ...this.startQueued(now)]);
  }

  /** Refuses everything from now on, and what waits; what runs goes on. */
  drain(): GateCommand[] {
    if (this.status === 'up') this.status = 'draining';
    return this.appendDrained(this.refuseQueued('draining'));
  }

  /** The server is gone: nothing more reaches it. */
  markDown(): GateCommand[] {
    this.status = 'down';
    return this.refuseQueued('serverUnreachable');
  }

  /** Returns a drained server to service, as when an operator takes a drain back. */
  undrain(): void {
    if (this.status !== 'draining') return;
    this.status = 'up';
    this.drainedReported = false;
  }

  /** Takes new rules; slots stay as announced. */
  configure(rules: ServiceRules): void {
    this.rules = rules;
    this.limit.configure(this.usableSlots, rules.warmUpMs);
  }

  /** The server says how many times longer than usual work takes that starts now. */
  updateSlowdown(now: Millis, slowdown: number): GateCommand[] {
    this.forecast.updateSlowdown(now, slowdown);
    return this.appendDrained(this.startQueued(now));
  }

  get hasQueued(): boolean {
    return this.queue.size > 0;
  }

  /** Whether the server is slower than it is otherwise. */
  get isSlow(): boolean {
    return this.forecast.isSlow;
  }

  /** Whether requests wait for the server to be as fast as usual again. */
  get isHolding(): boolean {
    return this.forecast.isSlow && this.queue.size > 0;
  }

  /** Load as this gate counts it. */
  report(now: Millis): LoadReport {
    return {
      inFlight: this.inFlight,
      queued: this.queue.size,
      limit: this.limit.current(now),
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

  private startQueued(now: Millis): GateCommand[] {
    const commands: GateCommand[] = [];
    while (this.hasSlot(now)) {
      const req = this.nextStartable(now);
      if (req === undefined) break;
      this.cancelQueued(req.ref);
      if (req.deadline <= now) {
        commands.push({type: 'refuse', ref: req.ref, kind: 'deadlineTooShort'});
        continue;
      }
      this.start(now, req);
      commands.push({type: 'start', ref: req.ref});
    }
    return commands;
  }

  private refusalKind(now: Millis, req: ArrivedRequest): ErrorKind | undefined {
    if (this.status === 'draining') return 'draining';
    if (this.status === 'down') return 'serverUnreachable';
    if (req.suspect && this.suspectCount > 0) return 'suspectBusy';
    if (req.deadline <= now) return 'deadlineTooShort';
    if (this.options.deadlineAware === false) return undefined;
    // A call that need not wait is run whatever the estimate says.
    if (this.mustWait(now, req) && this.expectedEnd(now, req) >= req.deadline) {
      return 'deadlineTooShort';
    }
    return undefined;
  }

  private mustWait(now: Millis, req: ArrivedRequest): boolean {
    if (!this.hasSlot(now) || !this.forecast.mayStart(now, req)) return true;
    return this.nextStartable(now) !== undefined;
  }

  private nextStartable(now: Millis): QueuedRequest | undefined {
    return this.queue.next(
      req => this.forecast.endIfStarted(now, req),
      req => this.forecast.mayStart(now, req),
    );
  }

  /** When a request is expected to end. */
  private expectedEnd(
    now: Millis,
    req: ArrivedRequest,
    margin?: number,
  ): Millis {
    const limit = this.limit.current(now);
    const ahead = this.queue.countAhead(req, other =>
      this.forecast.endIfStarted(now, other),
    );
    return this.forecast.expectedEnd(now, req, {ahead, limit, margin});
  }

  // A caller that has been refused before is not refused again for being late.
  private missesObjective(now: Millis, req: ArrivedRequest): boolean {
    if (this.options.deadlineAware === false || req.returning) return false;
    return this.expectedEnd(now, req) > req.objective;
  }

  // What waits here leaves while another server may still answer it in time.
  private shouldReroute(now: Millis, req: QueuedRequest): boolean {
    if (this.options.reroutesWaiting === false || req.returning) return false;
    if (req.objective >= req.deadline) return false;
    return this.expectedEnd(now, req, NO_MARGIN) > req.objective;
  }

  /** Takes a less urgent request out of a full queue. */
  private evictFor(req: GateRequest): number | undefined {
    if (this.queue.size < this.queueCapacity) return undefined;
    const victim = this.queue.evictionCandidate(req);
    if (victim === undefined) return undefined;
    this.cancelQueued(victim.ref);
    return victim.ref;
  }

  private maxWaitMs(now: Millis, req: ArrivedRequest): Millis {
    if (this.options.reroutesWaiting === false) return req.deadline - now;
    const latestStart = this.forecast.latestStart(req);
    const end = latestStart > now ? req.objective : req.deadline;
    const sharedMs = (end - now) * MAX_WAIT_FRACTION;
    if (!this.forecast.isSlow || end === req.deadline) return sharedMs;
    // It waits for the end of the spell, as long as it can be in time then.
    return Math.max(sharedMs, latestStart - now);
  }

  private get usableSlots(): number {
    const share = this.rules.slotPercent / PERCENT;
    return Math.max(1, Math.floor(this.slots * share));
  }

  private get queueCapacity(): number {
    return Math.ceil(this.rules.queuePerSlot * this.slots);
  }

  private hasSlot(now: Millis): boolean {
    return this.inFlight < this.limit.current(now);
  }

  private start(now: Millis, req: ArrivedRequest): void {
    invariant(
      this.status === 'up',
      'gate.drain',
      () => 'a start while leaving',
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
      () => `${this.queue.size} waiting, ${this.queueCapacity} allowed`,
    );
    invariant(
      this.suspectCount <= 1,
      'gate.suspects',
      () => `${this.suspectCount} suspects at one server`,
    );
  }
}
