/** Link to one server of this VM: its gate, its connections and its requests. */
import type {IncomingHttpHeaders} from 'node:http';
import {runGuarded} from '@goldcresthill/errors';
import type {ErrorKind, FaultListener} from '@goldcresthill/errors';
import {Gate} from '@goldcresthill/gate';
import type {GateCommand, RequestOutcome} from '@goldcresthill/gate';
import type {Cancel, Timers} from '@goldcresthill/timers';
import type {
  AdmissionEstimate,
  AdmissionQuery,
  LoadReport,
  Millis,
  ServerRecord,
  ServiceRules,
} from '@goldcresthill/types';
import {fingerprintOf} from '../fingerprint';
import {INVALID_ANSWER, STREAM_CLOSED} from '../http/exchange';
import type {ExchangeResult} from '../http/exchange';
import {LoadChecker} from './load_checker';
import type {Announcement, AttemptRequest, AttemptResult} from './messages';
import type {ServerConnections, ServerExchange} from './server_connections';
import type {ServerInterface, ServerLoad} from './server_interface';
import {refusalKind, requestOutcome} from './server_refusals';

/** Events of a link. */
export interface ServerLinkEvents {
  /** The attempt is about to be sent to the server. */
  readonly onStart: (req: AttemptRequest) => void;
  readonly onEnd: (req: AttemptRequest, result: AttemptResult) => void;
  /** A streamed answer has failed after `onEnd`. */
  readonly onStreamBroken?: (req: AttemptRequest, reason: string) => void;
  /** The gateway has cancelled the attempt. */
  readonly onCancelled: (req: AttemptRequest, cancelled: Cancelled) => void;
  /** The server says in an answer that it is about to shut down. */
  readonly onLeaving: (link: ServerLink) => void;
  /** The server advertises another rate limit than before, requests per second, or none any more. */
  readonly onRateLimitChanged: (
    link: ServerLink,
    requestsPerSecond: number | undefined,
    source: 'answer' | 'loadCheck',
  ) => void;
  /** A server that was not known to be cold says that it is, for a time in milliseconds. */
  readonly onCold?: (link: ServerLink, coldMs: Millis) => void;
  readonly onDied: (link: ServerLink, fingerprints: readonly string[]) => void;
  readonly onDrained: (link: ServerLink) => void;
  readonly onFault: FaultListener;
}

/** A cancelled attempt at the time of its cancellation. */
export interface Cancelled {
  readonly state: 'queued' | 'connecting' | 'sent';
  /** Time since its arrival at the gate. */
  readonly heldMs: Millis;
}

interface PendingRequest {
  readonly req: AttemptRequest;
  readonly arrivedAt: Millis;
  exchange: ServerExchange | undefined;
  started: boolean;
  /** Cancels the deadline, which applies until the last byte of the answer. */
  cancelDeadline: Cancel;
}

const CHECK_POLL_INTERVAL_MS = 30;
/** Time for which a server is taken for cold while it is asked whether it is, milliseconds; several times what a check takes. */
const ASSUMED_COLD_MS = 30;
const MICROS_PER_MILLI = 1_000;
/** Time after a request's deadline until its connection is closed, milliseconds. */
const DEADLINE_SLACK_MS = 50;
/** Time during which requests with broken connections count as in flight at the death of the server, if another instance replaces it, milliseconds. */
const BROKEN_RETENTION_MS = 5_000;
const MAX_BROKEN_REQUESTS = 256;
const DEADLINE_PASSED = 'deadline passed';
const CANCELLED = 'cancelled';
/** Error kinds of exchanges that this link aborted; their failure does not indicate a fault of the server. */
const ABORT_KINDS: ReadonlyMap<string, ErrorKind> = new Map([
  [DEADLINE_PASSED, 'deadlinePassed'],
  [CANCELLED, 'connectionLost'],
  [INVALID_ANSWER, 'brokenAnswer'],
  [STREAM_CLOSED, 'connectionLost'],
]);
/** The same for exchanges that were aborted while they waited for a connection; they have not run. */
const UNSENT_ABORT_KINDS: ReadonlyMap<string, ErrorKind> = new Map([
  [DEADLINE_PASSED, 'deadlineTooShort'],
  [CANCELLED, 'fenced'],
]);

export interface ServerLinkOptions {
  readonly announcement: Announcement;
  readonly rules: ServiceRules;
  readonly timers: Timers;
  readonly connections: ServerConnections;
  readonly serverInterface: ServerInterface;
  /** Latest time at which requests that this link does not know of may have reached the server; none by default. */
  readonly usedAt?: Millis;
  readonly events: ServerLinkEvents;
}

