/** What one gateway knows of one server. */
import type {
  LoadReport,
  Micros,
  Millis,
  ServerState,
} from '@goldcresthill/types';

const WEIGHT_OF_NEWEST = 0.2;
const ERROR_WEIGHT = 0.1;
/** First time a failing server is set aside, milliseconds; doubles each time. */
const SET_ASIDE_MIN_MS = 100;
const SET_ASIDE_MAX_MS = 5_000;
/** First time for which a silent server is not asked, milliseconds; doubles each time. */
const SILENT_MIN_MS = 50;
const MICROS_PER_MILLI = 1_000;

/** Where a server stands, seen from the gateway. */
export interface ViewPlace {
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
  own = 0;
  /** Own requests there when the last report arrived. */
  ownAtReport = 0;
  report: LoadReport | undefined;
  reportAt: Millis = -Infinity;
  networkUs: Micros;
  errorShare = 0;
  setAsideUntil: Millis = -Infinity;
  private silentUntil: Millis = -Infinity;
  private silences = 0;
  private failures = 0;
  private networkMeasured = false;

  constructor(private readonly place: ViewPlace) {
    this.id = place.id;
    this.nodeId = place.nodeId;
    this.domain = place.domain;
    this.networkUs = place.networkUs;
  }

  get slots(): number {
    return this.place.slots;
  }

  get limit(): number {
    return this.report?.limit ?? this.place.slots;
  }

  /** Takes a report that came with an answer, a refusal or a probe. */
  learn(now: Millis, report: LoadReport, ageMs = this.halfNetworkMs): void {
    this.report = report;
    this.reportAt = now - ageMs;
    this.ownAtReport = this.own;
    this.silences = 0;
    this.silentUntil = -Infinity;
    if (report.state !== 'up') this.state = report.state;
    else if (this.state === 'draining') this.state = 'up';
  }

  private get halfNetworkMs(): Millis {
    return this.networkUs / MICROS_PER_MILLI / 2;
  }

  /** Takes the time that an exchange spent between the two nodes. */
  learnNetwork(elapsedMs: Millis, atGateUs: Micros): void {
    const us = Math.max(0, elapsedMs * MICROS_PER_MILLI - atGateUs);
    this.networkUs = this.networkMeasured
      ? this.networkUs + WEIGHT_OF_NEWEST * (us - this.networkUs)
      : us;
    this.networkMeasured = true;
  }

  /** An answer came; `error` is whether it was a server error. */
  succeed(error: boolean): void {
    this.failures = 0;
    this.setAsideUntil = -Infinity;
    this.noteError(error);
  }

  /** Moves the share of errors. */
  noteError(error: boolean): void {
    this.errorShare += ERROR_WEIGHT * ((error ? 1 : 0) - this.errorShare);
  }

  /** No answer came: the server is set aside for a time that doubles. */
  fail(now: Millis): void {
    const span = SET_ASIDE_MIN_MS * 2 ** Math.min(this.failures, 10);
    this.failures++;
    this.setAsideUntil = now + Math.min(SET_ASIDE_MAX_MS, span);
  }

  /** The server's node did not answer a question that others answered in time. */
  noteSilent(now: Millis): void {
    const span = SILENT_MIN_MS * 2 ** Math.min(this.silences, 10);
    this.silences++;
    this.silentUntil = now + Math.min(SET_ASIDE_MAX_MS, span);
  }

  isSetAside(now: Millis): boolean {
    return now < Math.max(this.setAsideUntil, this.silentUntil);
  }
}
