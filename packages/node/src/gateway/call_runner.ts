/** Executes the plan of one call: sends its attempts, runs its timers and delivers its outcome. */
import {CallPlan} from '@goldcresthill/attempts';
import type {CallCommand, CallEvent, Resolution} from '@goldcresthill/attempts';
import {runGuarded} from '@goldcresthill/errors';
import type {ErrorKind} from '@goldcresthill/errors';
import type {QuarantineStatus} from '@goldcresthill/quarantine';
import type {
  PickedServer,
  PickResult,
  ServiceRouter,
  SpillCall,
} from '@goldcresthill/routing';
import type {Cancel, Timers} from '@goldcresthill/timers';
import type {Millis, RunState} from '@goldcresthill/types';
import type {AttemptResult, BufferedAnswer} from '../gate/messages';
import type {AnswerStream} from '../http/answer_stream';
import type {OutgoingCall} from './gate_client';
import type {LoadQueryOutcome} from './load_query_runner';

/** Outcome of a call that was run, for its caller. */
export type CallOutcome =
  | {
      readonly type: 'answered';
      readonly server: string;
      readonly result: AttemptResult & {type: 'answered'};
    }
  | {
      readonly type: 'failed';
      readonly kind: ErrorKind;
      readonly runState: RunState;
    };

/** An attempt in progress. */
export interface AttemptHandle {
  readonly cancel: () => void;
  /** Asks the gate for the outcome of the attempt. */
  readonly resolve: () => Promise<
    Resolution<BufferedAnswer> | {type: 'unreachable'}
  >;
  /** Abandons the connections to the gate after one of them has gone silent. */
  readonly abandonConnection: () => void;
  /** Tells the gate that the answer has arrived, so that it can drop its copy. */
  readonly acknowledge: () => void;
}

/** Functions and state that a runner uses from its gateway. */
export interface CallEnvironment {
  readonly timers: Timers;
  readonly router: ServiceRouter;
  readonly sampled: boolean;
  /** Sends an attempt to the gate of the chosen server; undefined if its node is unknown. */
  readonly send: (
    call: OutgoingCall,
    pick: PickedServer,
    suspect: boolean,
    retriesLeft: number,
    done: (result: AttemptResult) => void,
  ) => AttemptHandle | undefined;
  /** Queries servers for their load before one is picked; `done` is called once. */
  readonly queryLoad: (
    exclude: readonly string[],
    done: (outcome: LoadQueryOutcome) => void,
  ) => void;
  readonly onDecision: (decision: Readonly<Record<string, unknown>>) => void;
  readonly onFault: (err: unknown) => void;
  /** Whether the request is suspected or quarantined because servers died with it in flight. */
  readonly quarantineStatus: () => QuarantineStatus;
  /** Whether lost attempts are resolved with their gate; default true. */
  readonly resolving?: boolean;
}

interface Attempt {
  readonly pick: PickedServer;
  readonly startedAt: number;
  handle: AttemptHandle | undefined;
  isResultRecorded: boolean;
  silenceTimer: Cancel | undefined;
  result: (AttemptResult & {type: 'answered'}) | undefined;
}

/**
 * Runs one call; `done` is called once, at the start of the answer if that is
 * streamed. The deadline of the call applies until the last byte has arrived.
 */
export class CallRunner {
  private readonly plan: CallPlan;
  private readonly attempts = new Map<number, Attempt>();
  private deadlineTimer: Cancel | undefined;
  private hedgeTimer: Cancel | undefined;
  private ended = false;
  private timedOut = false;
  /** The answer that is being streamed to the caller. */
  private stream: AnswerStream | undefined;
  /** Whether the stream reached the deadline because the caller had not read it. */
  private isCallerSlow = false;
  private startedAt: Millis = 0;

  constructor(
    private readonly call: OutgoingCall,
    private readonly env: CallEnvironment,
    private readonly done: (outcome: CallOutcome) => void,
  ) {
    const {router} = env;
    this.plan = new CallPlan({
      repeatable: call.attributes.repeatable,
      retriesLeft: call.attributes.retriesLeft,
      takeRetry: () => router.takeRetry(env.timers.now()),
      takeHedge: () => router.takeHedge(env.timers.now()),
      resolving: env.resolving,
      maxRuns: call.attributes.maxRuns,
      suspect: env.quarantineStatus() === 'suspect',
    });
  }

