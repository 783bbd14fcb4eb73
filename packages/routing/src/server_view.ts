/** What one gateway knows of one server. */
import type {
  LoadReport,
  Micros,
  Millis,
  ServerState,
} from '@goldcresthill/types';

const NETWORK_EWMA_WEIGHT = 0.2;
const ERROR_EWMA_WEIGHT = 0.1;
/** First time a failing server is set aside, milliseconds; doubles each time. */
const SET_ASIDE_MIN_MS = 100;
const SET_ASIDE_MAX_MS = 5_000;
/** First time for which a silent server is not asked, milliseconds; doubles each time. */
const UNRESPONSIVE_MIN_MS = 50;
const MICROS_PER_MILLI = 1_000;

/** Where a server stands, seen from the gateway. */
export interface ServerViewOptions {
  readonly id: string;
  readonly nodeId: string;
  readonly domain: string;
  /** Network time there and back before any has been measured. */
  readonly networkUs: Micros;
  readonly slots: number;
}

/** Mutable view; the router owns it and policies read it. */
export class ServerView {
  readonly id: string;
  readonly nodeId: string;
  readonly domain: string;
  state: ServerState = 'up';
  /** Own requests there now: exact and free. */
  ownInFlight = 0;
  /** Own requests there when the last report arrived. */
  ownInFlightAtReport = 0;
  report: LoadReport | undefined;
  reportedAt: Millis = -Infinity;
  networkUs: Micros;
  errorShare = 0;
  setAsideUntil: Millis = -Infinity;
  private unresponsiveUntil: Millis = -Infinity;
  private unansweredQueries = 0;
  private failures = 0;
  private networkMeasured = false;

  constructor(private readonly options: ServerViewOptions) {
    this.id = options.id;
    this.nodeId = options.nodeId;
    this.domain = options.domain;
    this.networkUs = options.networkUs;
  }

  get slots(): number {
    return this.options.slots;
  }

  get limit(): number {
    return this.report?.limit ?? this.options.slots;
  }

  /** Takes a report that came with an answer, a refusal or a probe. */
  recordReport(
    now: Millis,
    report: LoadReport,
    ageMs = this.halfNetworkMs,
  ): void {
    this.report = report;
    this.reportedAt = now - ageMs;
    this.ownInFlightAtReport = this.ownInFlight;
    this.unansweredQueries = 0;
    this.unresponsiveUntil = -Infinity;
    if (report.state !== 'up') this.state = report.state;
    else if (this.state === 'draining') this.state = 'up';
  }

  private get halfNetworkMs(): Millis {
    return this.networkUs / MICROS_PER_MILLI / 2;
  }

  /** Takes the time that an exchange spent between the two nodes. */
  recordNetworkTime(elapsedMs: Millis, gateUs: Micros): void {
    const us = Math.max(0, elapsedMs * MICROS_PER_MILLI - gateUs);
    this.networkUs = this.networkMeasured
      ? this.networkUs + NETWORK_EWMA_WEIGHT * (us - this.networkUs)
      : us;
    this.networkMeasured = true;
  }

  /** An answer came; `error` is whether it was a server error. */
  recordResponse(error: boolean): void {
    this.failures = 0;
    this.setAsideUntil = -Infinity;
    this.updateErrorShare(error);
  }

  /** Moves the share of errors. */
  updateErrorShare(error: boolean): void {
    this.errorShare += ERROR_EWMA_WEIGHT * ((error ? 1 : 0) - this.errorShare);
  }

  /** No answer came: the server is set aside for a time that doubles. */
  recordFailure(now: Millis): void {
    const durationMs = SET_ASIDE_MIN_MS * 2 ** Math.min(this.failures, 10);
    this.failures++;
    this.setAsideUntil = now + Math.min(SET_ASIDE_MAX_MS, durationMs);
  }

  /** The server's node did not answer a question that others answered in time. */
  recordUnanswered(now: Millis): void {
    const durationMs =
      UNRESPONSIVE_MIN_MS * 2 ** Math.min(this.unansweredQueries, 10);
    this.unansweredQueries++;
    this.unresponsiveUntil = now + Math.min(SET_ASIDE_MAX_MS, durationMs);
  }

  isSetAside(now: Millis): boolean {
    return now < Math.max(this.setAsideUntil, this.unresponsiveUntil);
  }
}