/** Owns the connections to one server process and the gate that admits requests to it. */
export class ServerLink {
  readonly gate: Gate;
  private rules: ServiceRules;
  private readonly requests = new Map<number, PendingRequest>();
  private nextRef = 0;
  private isChecking = false;
  private died = false;
  private leaving = false;
  private brokenRequests: Array<{at: Millis; fingerprint: string}> = [];
  lastAnnouncedAt: Millis;
  private readonly loadChecker: LoadChecker;

  constructor(private readonly options: ServerLinkOptions) {
    const {announcement, rules, timers} = options;
    this.rules = rules;
    const now = timers.now();
    this.lastAnnouncedAt = now;
    const {usedAt} = options;
    this.gate = new Gate(now, {slots: announcement.slots, rules, usedAt});
    const {connections, serverInterface} = options;
    this.loadChecker = new LoadChecker({
      timers,
      connections,
      serverInterface,
      onLoad: load => this.recordLoad(load),
      onAnswer: headers => this.readNotice(headers, 'loadCheck'),
      takeCheck: () => this.gate.takeLoadCheck(timers.now()),
      isSlow: () => this.gate.isSlow,
      isHolding: () => this.gate.isHolding,
    });
    this.loadChecker.configure(rules);
  }

  get service(): string {
    return this.options.announcement.service;
  }

  get instance(): string {
    return this.options.announcement.instance;
  }

  get isDead(): boolean {
    return this.died;
  }

  /** The server as published to other nodes. */
  get record(): ServerRecord {
    const {service, port, slots, instance} = this.options.announcement;
    return {service, port, slots, instance, state: this.gate.state};
  }

  report(): LoadReport {
    return this.gate.report(this.options.timers.now());
  }

  /** Estimates whether the gate would admit a call, after a load check of the server if its load is out of date. */
  estimateAdmission(
    query: AdmissionQuery,
    done: (estimate: AdmissionEstimate) => void,
  ): void {
    this.loadChecker.refresh(() => {
      const now = this.options.timers.now();
      const accepts = this.gate.accepts(now, {
        ...query,
        deadline: now + query.remainingMs,
        objective: now + query.objectiveRemainingMs,
        suspect: false,
      });
      done({report: this.gate.report(now), accepts});
    });
  }

  /** Starts, queues or refuses an attempt; returns a function that cancels it. */
  attempt(req: AttemptRequest): () => void {
    const now = this.options.timers.now();
    const ref = this.nextRef++;
    const entry: PendingRequest = {
      req,
      arrivedAt: now,
      exchange: undefined,
      started: false,
      cancelDeadline: () => undefined,
    };
    this.requests.set(ref, entry);
    const {deadline, suspect, route, priority, objective, returning, mustEnd} =
      req;
    // All that has waited while this process stood still arrives at once.
    if (this.loadChecker.takeColdUnknown())
      this.execute(this.gate.setCold(now, ASSUMED_COLD_MS));
    const admission = this.gate.admit(now, {
      ref,
      deadline,
      suspect,
      route,
      priority,
      objective,
      returning,
      mustEnd,
    });
    this.loadChecker.refresh(() => undefined);
    if (admission.type === 'start') this.start(ref, entry);
    if (admission.type === 'refuse') this.refuse(ref, admission.kind);
    if (admission.type === 'queued' && admission.evicted !== undefined) {
      this.refuse(admission.evicted, 'queueFull');
    }
    return () => this.cancel(ref);
  }

  configure(rules: ServiceRules): void {
    this.rules = rules;
    this.gate.configure(rules);
    this.loadChecker.configure(rules);
  }

  /** Records that the server stays cold for a time, milliseconds. */
  setCold(coldMs: Millis): void {
    const now = this.options.timers.now();
    if (!this.gate.isCold(now) && coldMs > 0)
      this.options.events.onCold?.(this, coldMs);
    this.execute(this.gate.setCold(now, coldMs));
  }

  get isCold(): boolean {
    return this.gate.isCold(this.options.timers.now());
  }

  drain(): void {
    this.execute(this.gate.drain());
  }

  /** Drains a server that announced its shutdown; unlike a drain by a ticket, this is final. */
  leave(): void {
    this.leaving = true;
    this.drain();
  }

  get isLeaving(): boolean {
    return this.leaving;
  }

  /** Fingerprints of requests that were in flight when a connection broke within `BROKEN_RETENTION_MS`, though the server was not found dead. */
  recentlyBrokenFingerprints(): string[] {
    const since = this.options.timers.now() - BROKEN_RETENTION_MS;
    return this.brokenRequests
      .filter(e => e.at >= since)
      .map(e => e.fingerprint);
  }

  tick(): void {
    this.execute(this.gate.advance(this.options.timers.now()));
  }