  start(): void {
    this.startedAt = this.env.timers.now();
    const remainingMs = this.call.attributes.deadline - this.startedAt;
    this.deadlineTimer = this.env.timers.after(remainingMs, () =>
      this.expire(),
    );
    this.env.router.recordCall(this.startedAt);
    this.dispatch({type: 'begin'});
    const hedgeAfterMs = this.env.router.hedgeAfterMs;
    if (this.call.attributes.repeatable && hedgeAfterMs < remainingMs) {
      this.hedgeTimer = this.env.timers.after(hedgeAfterMs, () =>
        this.dispatch({type: 'hedgeDue'}),
      );
    }
  }

  /** Ends the call as at its deadline. */
  expire(): void {
    this.timedOut = true;
    this.isCallerSlow = this.stream?.isWaitingForReader ?? false;
    this.stream?.breakOff(DEADLINE_PASSED);
    this.dispatch({type: 'deadline'});
  }

  /** Handles the disconnection of the caller. */
  callerGone(): void {
    if (!this.plan.answered) this.logCallerGone();
    this.dispatch({type: 'callerGone'});
  }

  private dispatch(event: CallEvent): void {
    this.guard(() =>
      this.plan.handle(event).forEach(command => this.execute(command)),
    );
  }

  private guard(step: () => void): void {
    try {
      step();
    } catch (err) {
      this.env.onFault(err);
      this.finish({type: 'failed', kind: 'internal', runState: 'unknown'});
    }
  }

  private execute(command: CallCommand): void {
    switch (command.type) {
      case 'send':
        this.send(command);
        return;
      case 'resolve':
        this.env.timers.after(command.afterMs, () =>
          runGuarded(this.env.onFault, () => this.resolve(command.attempt)),
        );
        return;
      case 'cancel':
        this.cancel(command.attempt);
        return;
      case 'deliver':
        this.deliver(command.attempt);
        return;
      case 'fail':
        this.env.onDecision({
          what: 'fail',
          reason: command.kind,
          runState: command.runState,
        });
        this.finish({
          type: 'failed',
          kind: command.kind,
          runState: command.runState,
        });
        return;
    }
  }

  private send(command: CallCommand & {type: 'send'}): void {
    this.env.queryLoad(command.exclude, outcome => {
      // The call may have ended during the query.
      if (this.plan.answered) return;
      this.guard(() => this.pickAndSend(command, outcome));
    });
  }

  private pickAndSend(
    command: CallCommand & {type: 'send'},
    query: LoadQueryOutcome,
  ): void {
    const {attempt} = command;
    const now = this.env.timers.now();
    const {router, sampled} = this.env;
    const quarantineStatus = this.env.quarantineStatus();
    // A quarantine update may have arrived since the call began.
    if (quarantineStatus === 'quarantined') {
      this.dispatch({type: 'refused', attempt, kind: 'quarantined'});
      return;
    }
    if (query.type === 'refuse') {
      this.dispatch({type: 'noServer', attempt, kind: 'queueFull'});
      return;
    }
    const refusing = query.type === 'choose' ? query.refusing : [];
    const pick = router.pick(now, [...command.exclude, ...refusing], {
      explain: sampled,
      hedge: command.hedge,
      loadQueried: query.type === 'choose',
      call: query.type === 'choose' ? spillCallOf(this.call) : undefined,
    });
    if (pick === undefined) {
      this.dispatch({type: 'noServer', attempt});
      return;
    }
    this.logPick(command, pick);
    const entry: Attempt = {
      pick,
      startedAt: now,
      handle: undefined,
      isResultRecorded: false,
      silenceTimer: undefined,
      result: undefined,
    };
    this.attempts.set(attempt, entry);
    this.dispatch({type: 'sent', attempt, server: pick.id});
    const suspect = command.suspect || quarantineStatus === 'suspect';
    entry.handle = this.env.send(
      this.call,
      pick,
      suspect,
      this.plan.retriesForDownstream,
      result => this.guard(() => this.onAttemptEnded(attempt, entry, result)),
    );
    if (entry.handle === undefined) {
      this.recordResult(entry, 'failed');
      this.dispatch({type: 'refused', attempt, kind: 'serverUnreachable'});
      return;
    }
    if (!entry.isResultRecorded) this.startSilenceTimer(attempt, entry);
  }

