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
import {WaitingLine} from './waiting_line';

/** What the gate needs to know of a server. */
export interface GateOptions {
  readonly slots: number;
  readonly rules: ServiceRules;
  /** Off: the limit does not follow what the server sheds. */
  readonly adaptive?: boolean;
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
export type Outcome = 'ok' | 'shed' | 'rejected' | 'failed';

/** What the owner of the sockets is to do next. */
export type GateCommand =
  | {readonly type: 'start'; readonly ref: number}
  | {readonly type: 'refuse'; readonly ref: number; readonly kind: ErrorKind}
  | {readonly type: 'drained'};

const PERCENT = 100;
/** Share of the time left that a request waits at one gate. */
const QUEUE_SHARE = 0.3;
/** What waits already leaves only if it is late without any margin. */
const NO_MARGIN = 1;

interface Arrival extends GateRequest {
  readonly arrivedAt: Millis;
}

interface QueuedRequest extends Arrival {
  /** When it is refused, so that another server gets the chance. */
  readonly leaveAt: Millis;
}

/**
 * Aggregate that owns the slots and the queue of one server. It counts every
 * request itself, so its in-flight figure is exact. Its commands are the only
 * cause of a request reaching the server.
 */
export class Gate {
  private readonly forecast = new Forecast();
  private readonly line = new WaitingLine<QueuedRequest>();
  private readonly limit: AdaptiveLimit;
  private readonly slots: number;
  private rules: ServiceRules;
  private suspects = 0;
  private status: ServerState = 'up';
  private drainedTold = false;

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
      adaptive: options.adaptive,
    });
  }

  /** Decides about a request that has arrived. */
  admit(now: Millis, request: GateRequest): Admission {
    const req = {...request, arrivedAt: now};
    const kind = this.refusal(now, req);
    if (kind !== undefined) return {type: 'refuse', kind};
    const mustWait = this.mustWait(now, req);
    if ((mustWait || this.forecast.isSlow) && this.isTooLate(now, req)) {
      return {type: 'refuse', kind: 'queueFull'};
    }
    if (!mustWait) {
      this.start(now, req);
      return {type: 'start'};
    }
    const evicted = this.makeRoom(req);
    if (this.line.size >= this.queueBound) {
      return {type: 'refuse', kind: 'queueFull'};
    }
    this.line.add({...req, leaveAt: now + this.patienceMs(now, req)});
    if (req.suspect) this.suspects++;
    this.assertBounds();
    return {type: 'queued', evicted};
  }

  /** A request has left the server. */
  finish(now: Millis, ref: number, outcome: Outcome): GateCommand[] {
    const {suspect} = this.forecast.finish(now, ref, outcome === 'ok');
    if (suspect) this.suspects--;
    if (outcome !== 'rejected') {
      this.limit.observe(now, outcome === 'shed', this.inFlight + 1);
    }
    return this.withDrained(this.startWaiting(now));
  }

  /** Takes a request out of the queue; false if it is not waiting there. */
  cancelQueued(ref: number): boolean {
    const req = this.line.remove(ref);
    if (req === undefined) return false;
    if (req.suspect) this.suspects--;
    return true;
  }

  /** Refuses what has waited for too long and starts what may start; to be called every 100 ms or so. */
  advance(now: Millis): GateCommand[] {
    const commands: GateCommand[] = [];
    for (const req of this.line) {
      if (req.leaveAt > now && !this.hasBecomeLate(now, req)) continue;
      this.cancelQueued(req.ref);
      commands.push({type: 'refuse', ref: req.ref, kind: 'queueFull'});
    }
    return this.withDrained([...commands, ...this.startWaiting(now)]);
  }

  /** Refuses everything from now on, and what waits; what runs goes on. */
  drain(): GateCommand[] {
    if (this.status === 'up') this.status = 'draining';
    return this.withDrained(this.refuseQueue('draining'));
  }

  /** The server is gone: nothing more reaches it. */
  markDown(): GateCommand[] {
    this.status = 'down';
    return this.refuseQueue('serverUnreachable');
  }

  /** Returns a drained server to service, as when an operator takes a drain back. */
  undrain(): void {
    if (this.status !== 'draining') return;
    this.status = 'up';
    this.drainedTold = false;
  }

  /** Takes new rules; slots stay as announced. */
  configure(rules: ServiceRules): void {
    this.rules = rules;
    this.limit.configure(this.usableSlots, rules.warmUpMs);
  }

  /** The server says how many times longer than usual work takes that starts now. */
  learnSlowdown(now: Millis, slowdown: number): GateCommand[] {
    this.forecast.learnSlowdown(now, slowdown);
    return this.withDrained(this.startWaiting(now));
  }

  get hasWaiting(): boolean {
    return this.line.size > 0;
  }

  /** Whether the server is slower than it is otherwise. */
  get isSlow(): boolean {
    return this.forecast.isSlow;
  }

  /** Whether requests wait for the server to be as fast as usual again. */
  get isHolding(): boolean {
    return this.forecast.isSlow && this.line.size > 0;
  }

  /** Load as this gate counts it. */
  report(now: Millis): LoadReport {
    return {
      inFlight: this.inFlight,
      queued: this.line.size,
      limit: this.limit.current(now),
      ...this.forecast.speed(now),
      state: this.status,
    };
  }

  get state(): ServerState {
    return this.status;
  }

  get inFlight(): number {
    return this.forecast.inFlight;
  }

  private startWaiting(now: Millis): GateCommand[] {
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

  private refusal(now: Millis, req: Arrival): ErrorKind | undefined {
    if (this.status === 'draining') return 'draining';
    if (this.status === 'down') return 'serverUnreachable';
    if (req.suspect && this.suspects > 0) return 'suspectBusy';
    if (req.deadline <= now) return 'deadlineTooShort';
    if (this.options.deadlineAware === false) return undefined;
    // A call that need not wait is run whatever the estimate says.
    if (this.mustWait(now, req) && this.expectedEnd(now, req) >= req.deadline) {
      return 'deadlineTooShort';
    }
    return undefined;
  }

  private mustWait(now: Millis, req: Arrival): boolean {
    if (!this.hasSlot(now) || !this.forecast.mayStart(now, req)) return true;
    return this.nextStartable(now) !== undefined;
  }

  private nextStartable(now: Millis): QueuedRequest | undefined {
    return this.line.next(
      req => this.forecast.endIfStarted(now, req),
      req => this.forecast.mayStart(now, req),
    );
  }

  /** When a request is expected to end. */
  private expectedEnd(now: Millis, req: Arrival, margin?: number): Millis {
    const limit = this.limit.current(now);
    const ahead = this.line.countBefore(req, other =>
      this.forecast.endIfStarted(now, other),
    );
    return this.forecast.expectedEnd(now, req, {ahead, limit, margin});
  }

  // A caller that has been refused before is not refused again for being late.
  private isTooLate(now: Millis, req: Arrival): boolean {
    if (this.options.deadlineAware === false || req.returning) return false;
    return this.expectedEnd(now, req) > req.objective;
  }

  // What waits here leaves while another server may still answer it in time.
  private hasBecomeLate(now: Millis, req: QueuedRequest): boolean {
    if (this.options.reroutesWaiting === false || req.returning) return false;
    if (req.objective >= req.deadline) return false;
    return this.expectedEnd(now, req, NO_MARGIN) > req.objective;
  }

  /** Takes a less urgent request out of a full queue. */
  private makeRoom(req: GateRequest): number | undefined {
    if (this.line.size < this.queueBound) return undefined;
    const victim = this.line.leastUrgent(req);
    if (victim === undefined) return undefined;
    this.cancelQueued(victim.ref);
    return victim.ref;
  }

  private patienceMs(now: Millis, req: Arrival): Millis {
    if (this.options.reroutesWaiting === false) return req.deadline - now;
    const latestStart = this.forecast.latestStart(req);
    const end = latestStart > now ? req.objective : req.deadline;
    const sharedMs = (end - now) * QUEUE_SHARE;
    if (!this.forecast.isSlow || end === req.deadline) return sharedMs;
    // It waits for the end of the spell, as long as it can be in time then.
    return Math.max(sharedMs, latestStart - now);
  }

  private get usableSlots(): number {
    const share = this.rules.slotPercent / PERCENT;
    return Math.max(1, Math.floor(this.slots * share));
  }

  private get queueBound(): number {
    return Math.ceil(this.rules.queuePerSlot * this.slots);
  }

  private hasSlot(now: Millis): boolean {
    return this.inFlight < this.limit.current(now);
  }

  private start(now: Millis, req: Arrival): void {
    invariant(
      this.status === 'up',
      'gate.drain',
      () => 'a start while leaving',
    );
    this.forecast.start(now, req.ref, req);
    if (req.suspect) this.suspects++;
    this.assertBounds();
  }

  private refuseQueue(kind: ErrorKind): GateCommand[] {
    const commands: GateCommand[] = [];
    for (const {ref} of this.line) {
      this.cancelQueued(ref);
      commands.push({type: 'refuse', ref, kind});
    }
    return commands;
  }

  private withDrained(commands: GateCommand[]): GateCommand[] {
    const idle = this.inFlight === 0 && this.line.size === 0;
    if (this.status === 'draining' && idle && !this.drainedTold) {
      this.drainedTold = true;
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
      this.line.size <= Math.max(this.queueBound, 1),
      'gate.queue',
      () => `${this.line.size} waiting, ${this.queueBound} allowed`,
    );
    invariant(
      this.suspects <= 1,
      'gate.suspects',
      () => `${this.suspects} suspects at one server`,
    );
  }
}
