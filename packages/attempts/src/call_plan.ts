/** Plan of one call at its gateway: when to send, retry, hedge, resolve with the gate, fail or deliver an answer. */
import type {ErrorKind} from '@goldcresthill/errors';
import {answerFor} from '@goldcresthill/errors';
import {invariant} from '@goldcresthill/types';
import type {RunState} from '@goldcresthill/types';

/** Options of a call plan. */
export interface CallPlanOptions {
  /** Whether the call may run more than once. */
  readonly repeatable: boolean;
  /** Most attempts, refused ones included. */
  readonly maxAttempts?: number;
  /** Most servers that may run the call; no bound if undefined. */
  readonly maxRuns?: number;
  /** Retries after a silence, a lost outcome or an error answer that this call tree still allows. */
  readonly retriesLeft: number;
  /** Takes one retry from the service's budget; returns false if it is spent. */
  readonly takeRetry: () => boolean;
  /** Takes one hedged attempt from the service's budget; returns false if it is spent. */
  readonly takeHedge: () => boolean;
  /** Whether the request was in flight at a server that died before this call. */
  readonly suspect?: boolean;
  /** Whether attempts with a lost connection or no answer are resolved with their gate; on if undefined. */
  readonly resolving?: boolean;
}

/** Event in the life of a call. Attempts are numbered from 0. */
export type CallEvent =
  | {readonly type: 'begin'}
  | {readonly type: 'sent'; readonly attempt: number; readonly server: string}
  | {
      readonly type: 'noServer';
      readonly attempt: number;
      /** Reason if there are servers, but none would admit the call. */
      readonly kind?: ErrorKind;
    }
  | {
      readonly type: 'refused';
      readonly attempt: number;
      readonly kind: ErrorKind;
    }
  | {
      readonly type: 'answered';
      readonly attempt: number;
      /** Whether the server answered with an error. */
      readonly error?: boolean;
    }
  | {readonly type: 'broke'; readonly attempt: number; readonly kind: ErrorKind}
  /** No answer within the silence timeout. */
  | {readonly type: 'silent'; readonly attempt: number}
  | {
      readonly type: 'resolvedNotRun';
      readonly attempt: number;
      readonly kind: ErrorKind;
    }
  | {readonly type: 'resolvedRunning'; readonly attempt: number}
  | {
      readonly type: 'resolvedDone';
      readonly attempt: number;
      /** Whether the gate still has the answer. */
      readonly kept: boolean;
    }
  | {
      readonly type: 'resolvedUnknown';
      readonly attempt: number;
      readonly kind: ErrorKind;
    }
  | {readonly type: 'resolveFailed'; readonly attempt: number}
  | {readonly type: 'hedgeDue'}
  | {readonly type: 'deadline'}
  | {readonly type: 'callerGone'};

/** Command to the gateway. */
export type CallCommand =
  | {
      readonly type: 'send';
      readonly attempt: number;
      /** Servers already tried by this call. */
      readonly exclude: readonly string[];
      readonly hedge: boolean;
      readonly suspect: boolean;
    }
  | {
      readonly type: 'resolve';
      readonly attempt: number;
      readonly afterMs: number;
    }
  | {readonly type: 'cancel'; readonly attempt: number}
  | {readonly type: 'deliver'; readonly attempt: number}
  | {
      readonly type: 'fail';
      readonly kind: ErrorKind;
      readonly runState: RunState;
    };

type AttemptState =
  | 'picking'
  | 'sent'
  | 'resolving'
  | 'notRun'
  | 'lost'
  /** Answered with an error that is held back, as another attempt may still succeed. */
  | 'errorHeld'
  | 'answered';

interface Attempt {
  state: AttemptState;
  server: string | undefined;
  /** Number of repeated requests to the gate to resolve the attempt. */
  resolveRetries: number;
}