  /** Stops sending requests to a server that no longer announces itself; running requests continue. */
  markDown(): void {
    this.died = true;
    this.loadChecker.close();
    this.execute(this.gate.markDown());
  }

  get hasQueued(): boolean {
    return this.gate.hasQueued;
  }

  /** Time until the server's rate limit allows the next request, milliseconds. */
  get rateWaitMs(): Millis {
    return this.gate.rateWaitMs(this.options.timers.now());
  }

  get inFlight(): number {
    return this.requests.size;
  }

  async close(): Promise<void> {
    this.loadChecker.close();
    await this.options.connections.close();
  }

  private execute(commands: readonly GateCommand[]): void {
    for (const command of commands) {
      switch (command.type) {
        case 'start': {
          const entry = this.requests.get(command.ref);
          if (entry !== undefined) this.start(command.ref, entry);
          break;
        }
        case 'refuse':
          this.refuse(command.ref, command.kind);
          break;
        case 'drained':
          this.options.events.onDrained(this);
          break;
      }
    }
  }

  private start(ref: number, entry: PendingRequest): void {
    entry.started = true;
    this.options.events.onStart(entry.req);
    const {req} = entry;
    const remainingMs = Math.max(
      1,
      Math.round(req.deadline - this.options.timers.now()),
    );
    const {serverInterface, announcement} = this.options;
    const headers = serverInterface.headersFor(
      req,
      announcement.instance,
      remainingMs,
    );
    const {maxBufferedBytes} = this.rules;
    entry.cancelDeadline = this.options.timers.after(
      remainingMs + DEADLINE_SLACK_MS,
      () => entry.exchange?.abort(DEADLINE_PASSED),
    );
    entry.exchange = this.options.connections.exchange(
      {
        method: req.method,
        path: req.path,
        headers,
        body: req.body,
        maxBufferedBytes,
        accepts: (status, head) =>
          serverInterface.classifyAnswer(req, status, head, this.rules) !==
          'invalid',
        // A faulty server may write a refusal again on the connection.
        endsConnection: (status, head) =>
          !serverInterface.answersCarryRequestId &&
          serverInterface.classifyAnswer(req, status, head, this.rules) ===
            'notRun',
      },
      result => {
        if (!isStreamed(result)) entry.cancelDeadline();
        runGuarded(this.options.events.onFault, () =>
          this.onExchangeEnd(ref, entry, result),
        );
      },
      err =>
        runGuarded(this.options.events.onFault, () =>
          this.onStreamEnd(ref, entry, err),
        ),
    );
  }

  private onStreamEnd(
    ref: number,
    entry: PendingRequest,
    err: Error | undefined,
  ): void {
    entry.cancelDeadline();
    if (err === undefined) {
      this.release(ref, 'ok');
      return;
    }
    this.options.events.onStreamBroken?.(entry.req, err.message);
    if (!ABORT_KINDS.has(err.message)) {
      this.recordBrokenRequests();
      this.runDetached(() => this.checkServerDied(ref));
    }
    this.release(ref, 'failed');
  }

  private onExchangeEnd(
    ref: number,
    entry: PendingRequest,
    result: ExchangeResult,
  ): void {
    if (result.type === 'answer') {
      this.onAnswer(ref, entry, result);
      return;
    }
    if (!result.sent) {
      const unsentKind = UNSENT_ABORT_KINDS.get(result.err.message);
      this.release(ref, 'failed');
      const kind = unsentKind ?? 'serverUnreachable';
      this.reportResult(entry, {type: 'refused', kind});
      if (unsentKind === undefined)
        this.runDetached(() => this.checkServerDied(ref));
      return;
    }
    const abortKind = ABORT_KINDS.get(result.err.message);
    if (abortKind !== undefined) {
      this.release(ref, 'failed');
      this.reportResult(entry, {type: 'broke', kind: abortKind});
      return;
    }
    this.runDetached(() => this.onConnectionLost(ref, entry));
  }

  private runDetached(work: () => Promise<unknown>): void {
    runGuarded(this.options.events.onFault, work);
  }

  private onAnswer(
    ref: number,
    entry: PendingRequest,
    result: ExchangeResult & {type: 'answer'},
  ): void {
    const {status, headers, body} = result;
    const load = this.options.serverInterface.loadOf(headers);
    if (load !== undefined) this.recordLoad(load);
    const {req} = entry;
    const answerClass = this.options.serverInterface.classifyAnswer(
      req,
      status,
      headers,
      this.rules,
    );
    if (answerClass !== 'otherInstance') this.readNotice(headers, 'answer');
    const kind = refusalKind(answerClass, load);
    // A streamed answer occupies its slot until its end.
    if (body.type === 'whole') this.release(ref, requestOutcome(kind, status));
    if (kind !== undefined && body.type === 'whole') {
      this.reportResult(entry, {type: 'refused', kind});
      return;
    }
    this.reportResult(entry, {type: 'answered', status, headers, body});
  }