  private logPick(
    command: CallCommand & {type: 'send'},
    pick: PickedServer,
  ): void {
    const {attempt, hedge} = command;
    const {id, reason, scoreUs, candidates, setAside, scores, spill} = pick;
    const reasonWithHedge = hedge ? `hedged, ${reason}` : reason;
    this.env.onDecision({
      what: 'route',
      service: this.call.attributes.service,
      attempt,
      server: id,
      reason: reasonWithHedge,
      scoreUs: scoreUs === undefined ? undefined : Math.round(scoreUs),
      candidates,
      setAside,
      scores,
      domain: spill,
    });
  }

  // Shows whether the call was sent before its caller's disconnection was seen, and by how much.
  private logCallerGone(): void {
    const now = this.env.timers.now();
    const sentAt = [...this.attempts.values()].map(entry => entry.startedAt);
    this.env.onDecision({
      what: 'callerGone',
      service: this.call.attributes.service,
      heldMs: Math.round(now - this.startedAt),
      sentMsAgo: sentAt.map(at => Math.round(now - at)),
    });
  }

  private startSilenceTimer(attempt: number, entry: Attempt): void {
    const silenceMs = this.silenceMs();
    entry.silenceTimer = this.env.timers.after(silenceMs, () =>
      this.dispatch({type: 'silent', attempt}),
    );
  }

  // A silent attempt of a repeatable call is retried without asking its gate, so
  // its timeout must exceed the usual latency of the service.
  private silenceMs(): number {
    const {silenceMs} = this.env.router.currentRules;
    const hedgeAfterMs = this.env.router.hedgeAfterMs;
    const scalesWithLatency =
      this.call.attributes.repeatable && Number.isFinite(hedgeAfterMs);
    return scalesWithLatency
      ? Math.max(silenceMs, SILENCE_TO_HEDGE_RATIO * hedgeAfterMs)
      : silenceMs;
  }

  private onAttemptEnded(
    attempt: number,
    entry: Attempt,
    result: AttemptResult,
  ): void {
    entry.silenceTimer?.();
    if (result.type === 'answered' && result.body.type === 'stream')
      this.recordAtStreamEnd(entry, result, result.body.stream);
    else this.recordResult(entry, outcomeOf(result), result);
    switch (result.type) {
      case 'answered':
        entry.result = result;
        this.recordSizes(result);
        if (this.plan.answered) discardBody(result);
        this.dispatch({
          type: 'answered',
          attempt,
          error: result.status >= MIN_SERVER_ERROR_STATUS,
        });
        return;
      case 'refused':
        this.dispatch({type: 'refused', attempt, kind: result.kind});
        return;
      case 'broke':
        this.dispatch({type: 'broke', attempt, kind: result.kind});
        return;
    }
  }

  private recordSizes({body}: AttemptResult & {type: 'answered'}): void {
    const {attributes, maxBufferedBytes, body: sent} = this.call;
    // The size of a streamed answer is not known yet, but it is at least this.
    const answerBytes =
      body.type === 'whole' ? body.bytes.length : maxBufferedBytes;
    this.env.router.recordSizes(attributes.route, sent.length, answerBytes);
  }

  private async resolve(attempt: number): Promise<void> {
    const entry = this.attempts.get(attempt);
    if (entry?.handle === undefined || this.plan.answered) return;
    const resolution = await entry.handle.resolve();
    this.env.onDecision({
      what: 'resolve',
      attempt,
      server: entry.pick.id,
      reason: resolution.type,
    });
    this.dispatch(this.toEvent(attempt, entry, resolution));
  }

  private toEvent(
    attempt: number,
    entry: Attempt,
    resolution: Resolution<BufferedAnswer> | {type: 'unreachable'},
  ): CallEvent {
    switch (resolution.type) {
      case 'notRun':
        if (resolution.kind === 'fenced') entry.handle?.abandonConnection();
        return {type: 'resolvedNotRun', attempt, kind: resolution.kind};
      case 'running':
        return {type: 'resolvedRunning', attempt};
      case 'done': {
        entry.handle?.abandonConnection();
        const kept = resolution.answer;
        if (kept !== undefined) entry.result = keptResult(kept);
        return {type: 'resolvedDone', attempt, kept: kept !== undefined};
      }
      case 'unknown':
        return {type: 'resolvedUnknown', attempt, kind: resolution.kind};
      case 'unreachable':
        return {type: 'resolveFailed', attempt};
    }
  }

  private cancel(attempt: number): void {
    const entry = this.attempts.get(attempt);
    if (entry === undefined) return;
    entry.silenceTimer?.();
    this.recordResult(entry, this.timedOut ? 'timedOut' : 'cancelled');
    entry.handle?.cancel();
  }