const DEFAULT_MAX_ATTEMPTS = 6;
/** Initial backoff before a gate is asked again to resolve an attempt; it doubles each time. */
const RESOLVE_BACKOFF_MS = 50;
const MAX_RESOLVE_BACKOFF_MS = 1_000;
/** Server deaths with the request in flight after which the call counts as their cause and is not sent again. */
const MAX_SERVER_DEATHS = 2;
/** Attempts after a refusal by a gate that take no retry from the service's budget. */
const UNBUDGETED_REROUTES = 1;

/** Refusals by the server itself. */
const SERVER_REFUSALS: ReadonlySet<ErrorKind> = new Set([
  'shedByServer',
  'rejectedByServer',
]);

/** States in which the attempt has no outcome yet. */
const OPEN_STATES: readonly AttemptState[] = ['picking', 'sent', 'resolving'];

/**
 * State machine of one call. It answers the caller exactly once and never risks
 * a second run of a call that must not be repeated.
 */
export class CallPlan {
  private readonly attempts: Attempt[] = [];
  private readonly triedServers: string[] = [];
  private readonly maxAttempts: number;
  private retriesLeft: number;
  private reroutes = 0;
  private suspect: boolean;
  private serverDeaths: number;
  private concluded = false;
  private heldErrorAttempt: number | undefined;
  private lastRefusal: ErrorKind | undefined;

  constructor(private readonly options: CallPlanOptions) {
    this.maxAttempts = options.maxAttempts ?? DEFAULT_MAX_ATTEMPTS;
    this.retriesLeft = options.retriesLeft;
    this.suspect = options.suspect ?? false;
    this.serverDeaths = this.suspect ? 1 : 0;
  }

  /** Applies an event and returns the commands that follow; empty once the caller has been answered. */
  handle(event: CallEvent): CallCommand[] {
    if (this.concluded) return [];
    switch (event.type) {
      case 'begin':
        return [this.send(false)];
      case 'hedgeDue':
        return this.hedge();
      case 'deadline':
        return this.giveUp('deadlinePassed', 'deadlineTooShort');
      case 'callerGone':
        return this.giveUp('connectionLost', 'deadlineTooShort');
      case 'sent':
        return this.onSent(event.attempt, event.server);
      case 'noServer':
        if (event.kind !== undefined) this.lastRefusal = event.kind;
        return this.onNotRun(event.attempt, 'noServer');
      case 'refused':
        return this.onNotRun(event.attempt, event.kind);
      case 'resolvedNotRun':
        return this.onNotRun(event.attempt, event.kind);
      case 'answered':
        return this.onAnswered(event.attempt, event.error ?? false);
      case 'broke':
        return this.onBroke(event.attempt, event.kind);
      case 'silent':
        return this.onSilent(event.attempt);
      case 'resolvedRunning':
      case 'resolveFailed':
        return this.resolveAgain(event.attempt);
      case 'resolvedDone':
        return event.kept
          ? this.deliver(event.attempt)
          : this.failAnswerLost(event.attempt);
      case 'resolvedUnknown':
        return this.onOutcomeLost(event.attempt, event.kind);
    }
  }

  /** Whether the call has ended with an answer or a failure. */
  get answered(): boolean {
    return this.concluded;
  }

  /**
   * Retries passed to downstream calls. Halving at each level bounds the attempts
   * of a call tree at any depth: with 3 at the top there are at most 8.
   */
  get retriesForDownstream(): number {
    return Math.floor(this.retriesLeft / 2);
  }

  private send(hedge: boolean): CallCommand {
    invariant(
      this.options.repeatable || this.attempts.every(a => a.state === 'notRun'),
      'call.once',
      () => this.attempts.map(a => a.state).join(','),
    );
    const attempt = this.attempts.length;
    this.attempts.push({
      state: 'picking',
      server: undefined,
      resolveRetries: 0,
    });
    const exclude = [...this.triedServers];
    return {type: 'send', attempt, exclude, hedge, suspect: this.suspect};
  }