  private readNotice(
    headers: IncomingHttpHeaders,
    source: 'answer' | 'loadCheck',
  ): void {
    const {serverInterface} = this.options;
    const notice = serverInterface.noticeOf(headers, this.instance);
    if (notice === undefined) return;
    const {requestsPerSecond, leaving, coldMs} = notice;
    if (leaving && !this.leaving) this.options.events.onLeaving(this);
    if (coldMs !== undefined) this.setCold(coldMs);
    if (requestsPerSecond === this.gate.advertisedRate) return;
    this.options.events.onRateLimitChanged(this, requestsPerSecond, source);
    this.execute(
      this.gate.limitRate(this.options.timers.now(), requestsPerSecond),
    );
  }

  private recordLoad(load: ServerLoad): void {
    const now = this.options.timers.now();
    this.execute(this.gate.updateSlowdown(now, load.slowdown));
    this.loadChecker.recordUpdate();
  }

  // The result is reported after the check, as the gateway handles the death of a server differently.
  private async onConnectionLost(
    ref: number,
    entry: PendingRequest,
  ): Promise<void> {
    this.recordBrokenRequests();
    const dead = await this.checkServerDied(ref);
    this.release(ref, 'failed');
    this.reportResult(entry, {
      type: 'broke',
      kind: dead ? 'serverDied' : 'connectionLost',
    });
  }

  private async checkServerDied(ref: number): Promise<boolean> {
    if (this.died) return true;
    const inFlight = this.startedRequests(ref);
    if (this.isChecking) return this.waitForCheck();
    this.isChecking = true;
    const accepts = await this.options.connections.acceptsConnections();
    this.isChecking = false;
    if (accepts || this.died) return this.died;
    this.died = true;
    this.options.events.onDied(this, inFlight.map(fingerprintOf));
    this.execute(this.gate.markDown());
    return true;
  }

  private async waitForCheck(): Promise<boolean> {
    await this.options.timers.sleep(CHECK_POLL_INTERVAL_MS);
    return this.isChecking ? this.waitForCheck() : this.died;
  }

  private recordBrokenRequests(): void {
    const at = this.options.timers.now();
    const earlier = this.brokenRequests.slice(-MAX_BROKEN_REQUESTS);
    const started = this.startedRequests(-1).map(req => ({
      at,
      fingerprint: fingerprintOf(req),
    }));
    this.brokenRequests = [...earlier, ...started];
  }

  private startedRequests(includedRef: number): AttemptRequest[] {
    const started = [...this.requests].filter(
      ([ref, entry]) => entry.started || ref === includedRef,
    );
    return started.map(([, entry]) => entry.req);
  }

  private cancel(ref: number): void {
    const entry = this.requests.get(ref);
    if (entry === undefined) return;
    this.options.events.onCancelled(entry.req, {
      state: stateOf(entry),
      heldMs: this.options.timers.now() - entry.arrivedAt,
    });
    if (this.gate.cancelQueued(ref)) {
      this.requests.delete(ref);
      this.reportResult(entry, {type: 'refused', kind: 'fenced'});
      return;
    }
    const {exchange, req} = entry;
    // A request that must not be repeated and may have begun runs to its end, so that the ledger can keep its answer.
    if (!req.once || exchange?.isSent === false) exchange?.abort(CANCELLED);
  }

  private refuse(ref: number, kind: ErrorKind): void {
    const entry = this.requests.get(ref);
    if (entry === undefined) return;
    this.requests.delete(ref);
    this.reportResult(entry, {type: 'refused', kind});
  }

  private release(ref: number, outcome: RequestOutcome): void {
    if (!this.requests.delete(ref)) return;
    this.execute(this.gate.finish(this.options.timers.now(), ref, outcome));
  }

  private reportResult(entry: PendingRequest, result: PartialResult): void {
    const now = this.options.timers.now();
    const gateUs = Math.round((now - entry.arrivedAt) * MICROS_PER_MILLI);
    const report = this.gate.report(now);
    this.options.events.onEnd(entry.req, {...result, report, gateUs});
  }
}

function isStreamed(result: ExchangeResult): boolean {
  return result.type === 'answer' && result.body.type === 'stream';
}

function stateOf({started, exchange}: PendingRequest): Cancelled['state'] {
  if (!started) return 'queued';
  return exchange?.isSent === false ? 'connecting' : 'sent';
}

type DistributiveOmit<T, K extends PropertyKey> = T extends unknown
  ? Omit<T, K>
  : never;
type PartialResult = DistributiveOmit<AttemptResult, 'report' | 'gateUs'>;