  private deliver(attempt: number): void {
    const entry = this.attempts.get(attempt);
    if (entry?.result === undefined) {
      this.finish({type: 'failed', kind: 'answerLost', runState: 'ran'});
      return;
    }
    if (!this.call.attributes.repeatable) entry.handle?.acknowledge();
    this.finish({
      type: 'answered',
      server: entry.pick.id,
      result: entry.result,
    });
  }

  private finish(outcome: CallOutcome): void {
    if (this.ended) return;
    this.ended = true;
    this.hedgeTimer?.();
    const delivered = outcome.type === 'answered' ? outcome.result : undefined;
    for (const entry of this.attempts.values()) {
      entry.silenceTimer?.();
      // An error answer that was held back while another attempt went on.
      if (entry.result !== undefined && entry.result !== delivered)
        discardBody(entry.result);
    }
    if (delivered?.body.type === 'stream') this.follow(delivered.body.stream);
    else this.deadlineTimer?.();
    this.done(outcome);
  }

  private follow(stream: AnswerStream): void {
    this.stream = stream;
    let reason = 'caller left';
    stream.once('error', err => (reason = err.message));
    stream.once('close', () => {
      this.stream = undefined;
      this.deadlineTimer?.();
      if (!stream.hasArrived)
        this.env.onDecision({what: 'streamBroken', reason});
    });
  }

  // A streamed answer occupies its server until its end, and only the end shows whether the server is sound.
  private recordAtStreamEnd(
    entry: Attempt,
    result: AttemptResult & {type: 'answered'},
    stream: AnswerStream,
  ): void {
    const {timers, router} = this.env;
    const now = timers.now();
    const headMs = now - entry.startedAt;
    if (result.report !== undefined)
      router.recordReport(now, entry.pick.id, result.report);
    let hasFailed = false;
    stream.once('error', () => (hasFailed = true));
    stream.once('close', () => {
      if (stream.hasArrived) {
        this.recordResult(entry, outcomeOf(result), undefined, headMs);
        return;
      }
      const atDeadline = this.isCallerSlow ? 'cancelled' : 'timedOut';
      const broken = this.timedOut ? atDeadline : 'failed';
      this.recordResult(entry, hasFailed ? broken : 'cancelled');
    });
  }

  private recordResult(
    entry: Attempt,
    outcome: PickResult['outcome'],
    result?: AttemptResult,
    elapsedMs = this.env.timers.now() - entry.startedAt,
  ): void {
    if (entry.isResultRecorded) return;
    entry.isResultRecorded = true;
    const now = this.env.timers.now();
    const report = result?.report;
    this.env.router.recordResult(now, {
      id: entry.pick.id,
      elapsedMs,
      report,
      gateUs: report === undefined ? undefined : result?.gateUs,
      outcome,
    });
  }
}

const DEADLINE_PASSED = 'deadline passed';
const MIN_SERVER_ERROR_STATUS = 500;
/** Least silence timeout of a repeatable call, as a multiple of the delay after which it is hedged. */
const SILENCE_TO_HEDGE_RATIO = 2;

/** Returns what a call's decision to leave its failure domain depends on. */
export function spillCallOf({attributes, body}: OutgoingCall): SpillCall {
  const {objective, deadline, route} = attributes;
  return {objective, deadline, route, requestBytes: body.length};
}

function outcomeOf(result: AttemptResult): PickResult['outcome'] {
  switch (result.type) {
    case 'answered':
      return result.status >= MIN_SERVER_ERROR_STATUS
        ? 'serverError'
        : 'answered';
    case 'refused':
      return refusalOutcome(result.kind);
    case 'broke':
      return 'failed';
  }
}

function refusalOutcome(kind: ErrorKind): PickResult['outcome'] {
  switch (kind) {
    case 'serverUnreachable':
      return 'failed';
    case 'rejectedByServer':
      return 'rejected';
    default:
      return 'refused';
  }
}

function discardBody(result: AttemptResult & {type: 'answered'}): void {
  if (result.body.type === 'stream') result.body.stream.destroy();
}

function keptResult(kept: BufferedAnswer): AttemptResult & {type: 'answered'} {
  return {
    type: 'answered',
    status: kept.status,
    headers: kept.headers,
    body: {type: 'whole', bytes: kept.body},
    report: undefined,
    gateUs: 0,
  };
}