  private onSent(attempt: number, server: string): CallCommand[] {
    const entry = this.entry(attempt);
    if (entry.state !== 'picking') return [];
    entry.state = 'sent';
    entry.server = server;
    this.triedServers.push(server);
    return [];
  }

  private onNotRun(attempt: number, kind: ErrorKind): CallCommand[] {
    const entry = this.entry(attempt);
    if (!OPEN_STATES.includes(entry.state)) return [];
    const commands: CallCommand[] =
      entry.state === 'resolving' ? [{type: 'cancel', attempt}] : [];
    entry.state = 'notRun';
    if (this.hasOpenAttempt()) return commands;
    return [...commands, ...this.reroute(kind)];
  }

  private reroute(kind: ErrorKind): CallCommand[] {
    if (kind === 'noServer') return this.fail(this.lastRefusal ?? kind);
    if (kind === 'quarantined') return this.fail(kind);
    this.lastRefusal = kind;
    if (this.attempts.length >= this.maxAttempts) return this.fail(kind);
    if (!this.takeReroute(kind)) {
      return this.fail(kind);
    }
    return [this.send(false)];
  }

  // A refusal by the gate has put no load on the server, but a refusal by the
  // server has.
  private takeReroute(kind: ErrorKind): boolean {
    if (!SERVER_REFUSALS.has(kind)) this.reroutes++;
    const isUnbudgeted =
      !SERVER_REFUSALS.has(kind) && this.reroutes <= UNBUDGETED_REROUTES;
    return isUnbudgeted || this.options.takeRetry();
  }

  private onBroke(attempt: number, kind: ErrorKind): CallCommand[] {
    const entry = this.entry(attempt);
    if (entry.state === 'picking' || !OPEN_STATES.includes(entry.state))
      return [];
    if (kind === 'serverDied') {
      this.suspect = true;
      this.serverDeaths++;
      return this.onOutcomeLost(attempt, kind);
    }
    if (this.options.repeatable) return this.onOutcomeLost(attempt, kind);
    if (this.options.resolving === false)
      return this.onOutcomeLost(attempt, kind);
    if (entry.state === 'resolving') return [];
    entry.state = 'resolving';
    return [{type: 'resolve', attempt, afterMs: 0}];
  }

  private onSilent(attempt: number): CallCommand[] {
    const entry = this.entry(attempt);
    if (entry.state !== 'sent') return [];
    if (this.options.repeatable) {
      return this.mayRunConcurrently() ? this.retry() : [];
    }
    if (this.options.resolving === false) return [];
    entry.state = 'resolving';
    return [{type: 'resolve', attempt, afterMs: 0}];
  }

  private resolveAgain(attempt: number): CallCommand[] {
    const entry = this.entry(attempt);
    if (entry.state !== 'resolving') return [];
    const backoffMs = RESOLVE_BACKOFF_MS * 2 ** entry.resolveRetries++;
    return [
      {
        type: 'resolve',
        attempt,
        afterMs: Math.min(MAX_RESOLVE_BACKOFF_MS, backoffMs),
      },
    ];
  }

  private onOutcomeLost(attempt: number, kind: ErrorKind): CallCommand[] {
    const entry = this.entry(attempt);
    if (!OPEN_STATES.includes(entry.state)) return [];
    entry.state = 'lost';
    if (this.hasOpenAttempt()) return [];
    if (!this.options.repeatable) return this.fail(kind);
    const commands = this.retry();
    return commands.length > 0 ? commands : this.fail(kind);
  }

  private retry(): CallCommand[] {
    if (this.serverDeaths >= MAX_SERVER_DEATHS) return [];
    if (this.retriesLeft <= 0) return [];
    if (!this.mayRunAgain()) return [];
    if (!this.options.takeRetry()) return [];
    this.retriesLeft--;
    return [this.send(false)];
  }

  // A refused attempt has not run and never will, so it doesn't count as a run.
  private mayRunAgain(): boolean {
    if (this.attempts.length >= this.maxAttempts) return false;
    const possibleRuns = this.attempts.filter(a => a.state !== 'notRun').length;
    return possibleRuns < (this.options.maxRuns ?? Infinity);
  }

