/** When requests are expected to start and to end at one server. */
import type {LoadReport, Millis} from '@goldcresthill/types';
import {RunningRequests} from './running_requests';
import type {RunningRequest} from './running_requests';
import {SlowSpells} from './slow_spells';
import {WorkTimes} from './work_times';

/** What the forecast needs to know of a request. */
export interface PlannedRequest {
  /** Requests of one route take alike; empty if none is named. */
  readonly route: string;
  readonly arrivedAt: Millis;
  /** Instant up to which an answer is worth its full value. */
  readonly objective: Millis;
  readonly deadline: Millis;
}

/** Where a request stands in line. */
export interface Place {
  /** Requests that go before it. */
  readonly ahead: number;
  /** Requests that may run at once. */
  readonly limit: number;
  /** How many times its average the request's work is planned with. */
  readonly margin?: number;
}

/** Half of all work takes longer than its average. */
const DEFAULT_MARGIN = 1.2;
/** Each turn ahead of a late request counts that many times, as those in time overtake it. */
const LATE_TURNS = 3;
/** Work is expected to take this share of the time to the objective while nothing is known of it. */
const UNKNOWN_WORK_SHARE = 0.35;
/** What a server has told of its usual time holds for that long after its last answer, milliseconds. */
const USUAL_MEMORY_MS = 1_000;
/** A server is stuck when the mean age of its requests is this many averages. */
const STUCK_RATIO = 4;
const MICROS_PER_MILLI = 1_000;

/** Joins what runs at a server with its speed and the work of its routes. */
export class Forecast {
  private readonly running = new RunningRequests();
  private readonly work = new WorkTimes();
  private readonly spells = new SlowSpells();

  /** The server says how many times longer than usual work takes that starts now. */
  learnSlowdown(now: Millis, slowdown: number): void {
    this.spells.learn(now, slowdown);
  }

  /** A request starts, at the server's present speed. */
  start(
    now: Millis,
    ref: number,
    {suspect, ...req}: PlannedRequest & {readonly suspect: boolean},
  ): void {
    const {slowdown} = this.spells;
    const endsAt = this.endIfStarted(now, req);
    const {route} = req;
    this.running.add(ref, {route, startedAt: now, slowdown, endsAt, suspect});
  }

  /** A request has ended; one that failed teaches nothing of how long work takes. */
  finish(now: Millis, ref: number, teaches: boolean): RunningRequest {
    const run = this.running.remove(ref);
    const took = (now - run.startedAt) / run.slowdown;
    if (teaches) this.work.learn(now, run.route, took);
    return run;
  }

  get inFlight(): number {
    return this.running.size;
  }

  get isSlow(): boolean {
    return this.spells.isSlow;
  }

  /** What gateways are told of the server's speed. */
  speed(now: Millis): Pick<LoadReport, 'serviceUs' | 'slowdown'> {
    const serviceUs = Math.round(this.usualMs(now) * MICROS_PER_MILLI);
    return {serviceUs, slowdown: this.spells.slowdown};
  }

  /**
   * Whether a request may start at the server's present speed. One that would
   * be late, and hold its slot for long, waits for the spell of slowness to end.
   */
  mayStart(now: Millis, req: PlannedRequest): boolean {
    if (!this.spells.isSlow) return true;
    if (this.endIfStarted(now, req) <= req.objective) return true;
    const afterMs = this.workMs(req) * this.spells.slowdownAfter;
    return now + this.spells.expectedRest(now) + afterMs > req.deadline;
  }

  endIfStarted(now: Millis, req: PlannedRequest): Millis {
    return now + this.workMs(req) * this.spells.slowdown;
  }

  /** When a request is expected to end from its place in line. */
  expectedEnd(now: Millis, req: PlannedRequest, place: Place): Millis {
    const startAt = this.expectedStart(now, req, place);
    const workMs = this.workMs(req) * (place.margin ?? DEFAULT_MARGIN);
    const slowEnd = startAt + workMs * this.spells.slowdown;
    if (!this.spells.isSlow || slowEnd <= req.objective) return slowEnd;
    const spellEnd = now + this.spells.expectedRest(now);
    const afterMs = workMs * this.spells.slowdownAfter;
    return Math.min(slowEnd, Math.max(startAt, spellEnd) + afterMs);
  }

  /** Latest instant at which a request can start, out of a spell, and be in time. */
  latestStart(req: PlannedRequest): Millis {
    return req.objective - this.workMs(req) * this.spells.slowdownAfter;
  }

  private expectedStart(
    now: Millis,
    req: PlannedRequest,
    {ahead, limit}: Place,
  ): Millis {
    const isLate = this.endIfStarted(now, req) > req.objective;
    const before = isLate ? ahead * LATE_TURNS : ahead;
    const usualMs = this.work.averageMs || this.workMs(req);
    const turnMs = usualMs * this.spells.slowdownAfter;
    return this.running.startAfter(now, {before, limit, turnMs});
  }

  /** Expected time of a request at usual speed. */
  private workMs(req: PlannedRequest): Millis {
    const known = this.work.of(req.route);
    if (known !== undefined || req.route === '') return known ?? 0;
    const objectiveMs = req.objective - req.arrivedAt;
    return Math.max(0, objectiveMs * UNKNOWN_WORK_SHARE);
  }

  // A server that hangs shows it by the age of what runs there.
  private usualMs(now: Millis): Millis {
    const {averageMs, learntAt} = this.work;
    const age = this.running.meanAge(now);
    if (age > STUCK_RATIO * averageMs) return age;
    // An old figure would keep gateways from asking for a newer one.
    return now - learntAt > USUAL_MEMORY_MS ? 0 : averageMs;
  }
}
