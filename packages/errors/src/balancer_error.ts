/** The error class that the packages share. */
import type {ErrorAnswer, ErrorKind} from './error_kinds';
import {answerFor} from './error_kinds';

/** An error with a kind that determines the answer to the caller or operator. */
export class BalancerError extends Error {
  constructor(
    readonly kind: ErrorKind,
    detail: string,
    /** Time after which the same request may be served, milliseconds, if it is known. */
    readonly retryAfterMs?: number,
  ) {
    super(`${kind}: ${detail}`);
    this.name = 'BalancerError';
  }

  /** Status, run state and resend safety to report for this error. */
  get answer(): ErrorAnswer {
    return answerFor(this.kind);
  }
}