  private hedge(): CallCommand[] {
    if (!this.options.repeatable || !this.mayRunConcurrently()) return [];
    if (!this.mayRunAgain()) return [];
    return this.options.takeHedge() ? [this.send(true)] : [];
  }

  // A request that may crash servers is sent to one server at a time.
  private mayRunConcurrently(): boolean {
    return !this.suspect && this.openCount() === 1;
  }

  // An error answer is held back while another attempt may still succeed.
  private onAnswered(attempt: number, error: boolean): CallCommand[] {
    const entry = this.entry(attempt);
    if (!error || !OPEN_STATES.includes(entry.state))
      return this.deliver(attempt);
    if (this.openCount() > 1) {
      this.holdError(attempt);
      return [];
    }
    const retryCommands = this.options.repeatable ? this.retry() : [];
    if (retryCommands.length === 0) return this.deliver(attempt);
    this.holdError(attempt);
    return retryCommands;
  }

  private holdError(attempt: number): void {
    this.entry(attempt).state = 'errorHeld';
    this.heldErrorAttempt ??= attempt;
  }

  private deliver(attempt: number): CallCommand[] {
    const entry = this.entry(attempt);
    if (!OPEN_STATES.includes(entry.state) && entry.state !== 'errorHeld')
      return [];
    const wasResolving = entry.state === 'resolving';
    entry.state = 'answered';
    this.conclude();
    const cancelOwn: CallCommand[] = wasResolving
      ? [{type: 'cancel', attempt}]
      : [];
    return [{type: 'deliver', attempt}, ...cancelOwn, ...this.cancelOpen()];
  }

  private failAnswerLost(attempt: number): CallCommand[] {
    this.entry(attempt).state = 'lost';
    return this.fail('answerLost');
  }

  private giveUp(
    kindIfUnknown: ErrorKind,
    kindIfNotRun: ErrorKind,
  ): CallCommand[] {
    const picking = this.attempts.filter(a => a.state === 'picking');
    picking.forEach(a => (a.state = 'notRun'));
    return this.fail(this.isProvenNotRun() ? kindIfNotRun : kindIfUnknown);
  }

  private fail(kind: ErrorKind): CallCommand[] {
    if (this.heldErrorAttempt !== undefined)
      return this.deliver(this.heldErrorAttempt);
    const provenNotRun = this.isProvenNotRun();
    const runStateOfKind = answerFor(kind).runState;
    const reportedKind =
      runStateOfKind === 'notRun' && !provenNotRun ? 'connectionLost' : kind;
    const runState = answerFor(reportedKind).runState;
    invariant(
      runState !== 'notRun' || provenNotRun,
      'call.notRun',
      () => `${kind} with ${this.attempts.map(a => a.state).join(',')}`,
    );
    this.conclude();
    return [...this.cancelOpen(), {type: 'fail', kind: reportedKind, runState}];
  }

  private conclude(): void {
    invariant(
      !this.concluded,
      'call.oneAnswer',
      () => 'the caller was answered twice',
    );
    this.concluded = true;
  }

  private cancelOpen(): CallCommand[] {
    const commands: CallCommand[] = [];
    this.attempts.forEach((entry, attempt) => {
      if (!OPEN_STATES.includes(entry.state)) return;
      entry.state = 'lost';
      commands.push({type: 'cancel', attempt});
    });
    return commands;
  }

  private isProvenNotRun(): boolean {
    return this.attempts.every(a => a.state === 'notRun');
  }

  private hasOpenAttempt(): boolean {
    return this.openCount() > 0;
  }

  private openCount(): number {
    return this.attempts.filter(a => OPEN_STATES.includes(a.state)).length;
  }

  private entry(attempt: number): Attempt {
    const entry = this.attempts[attempt];
    invariant(
      entry !== undefined,
      'call.attempt',
      () => `no attempt ${attempt}`,
    );
    return entry;
  }
}
