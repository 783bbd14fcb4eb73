/** Carries out the plan of one call: timers, attempts and the answer. */
import {CallPlan} from '@goldcresthill/attempts';
import type {CallCommand, CallEvent, Resolution} from '@goldcresthill/attempts';
import type {ErrorKind} from '@goldcresthill/errors';
import type {QuarantineStatus} from '@goldcresthill/quarantine';
import type {
  PickedServer,
  PickResult,
  ServiceRouter,
} from '@goldcresthill/routing';
import type {Cancel, Timers} from '@goldcresthill/timers';
import type {RunState} from '@goldcresthill/types';
import type {AttemptResult, BufferedAnswer} from '../gate/messages';
import type {OutgoingCall} from './gate_client';

/** How a call ended, for its caller. */
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

/** An attempt under way. */
export interface AttemptHandle {
  readonly cancel: () => void;
  /** Asks the gate what became of it. */
  readonly resolve: () => Promise<
    Resolution<BufferedAnswer> | {type: 'unreachable'}
  >;
  /** The connection has shown itself silent. */
  readonly giveUpConnection: () => void;
  /** The answer has arrived, so the gate need not keep it. */
  readonly acknowledge: () => void;
}

/** What a runner needs from the gateway. */
export interface CallEnvironment {
  readonly timers: Timers;
  readonly router: ServiceRouter;
  readonly sampled: boolean;
  /** Sends an attempt to the gate of a chosen server; undefined if its node is not known. */
  readonly send: (
    call: OutgoingCall,
    pick: PickedServer,
    suspect: boolean,
    retriesLeft: number,
    done: (result: AttemptResult) => void,
  ) => AttemptHandle | undefined;
  /** Asks servers for their load before one is chosen; `done` is called once with whether any was asked. */
  readonly consult: (
    exclude: readonly string[],
    done: (asked: boolean) => void,
  ) => void;
  readonly onDecision: (decision: Readonly<Record<string, unknown>>) => void;
  readonly onFault: (err: unknown) => void;
  /** Whether the request was in flight at servers that died. */
  readonly standing: () => QuarantineStatus;
  /** Off: lost attempts are not resolved with their gate. */
  readonly resolving?: boolean;
}

interface Attempt {
  readonly pick: PickedServer;
  readonly startedAt: number;
  handle: AttemptHandle | undefined;
  settled: boolean;
  silenceTimer: Cancel | undefined;
  result: (AttemptResult & {type: 'answered'}) | undefined;
}

/** Runs one call; `done` is called once. */
export class CallRunner {
  private readonly plan: CallPlan;
  private readonly attempts = new Map<number, Attempt>();
  private deadlineTimer: Cancel | undefined;
  private hedgeTimer: Cancel | undefined;
  private ended = false;
  private timedOut = false;

  constructor(
    private readonly call: OutgoingCall,
    private readonly env: CallEnvironment,
    private readonly done: (outcome: CallOutcome) => void,
  ) {
    const {router} = env;
    this.plan = new CallPlan({
      repeatable: call.info.repeatable,
      retriesLeft: call.info.retriesLeft,
      takeRetry: () => router.takeRetry(env.timers.now()),
      takeHedge: () => router.takeHedge(env.timers.now()),
      resolving: env.resolving,
      maxRuns: call.info.maxRuns,
      suspect: env.standing() === 'suspect',
    });
  }

  start(): void {
    const left = this.call.info.deadline - this.env.timers.now();
    this.deadlineTimer = this.env.timers.after(left, () => {
      this.timedOut = true;
      this.event({type: 'deadline'});
    });
    this.env.router.recordCall(this.env.timers.now());
    this.event({type: 'begin'});
    const hedgeAfter = this.env.router.hedgeAfterMs;
    if (this.call.info.repeatable && hedgeAfter < left) {
      this.hedgeTimer = this.env.timers.after(hedgeAfter, () =>
        this.event({type: 'hedgeDue'}),
      );
    }
  }

  /** The caller has gone away. */
  callerGone(): void {
    this.event({type: 'callerGone'});
  }

