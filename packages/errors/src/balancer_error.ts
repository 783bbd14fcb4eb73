/** The one error class that crosses package borders. */
import type {ErrorAnswer, ErrorKind} from './error_kinds';
import {answerFor} from './error_kinds';

/** An error of a known kind. */
export class BalancerError extends Error {
  constructor(
    readonly kind: ErrorKind,
    detail: string,
  ) {
    super(`${kind}: ${detail}`);
    this.name = 'BalancerError';
  }

  /** What the caller is told. */
  get answer(): ErrorAnswer {
    return answerFor(this.kind);
  }
}
