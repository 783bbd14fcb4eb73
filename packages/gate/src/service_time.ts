/** Estimate of the time one request spends at a server. */
import type {Micros, Millis} from '@goldcresthill/types';

/** Time over which finished requests are averaged, milliseconds. */
const MEMORY_MS = 500;
const MIN_WEIGHT = 0.002;
/** A server is stuck when the mean age of its requests is this many averages. */
const STUCK_RATIO = 4;
const MICROS_PER_MILLI = 1_000;
/** Requests that the mean age is weighed against. */
const PRIOR_REQUESTS = 3;

/**
 * Joins the average of finished requests with the mean age of those still
 * running, so that a server that has just slowed down shows it before the
 * first slow request has finished.
 */
export class ServiceTime {
  private averageMs: number | undefined;
  private learntAt: Millis = 0;
  private running = 0;
  private sumOfStarts = 0;

  start(now: Millis): void {
    this.running++;
    this.sumOfStarts += now;
  }

  /** Ends a request that started at the given time; failed ones teach nothing. */
  finish(now: Millis, startedAt: Millis, learn: boolean): void {
    this.running--;
    this.sumOfStarts -= startedAt;
    if (!learn) return;
    const took = now - startedAt;
    if (this.averageMs === undefined) {
      this.averageMs = took;
    } else {
      const weight = Math.max(
        MIN_WEIGHT,
        1 - Math.exp((this.learntAt - now) / MEMORY_MS),
      );
      this.averageMs += weight * (took - this.averageMs);
    }
    this.learntAt = now;
  }

  /** The estimate; 0 while nothing is known. */
  estimateUs(now: Millis): Micros {
    const average = this.averageMs ?? 0;
    const age = this.ageMs(now);
    const stuck = age > STUCK_RATIO * average;
    return (stuck ? age : average) * MICROS_PER_MILLI;
  }

  // The mean age of a few requests says little, so that it counts less.
  private ageMs(now: Millis): number {
    if (this.running === 0) return 0;
    const age = Math.max(0, now - this.sumOfStarts / this.running);
    return (age * this.running) / (this.running + PRIOR_REQUESTS);
  }

  /** Average of finished requests, milliseconds; 0 while nothing is known. */
  get finishedMs(): number {
    return this.averageMs ?? 0;
  }
}