  private event(event: CallEvent): void {
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
        this.env.timers.after(
          command.afterMs,
          () => void this.resolve(command.attempt),
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
    this.env.consult(command.exclude, asked => {
      // The call may have ended meanwhile.
      if (this.plan.answered) return;
      this.guard(() => this.sendNow(command, asked));
    });
  }

  private sendNow(
    command: CallCommand & {type: 'send'},
    consulted: boolean,
  ): void {
    const {attempt} = command;
    const now = this.env.timers.now();
    const {router, sampled} = this.env;
    const standing = this.env.standing();
    // News may have come since the call began.
    if (standing === 'quarantined') {
      this.event({type: 'refused', attempt, kind: 'quarantined'});
      return;
    }
    const pick = router.pick(now, command.exclude, {
      explain: sampled,
      hedge: command.hedge,
      loadQueried: consulted,
    });
    if (pick === undefined) {
      this.event({type: 'noServer', attempt});
      return;
    }
    this.logPick(command, pick);
    const entry: Attempt = {
      pick,
      startedAt: now,
      handle: undefined,
      settled: false,
      silenceTimer: undefined,
      result: undefined,
    };
    this.attempts.set(attempt, entry);
    this.event({type: 'sent', attempt, server: pick.id});
    const suspect = command.suspect || standing === 'suspect';
    entry.handle = this.env.send(
      this.call,
      pick,
      suspect,
      this.plan.retriesForDownstream,
      result => this.attemptEnded(attempt, entry, result),
    );
    if (entry.handle === undefined) {
      this.settle(entry, 'failed');
      this.event({type: 'refused', attempt, kind: 'serverUnreachable'});
      return;
    }
    if (!entry.settled) this.armSilence(attempt, entry);
  }

  private logPick(
    command: CallCommand & {type: 'send'},
    pick: PickedServer,
  ): void {
    const {attempt, hedge} = command;
    const {id, reason, scoreUs, candidates, setAside, scores} = pick;
    const why = hedge ? `hedged, ${reason}` : reason;
    this.env.onDecision({
      what: 'route',
      service: this.call.info.service,
      attempt,
      server: id,
      reason: why,
      scoreUs: scoreUs === undefined ? undefined : Math.round(scoreUs),
      candidates,
      setAside,
      scores,
    });
  }

  private armSilence(attempt: number, entry: Attempt): void {
    const silenceMs = this.silenceMs();
    entry.silenceTimer = this.env.timers.after(silenceMs, () =>
      this.event({type: 'silent', attempt}),
    );
  }

  // What may be repeated is sent again only when it is slow for this service.
  private silenceMs(): number {
    const {silenceMs} = this.env.router.currentRules;
    const usualMs = this.env.router.hedgeAfterMs;
    const slow = this.call.info.repeatable && Number.isFinite(usualMs);
    return slow ? Math.max(silenceMs, SLOW_RATIO * usualMs) : silenceMs;
  }

  private attemptEnded(
    attempt: number,
    entry: Attempt,
    result: AttemptResult,
  ): void {
    entry.silenceTimer?.();
    this.settle(entry, outcomeOf(result), result);
    switch (result.type) {
      case 'answered':
        entry.result = result;
        if (this.plan.answered) discard(result);
        this.event({
          type: 'answered',
          attempt,
          error: result.status >= SERVER_ERROR,
        });
        return;
      case 'refused':
        this.event({type: 'refused', attempt, kind: result.kind});
        return;
      case 'broke':
        this.event({type: 'broke', attempt, kind: result.kind});
        return;
    }
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
    this.event(this.toEvent(attempt, entry, resolution));
  }

  private toEvent(
    attempt: number,
    entry: Attempt,
    resolution: Resolution<BufferedAnswer> | {type: 'unreachable'},
  ): CallEvent {
    switch (resolution.type) {
      case 'notRun':
        if (resolution.kind === 'fenced') entry.handle?.giveUpConnection();
        return {type: 'resolvedNotRun', attempt, kind: resolution.kind};
      case 'running':
        return {type: 'resolvedRunning', attempt};
      case 'done': {
        entry.handle?.giveUpConnection();
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
    this.settle(entry, this.timedOut ? 'timedOut' : 'cancelled');
    entry.handle?.cancel();
  }

  private deliver(attempt: number): void {
    const entry = this.attempts.get(attempt);
    if (entry?.result === undefined) {
      this.finish({type: 'failed', kind: 'answerLost', runState: 'ran'});
      return;
    }
    if (!this.call.info.repeatable) entry.handle?.acknowledge();
    this.finish({
      type: 'answered',
      server: entry.pick.id,
      result: entry.result,
    });
  }

  private finish(outcome: CallOutcome): void {
    if (this.ended) return;
    this.ended = true;
    this.deadlineTimer?.();
    this.hedgeTimer?.();
    for (const entry of this.attempts.values()) entry.silenceTimer?.();
    this.done(outcome);
  }

  private settle(
    entry: Attempt,
    outcome: PickResult['outcome'],
    result?: AttemptResult,
  ): void {
    if (entry.settled) return;
    entry.settled = true;
    const now = this.env.timers.now();
    const report = result?.report;
    this.env.router.recordResult(now, {
      id: entry.pick.id,
      elapsedMs: now - entry.startedAt,
      report,
      gateUs: report === undefined ? undefined : result?.gateUs,
      outcome,
    });
  }
}

const SERVER_ERROR = 500;
/** A repeatable call is slow after this many times the latency at which it is hedged. */
const SLOW_RATIO = 2;

function outcomeOf(result: AttemptResult): PickResult['outcome'] {
  switch (result.type) {
    case 'answered':
      return result.status >= SERVER_ERROR ? 'serverError' : 'answered';
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

function discard(result: AttemptResult & {type: 'answered'}): void {
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
