/** State of one server as a gateway observes it. */
import type {
  LoadReport,
  Micros,
  Millis,
  ServerState,
} from '@goldcresthill/types';

/** Weight of the newest sample in the moving average of the network time. */
const NETWORK_EWMA_WEIGHT = 0.2;
/** Weight of the newest outcome in the moving average of errors. */
const ERROR_EWMA_WEIGHT = 0.1;
/** Time for which a server is set aside after a first failure, milliseconds; doubles with each further one. */
const SET_ASIDE_MIN_MS = 100;
const SET_ASIDE_MAX_MS = 5_000;
/** Time for which a server is set aside after a first unanswered load query, milliseconds; doubles with each further one. */
const UNRESPONSIVE_MIN_MS = 50;
/** Share by which the least network time rises with each longer one, so that it follows a changed route. */
const LEAST_RISE = 0.005;
const MICROS_PER_MILLI = 1_000;

/** Options of ServerView. */
export interface ServerViewOptions {
  readonly id: string;
  readonly nodeId: string;
  readonly domain: string;
  /** Estimated round trip time of the network, used until one has been measured. */
  readonly networkUs: Micros;
  readonly slots: number;
}

/** Mutable state of a server; the router updates it and policies read it. */
export class ServerView {
  readonly id: string;
  readonly nodeId: string;
  readonly domain: string;
  state: ServerState = 'up';
  /** Requests of this gateway at the server now; exact, and known without a report. */
  ownInFlight = 0;
  /** Requests of this gateway at the server when the last report arrived. */
  ownInFlightAtReport = 0;
  report: LoadReport | undefined;
  /** When the server's gate made the last report, estimated on the gateway's clock. */
  reportedAt: Millis = -Infinity;
  /** Round trip time of the network: a moving average, or an estimate until one has been measured. */
  networkUs: Micros;
  /** Round trip time without transfers of large bodies: the least of late, which rises slowly. */
  leastNetworkUs: Micros;
  /** Moving average of errors, 0 to 1. */
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
    this.leastNetworkUs = options.networkUs;
  }

  get slots(): number {
    return this.options.slots;
  }

  get limit(): number {
    return this.report?.limit ?? this.options.slots;
  }

  /** Records a load report, which arrived with a response, a refusal or a probe. */
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

  /** Updates the network time by an exchange that took `elapsedMs`, of which `gateUs` at the gate. */
  recordNetworkTime(elapsedMs: Millis, gateUs: Micros): void {
    const us = Math.max(0, elapsedMs * MICROS_PER_MILLI - gateUs);
    this.networkUs = this.networkMeasured
      ? this.networkUs + NETWORK_EWMA_WEIGHT * (us - this.networkUs)
      : us;
    const {leastNetworkUs} = this;
    this.leastNetworkUs = this.networkMeasured
      ? Math.min(us, leastNetworkUs + LEAST_RISE * (us - leastNetworkUs))
      : us;
    this.networkMeasured = true;
  }

  /** Records a response, which ends a time set aside for failures; `error` marks a server error. */
  recordResponse(error: boolean): void {
    this.failures = 0;
    this.setAsideUntil = -Infinity;
    this.updateErrorShare(error);
  }

  updateErrorShare(error: boolean): void {
    this.errorShare += ERROR_EWMA_WEIGHT * ((error ? 1 : 0) - this.errorShare);
  }

  /** Records an attempt without a response and sets the server aside, each time for twice as long. */
  recordFailure(now: Millis): void {
    const durationMs = SET_ASIDE_MIN_MS * 2 ** Math.min(this.failures, 10);
    this.failures++;
    this.setAsideUntil = now + Math.min(SET_ASIDE_MAX_MS, durationMs);
  }

  /** Records that the server's node did not answer a load query that other nodes answered in time. */
  recordUnanswered(now: Millis): void {
    const durationMs =
      UNRESPONSIVE_MIN_MS * 2 ** Math.min(this.unansweredQueries, 10);
    this.unansweredQueries++;
    this.unresponsiveUntil = now + Math.min(SET_ASIDE_MAX_MS, durationMs);
  }

  /** Whether the server is set aside (ejected) after failures or unanswered load queries. */
  isSetAside(now: Millis): boolean {
    return now < Math.max(this.setAsideUntil, this.unresponsiveUntil);
  }
}
