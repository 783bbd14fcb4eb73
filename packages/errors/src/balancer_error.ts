/** The one error class that crosses package borders. */
import type {ErrorAnswer, ErrorKind} from './kinds';
import {answerTo} from './kinds';

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
    return answerTo(this.kind);
  }
}
