/** Estimates when requests start and end at one server. */
import type {LoadReport, Millis} from '@goldcresthill/types';
import {RunningRequests} from './running_requests';
import type {RunningRequest} from './running_requests';
import {SlowdownTracker} from './slowdown_tracker';
import {ServiceTimeEstimator} from './service_time_estimator';

/** A request whose start and end are estimated. */
export interface EstimatedRequest {
  /** Requests of one route are expected to take similar times; empty if the request has no route. */
  readonly route: string;
  readonly arrivedAt: Millis;
  /** Latest time at which an answer still has its full value. */
  readonly objective: Millis;
  readonly deadline: Millis;
}

/** Position of a request in the queue. */
export interface QueuePosition {
  /** Requests ahead of it. */
  readonly ahead: number;
  /** Concurrency limit of the server. */
  readonly limit: number;
  /** Factor applied to the average service time of the request. */
  readonly margin?: number;
}

/** Factor on the average service time, as half of all requests take longer than the average. */
const DEFAULT_SERVICE_MARGIN = 1.2;
/** Factor on the requests ahead of a late request, as requests that can still meet their objective overtake it. */
const LATE_TURN_FACTOR = 3;
/** Expected service time as a fraction of the time to the objective, while no service time has been recorded. */
const UNKNOWN_SERVICE_FRACTION = 0.35;
/** Time after the last recorded answer for which the average service time is reported, milliseconds. */
const SERVICE_TIME_TTL_MS = 1_000;
/** A server counts as stuck when the mean age of its running requests exceeds this multiple of the average service time. */
const STUCK_AGE_RATIO = 4;
const MICROS_PER_MILLI = 1_000;

/** Combines the running requests, the slowdown and the service times by route of one server. */
export class Forecast {
  private readonly running = new RunningRequests();
  private readonly serviceTimes = new ServiceTimeEstimator();
  private readonly tracker = new SlowdownTracker();

  /** Records how many times longer than usual a request takes that starts now. */
  updateSlowdown(now: Millis, slowdown: number): void {
    this.tracker.update(now, slowdown);
  }

  /** Records the start of a request at the server's current speed. */
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

  /** Removes a request that has ended. Only a successful one counts towards the service times. */
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

  /** Fields of the load report that describe the server's speed. */
  reportFields(now: Millis): Pick<LoadReport, 'serviceUs' | 'slowdown'> {
    const serviceUs = Math.round(
      this.reportedServiceMs(now) * MICROS_PER_MILLI,
    );
    return {serviceUs, slowdown: this.tracker.slowdown};
  }

  /**
   * Whether a request may start at the server's current speed. One that would
   * miss its objective, and so occupy its slot for long, waits for the slow
   * period to end unless it would then miss its deadline.
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

  /** Whether a request that starts now is likely to end by its deadline. */
  endsByDeadline(now: Millis, req: EstimatedRequest): boolean {
    const durationMs = this.endIfStarted(now, req) - now;
    return now + durationMs * DEFAULT_SERVICE_MARGIN <= req.deadline;
  }

  /** When a request is expected to end, given its position in the queue. */
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

  /** Latest time at which a request can start outside a slow period and still meet its objective. */
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

  /** Expected service time of a request at usual speed. */
  private serviceMs(req: EstimatedRequest): Millis {
    const known = this.serviceTimes.averageFor(req.route);
    if (known !== undefined || req.route === '') return known ?? 0;
    const objectiveMs = req.objective - req.arrivedAt;
    return Math.max(0, objectiveMs * UNKNOWN_SERVICE_FRACTION);
  }

  // The age of the running requests reveals a server that hangs.
  private reportedServiceMs(now: Millis): Millis {
    const {averageMs, recordedAt} = this.serviceTimes;
    const age = this.running.meanAgeAtUsualSpeedMs(now);
    if (age > STUCK_AGE_RATIO * averageMs) return age;
    // A stale value would keep gateways from probing for a fresh one.
    return now - recordedAt > SERVICE_TIME_TTL_MS ? 0 : averageMs;
  }
}
