/** Body of an answer that is forwarded while it arrives. */
import {PassThrough} from 'node:stream';

/**
 * Ends with the last byte of the answer, or fails if its sender breaks off, its
 * reader leaves, or its request's owner calls `breakOff`. Emits `close` once in each case.
 */
export class AnswerStream extends PassThrough {
  /** Whether the last byte has arrived; some bytes may still wait for the reader. */
  get hasArrived(): boolean {
    return this.writableEnded;
  }

  /** Whether the reader takes the answer more slowly than it arrives. */
  get isWaitingForReader(): boolean {
    return this.writableNeedDrain;
  }

  /** Fails the answer unless its last byte has arrived. Its reader sees a broken connection, never a complete answer. */
  breakOff(reason: string): void {
    if (!this.hasArrived) this.destroy(new Error(reason));
  }
}
