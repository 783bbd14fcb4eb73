/** When requests are expected to start and to end at one server. */
import type {LoadReport, Millis} from '@goldcresthill/types';
import {RunningRequests} from './running_requests';
import type {RunningRequest} from './running_requests';
import {SlowdownTracker} from './slowdown_tracker';
import {ServiceTimeEstimator} from './service_time_estimator';

/** What the forecast needs to know of a request. */
export interface EstimatedRequest {
  /** Requests of one route take alike; empty if none is named. */
  readonly route: string;
  readonly arrivedAt: Millis;
  /** Instant up to which an answer is worth its full value. */
  readonly objective: Millis;
  readonly deadline: Millis;
}

/** Where a request stands in line. */
export interface QueuePosition {
  /** Requests that go before it. */
  readonly ahead: number;
  /** Requests that may run at once. */
  readonly limit: number;
  /** How many times its average the request's work is planned with. */
  readonly margin?: number;
}

/** Half of all work takes longer than its average. */
const DEFAULT_SERVICE_MARGIN = 1.2;
/** Each turn ahead of a late request counts that many times, as those in time overtake it. */
const LATE_TURN_FACTOR = 3;
/** Work is expected to take this share of the time to the objective while nothing is known of it. */
const UNKNOWN_SERVICE_FRACTION = 0.35;
/** What a server has told of its usual time holds for that long after its last answer, milliseconds. */
const SERVICE_TIME_TTL_MS = 1_000;
/** A server is stuck when the mean age of its requests is this many averages. */
const STUCK_AGE_RATIO = 4;
const MICROS_PER_MILLI = 1_000;

/** Joins what runs at a server with its speed and the work of its routes. */
export class Forecast {
  private readonly running = new RunningRequests();
  private readonly serviceTimes = new ServiceTimeEstimator();
  private readonly tracker = new SlowdownTracker();

  /** The server says how many times longer than usual work takes that starts now. */
  updateSlowdown(now: Millis, slowdown: number): void {
    this.tracker.update(now, slowdown);
  }

  /** A request starts, at the server's present speed. */
  start(
    now: Millis,
    ref: number,
    {suspect, ...req}: EstimatedRequest & {readonly suspect: boolean},
  ): void {
    const {slowdown} = this.tracker;
    const endsAt = this.endIfStarted(now, req);
    const {route} = req;
    this.running.add(ref, {route, startedAt: now, slowdown, endsAt, suspect});
  }

  /** A request has ended; one that failed teaches nothing of how long work takes. */
  finish(now: Millis, ref: number, succeeded: boolean): RunningRequest {
    const finished = this.running.remove(ref);
    const usualMs = (now - finished.startedAt) / finished.slowdown;
    if (succeeded) this.serviceTimes.record(now, finished.route, usualMs);
    return finished;
  }

  get inFlight(): number {
    return this.running.size;
  }

  get isSlow(): boolean {
    return this.tracker.isSlow;
  }

  /** What gateways are told of the server's speed. */
  reportFields(now: Millis): Pick<LoadReport, 'serviceUs' | 'slowdown'> {
    const serviceUs = Math.round(
      this.reportedServiceMs(now) * MICROS_PER_MILLI,
    );
    return {serviceUs, slowdown: this.tracker.slowdown};
  }

  /**
   * Whether a request may start at the server's present speed. One that would
   * be late, and hold its slot for long, waits for the spell of slowness to end.
   */
  mayStart(now: Millis, req: EstimatedRequest): boolean {
    if (!this.tracker.isSlow) return true;
    if (this.endIfStarted(now, req) <= req.objective) return true;
    const baseMs = this.serviceMs(req) * this.tracker.baseSlowdown;
    return now + this.tracker.expectedRemainingMs(now) + baseMs > req.deadline;
  }

  endIfStarted(now: Millis, req: EstimatedRequest): Millis {
    return now + this.serviceMs(req) * this.tracker.slowdown;
  }

  /** When a request is expected to end from its place in line. */
  expectedEnd(
    now: Millis,
    req: EstimatedRequest,
    position: QueuePosition,
  ): Millis {
    const startAt = this.expectedStart(now, req, position);
    const serviceMs =
      this.serviceMs(req) * (position.margin ?? DEFAULT_SERVICE_MARGIN);
    const slowEnd = startAt + serviceMs * this.tracker.slowdown;
    if (!this.tracker.isSlow || slowEnd <= req.objective) return slowEnd;
    const slowPeriodEnd = now + this.tracker.expectedRemainingMs(now);
    const baseMs = serviceMs * this.tracker.baseSlowdown;
    return Math.min(slowEnd, Math.max(startAt, slowPeriodEnd) + baseMs);
  }

  /** Latest instant at which a request can start, out of a spell, and be in time. */
  latestStart(req: EstimatedRequest): Millis {
    return req.objective - this.serviceMs(req) * this.tracker.baseSlowdown;
  }

  private expectedStart(
    now: Millis,
    req: EstimatedRequest,
    {ahead, limit}: QueuePosition,
  ): Millis {
    const isLate = this.endIfStarted(now, req) > req.objective;
    const turnsAhead = isLate ? ahead * LATE_TURN_FACTOR : ahead;
    const usualMs = this.serviceTimes.averageMs || this.serviceMs(req);
    const serviceMs = usualMs * this.tracker.baseSlowdown;
    return this.running.expectedStart(now, {
      ahead: turnsAhead,
      limit,
      serviceMs,
    });
  }

  /** Expected time of a request at usual speed. */
  private serviceMs(req: EstimatedRequest): Millis {
    const known = this.serviceTimes.averageFor(req.route);
    if (known !== undefined || req.route === '') return known ?? 0;
    const objectiveMs = req.objective - req.arrivedAt;
    return Math.max(0, objectiveMs * UNKNOWN_SERVICE_FRACTION);
  }

  // A server that hangs shows it by the age of what runs there.
  private reportedServiceMs(now: Millis): Millis {
    const {averageMs, recordedAt} = this.serviceTimes;
    const age = this.running.meanAgeAtUsualSpeedMs(now);
    if (age > STUCK_AGE_RATIO * averageMs) return age;
    // An old figure would keep gateways from asking for a newer one.
    return now - recordedAt > SERVICE_TIME_TTL_MS ? 0 : averageMs;
  }
}
