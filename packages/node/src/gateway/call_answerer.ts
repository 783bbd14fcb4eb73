/** Answers the callers of a gateway and records the outcomes in metrics. */
import type {ServerResponse} from 'node:http';
import type {ErrorKind} from '@goldcresthill/errors';
import type {Metrics} from '@goldcresthill/metrics';
import type {Timers} from '@goldcresthill/timers';
import type {InputBudget} from '../http/input_budget';
import type {AnswerContext} from './answer_writer';
import type {HandledOutcome} from './call_handler';
import type {CallerInterface} from './caller_interface';
import type {OutgoingCall} from './gate_client';

/** A call and the response to its caller. */
export interface CallContext {
  readonly res: ServerResponse;
  readonly call: OutgoingCall;
  /** Time at which the request arrived, milliseconds. */
  readonly startedAt: number;
}

/** Options of CallAnswerer. */
export interface CallAnswererOptions {
  readonly timers: Timers;
  readonly metrics: Metrics;
  readonly callers: CallerInterface;
  /** Accounts for answers that wait for their callers. */
  readonly budget?: InputBudget;
  /** Whether to close connections after their answers. */
  readonly isClosing: () => boolean;
  /** Returns the time after which a refused caller may be served, milliseconds; undefined if it is the usual one. */
  readonly retryAfterMs: (needsRestart: boolean) => number | undefined;
  /**
   * Delay before a caller is told that its call's server died, milliseconds.
   * It lets the quarantine update reach all nodes before a resend.
   */
  readonly crashErrorDelayMs?: number;
  readonly onFault: (err: unknown) => void;
}

const DEFAULT_CRASH_ERROR_DELAY_MS = 500;
const MICROS_PER_MILLI = 1_000;

/** Writes one answer for each call. */
export class CallAnswerer {
  constructor(private readonly options: CallAnswererOptions) {}

  answer(context: CallContext, outcome: HandledOutcome): void {
    try {
      this.finish(context, outcome);
    } catch (err) {
      // Node.js may reject headers of the server that are invalid.
      this.options.onFault(err);
      const {res} = context;
      if (res.headersSent) res.destroy();
      else this.writeError(context, 'brokenAnswer');
    }
  }

  private finish(context: CallContext, outcome: HandledOutcome): void {
    const {timers, metrics, callers} = this.options;
    const {service} = context.call.attributes;
    const callUs = (timers.now() - context.startedAt) * MICROS_PER_MILLI;
    metrics.histogram('call_us', {service}).recordUs(callUs);
    switch (outcome.type) {
      case 'failed':
        this.failAfterDelay(context, outcome.kind);
        return;
      case 'kept':
        metrics.count('calls_total', {service, outcome: 'kept'});
        callers.writeKeptAnswer(
          context.res,
          this.answerContext(context),
          outcome.answer,
        );
        return;
      case 'answered': {
        const hopUs = callUs - outcome.result.gateUs;
        metrics.histogram('hop_us', {service}).recordUs(hopUs);
        metrics.count('calls_total', {service, outcome: 'answered'});
        const {body} = outcome.result;
        if (body.type === 'stream') {
          const {stream} = body;
          stream.once('close', () => {
            if (!stream.hasArrived)
              metrics.count('streams_broken_total', {service});
          });
        }
        const answer = this.answerContext(context, outcome.server);
        callers.writeAnswer(context.res, answer, outcome.result);
        return;
      }
    }
  }

  // The quarantine update for a server's death must reach all nodes before the caller resends the request.
  private failAfterDelay(context: CallContext, kind: ErrorKind): void {
    const {timers, crashErrorDelayMs = DEFAULT_CRASH_ERROR_DELAY_MS} =
      this.options;
    const delayMs = kind === 'serverDied' ? crashErrorDelayMs : 0;
    if (delayMs === 0) this.fail(context, kind);
    else timers.after(delayMs, () => this.fail(context, kind));
  }

  private fail(context: CallContext, kind: ErrorKind): void {
    const {service} = context.call.attributes;
    this.options.metrics.count('calls_total', {service, outcome: kind});
    this.writeError(context, kind);
  }

  private writeError(context: CallContext, kind: ErrorKind): void {
    const {callers, retryAfterMs} = this.options;
    // Such a call does not end before this node closes.
    const needsRestart =
      context.call.attributes.mustEnd === true && kind === 'deadlineTooShort';
    callers.writeError(
      context.res,
      {
        ...this.answerContext(context),
        retryAfterMs: retryAfterMs(needsRestart),
      },
      kind,
    );
  }

  private answerContext(context: CallContext, server?: string): AnswerContext {
    const {callId} = context.call.attributes;
    const {budget, isClosing} = this.options;
    return {callId, server, closeConnection: isClosing(), budget};
  }
}
