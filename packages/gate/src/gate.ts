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
import {WorkClock} from './work_clock';
import {ServiceTime} from './service_time';

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
  /** Rank of the call; 0 goes first. */
  readonly priority: number;
  /** Instant up to which an answer is worth its full value. */
  readonly objective: Millis;
}

/** Answer to a request that has just arrived. */
export type Admission =
  | {readonly type: 'start'}
  | {readonly type: 'queued'}
  | {readonly type: 'refuse'; readonly kind: ErrorKind};

/** How a request ended at the server. */
export type Outcome = 'ok' | 'shed' | 'failed';

/** What the owner of the sockets is to do next. */
export type GateCommand =
  | {readonly type: 'start'; readonly ref: number}
  | {readonly type: 'refuse'; readonly ref: number; readonly kind: ErrorKind}
  | {readonly type: 'drained'};

const PERCENT = 100;
/** Share of the time left that a request waits at one gate. */
const QUEUE_SHARE = 0.3;

interface Waiting extends GateRequest {
  /** When it is refused, so that another server gets the chance. */
  readonly leaveAt: Millis;
}

interface Running {
  /** By the work clock, milliseconds. */
  readonly startedWork: Millis;
  readonly suspect: boolean;
}

/**
 * Aggregate that owns the slots and the queue of one server. It counts every
 * request itself, so its in-flight figure is exact. Its commands are the only
 * cause of a request reaching the server.
 */
export class Gate {
  private readonly running = new Map<number, Running>();
  private readonly queue = new Map<number, Waiting>();
  private readonly service = new ServiceTime();
  private readonly limit: AdaptiveLimit;
  private readonly slots: number;
  private rules: ServiceRules;
  private suspects = 0;
  private status: ServerState = 'up';
  private drainedTold = false;
  private readonly work: WorkClock;

  constructor(
    now: Millis,
    private readonly options: GateOptions,
  ) {
    this.rules = options.rules;
    this.work = new WorkClock(now);
    this.slots = Math.max(1, Math.min(options.slots, options.rules.maxSlots));
    const {slotPercent} = options.rules;
    this.limit = new AdaptiveLimit({
      slots: Math.max(1, Math.floor((this.slots * slotPercent) / PERCENT)),
      startedAt: now,
      warmUpMs: options.rules.warmUpMs,
      adaptive: options.adaptive,
    });
  }

  /** Decides about a request that has arrived. */
  admit(now: Millis, req: GateRequest): Admission {
    const kind = this.refusal(now, req);
    if (kind !== undefined) return {type: 'refuse', kind};
    if (this.queue.size === 0 && this.hasSlot(now)) {
      this.start(now, req);
      return {type: 'start'};
    }
    if (this.queue.size >= this.queueBound) {
      return {type: 'refuse', kind: 'queueFull'};
    }
    const share = this.options.reroutesWaiting === false ? 1 : QUEUE_SHARE;
    const patienceMs = (req.deadline - now) * share;
    this.queue.set(req.ref, {...req, leaveAt: now + patienceMs});
    if (req.suspect) this.suspects++;
    this.assertBounds();
    return {type: 'queued'};
  }

  /** A request has left the server. */
  finish(now: Millis, ref: number, outcome: Outcome): GateCommand[] {
    const run = this.running.get(ref);
    invariant(run !== undefined, 'gate.finish', () => `${ref} is not running`);
    this.running.delete(ref);
    if (run.suspect) this.suspects--;
    this.service.finish(this.work.at(now), run.startedWork, outcome === 'ok');
    this.limit.observe(now, outcome === 'shed', this.running.size + 1);
    return this.withDrained(this.startWaiting(now));
  }

  /** Takes a request out of the queue; false if it is not waiting there. */
  cancelQueued(ref: number): boolean {
    const req = this.queue.get(ref);
    if (req === undefined) return false;
    this.queue.delete(ref);
    if (req.suspect) this.suspects--;
    return true;
  }

  /** Refuses what has waited for too long and starts what may start; to be called every 100 ms or so. */
  advance(now: Millis): GateCommand[] {
    const commands: GateCommand[] = [];
    for (const req of this.queue.values()) {
      if (req.leaveAt > now) continue;
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
    this.limit.configure(rules.warmUpMs);
  }

  /** The server says how many times longer than usual work takes now. */
  learnSlowdown(now: Millis, slowdown: number): void {
    this.work.setSlowdown(now, slowdown);
  }

  /** Load as this gate counts it. */
  report(now: Millis): LoadReport {
    return {
      inFlight: this.running.size,
      queued: this.queue.size,
      limit: this.limit.current(now),
      serviceUs: Math.round(this.service.estimateUs(this.work.at(now))),
      slowdown: this.work.slowdown,
      state: this.status,
    };
  }

  get state(): ServerState {
    return this.status;
  }

  get inFlight(): number {
    return this.running.size;
  }

  private startWaiting(now: Millis): GateCommand[] {
    const commands: GateCommand[] = [];
    for (const req of this.queue.values()) {
      if (!this.hasSlot(now)) break;
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

  private refusal(now: Millis, req: GateRequest): ErrorKind | undefined {
    if (this.status === 'draining') return 'draining';
    if (this.status === 'down') return 'serverUnreachable';
    if (req.suspect && this.suspects > 0) return 'suspectBusy';
    if (req.deadline <= now) return 'deadlineTooShort';
    if (this.options.deadlineAware === false) return undefined;
    const endsAt = now + this.expectedTimeMs(now);
    if (endsAt >= req.deadline) return 'deadlineTooShort';
    return undefined;
  }

  // A call that need not wait is run whatever the estimate says.
  private expectedTimeMs(now: Millis): number {
    const limit = this.limit.current(now);
    const ahead = this.running.size + this.queue.size + 1 - limit;
    if (ahead <= 0) return 0;
    const turnMs = this.service.finishedMs * this.work.slowdown;
    return (ahead / limit + 1) * turnMs;
  }

  private get queueBound(): number {
    return Math.ceil(this.rules.queuePerSlot * this.slots);
  }

  private hasSlot(now: Millis): boolean {
    return this.running.size < this.limit.current(now);
  }

  private start(now: Millis, req: GateRequest): void {
    invariant(
      this.status === 'up',
      'gate.drain',
      () => 'a start while leaving',
    );
    this.running.set(req.ref, {
      startedWork: this.work.at(now),
      suspect: req.suspect,
    });
    if (req.suspect) this.suspects++;
    this.service.start(this.work.at(now));
    this.assertBounds();
  }

  private refuseQueue(kind: ErrorKind): GateCommand[] {
    const commands: GateCommand[] = [];
    for (const ref of [...this.queue.keys()]) {
      this.cancelQueued(ref);
      commands.push({type: 'refuse', ref, kind});
    }
    return commands;
  }

  private withDrained(commands: GateCommand[]): GateCommand[] {
    const idle = this.running.size === 0 && this.queue.size === 0;
    if (this.status === 'draining' && idle && !this.drainedTold) {
      this.drainedTold = true;
      commands.push({type: 'drained'});
    }
    return commands;
  }

  private assertBounds(): void {
    invariant(
      this.running.size <= this.slots,
      'gate.slots',
      () => `${this.running.size} running on ${this.slots} slots`,
    );
    invariant(
      this.queue.size <= Math.max(this.queueBound, 1),
      'gate.queue',
      () => `${this.queue.size} waiting, ${this.queueBound} allowed`,
    );
    invariant(
      this.suspects <= 1,
      'gate.suspects',
      () => `${this.suspects} suspects at one server`,
    );
  }
}
