/** Estimate of the time one request spends at a server. */
import type {Micros, Millis} from '@goldcresthill/types';

const WEIGHT_OF_NEWEST = 0.1;
const MICROS_PER_MILLI = 1_000;

/**
 * Joins the average of finished requests with the mean age of those still
 * running, so that a server that has just slowed down shows it before the
 * first slow request has finished.
 */
export class ServiceTime {
  private averageMs: number | undefined;
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
    this.averageMs =
      this.averageMs === undefined
        ? took
        : this.averageMs + WEIGHT_OF_NEWEST * (took - this.averageMs);
  }

  /** The estimate; 0 while nothing is known. */
  estimateUs(now: Millis): Micros {
    const age =
      this.running > 0 ? Math.max(0, now - this.sumOfStarts / this.running) : 0;
    return Math.max(this.averageMs ?? 0, age) * MICROS_PER_MILLI;
  }

  /** Average of finished requests, milliseconds; 0 while nothing is known. */
  get finishedMs(): number {
    return this.averageMs ?? 0;
  }
}
