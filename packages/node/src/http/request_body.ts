/** Buffers request bodies in memory, within limits. */
import type {IncomingMessage} from 'node:http';
import {BalancerError} from '@goldcresthill/errors';
import {runAfter} from '@goldcresthill/timers';
import type {Cancel} from '@goldcresthill/timers';

/** Limit on the total size of all bodies that are buffered at once. */
export class BodyBudget {
  private reserved = 0;

  constructor(private readonly maxBytes: number) {}

  /** Reserves bytes; false if they would exceed the limit. */
  reserve(bytes: number): boolean {
    if (this.reserved + bytes > this.maxBytes) return false;
    this.reserved += bytes;
    return true;
  }

  release(bytes: number): void {
    this.reserved -= bytes;
  }

  get reservedBytes(): number {
    return this.reserved;
  }
}

const EMPTY_BODY = Buffer.alloc(0);

/** Options of readBody. */
export interface ReadBodyOptions {
  readonly maxBytes: number;
  readonly budget: BodyBudget;
  /** Maximum time to receive the body, milliseconds. */
  readonly timeoutMs: number;
}

/** Whether the headers of a request announce a body. */
export function hasBody(req: IncomingMessage): boolean {
  const length = req.headers['content-length'];
  if (req.headers['transfer-encoding'] !== undefined) return true;
  return length !== undefined && length !== '0';
}

/**
 * Reads a request's body; `done` is called once. On success the bytes stay
 * reserved, and the caller must release them to the budget. Fails with
 * bodyTooLarge, overloaded, slowSender or malformedRequest.
 */
export function readBody(
  req: IncomingMessage,
  options: ReadBodyOptions,
  done: (result: Buffer | BalancerError) => void,
): void {
  if (!hasBody(req)) {
    done(EMPTY_BODY);
    return;
  }
  if (Number(req.headers['content-length'] ?? 0) > options.maxBytes) {
    done(
      new BalancerError(
        'bodyTooLarge',
        `body exceeds ${options.maxBytes} bytes`,
      ),
    );
    return;
  }
  new BodyReader(req, options, done).start();
}

class BodyReader {
  private readonly chunks: Buffer[] = [];
  private receivedBytes = 0;
  private ended = false;
  private cancelTimeout: Cancel = () => undefined;

  constructor(
    private readonly req: IncomingMessage,
    private readonly options: ReadBodyOptions,
    private readonly done: (result: Buffer | BalancerError) => void,
  ) {}

  start(): void {
    this.cancelTimeout = runAfter(this.options.timeoutMs, () =>
      this.fail(
        new BalancerError(
          'slowSender',
          'request body was not received in time',
        ),
      ),
    );
    this.req.on('data', (chunk: Buffer) => this.append(chunk));
    this.req.on('end', () => this.finish());
    this.req.on('error', () => this.failIfIncomplete());
    this.req.on('close', () => this.failIfIncomplete());
  }

  private append(chunk: Buffer): void {
    if (this.ended) return;
    if (this.receivedBytes + chunk.length > this.options.maxBytes) {
      const limit = `body exceeds ${this.options.maxBytes} bytes`;
      this.fail(new BalancerError('bodyTooLarge', limit));
      return;
    }
    if (!this.options.budget.reserve(chunk.length)) {
      this.fail(
        new BalancerError('overloaded', 'buffer for request bodies is full'),
      );
      return;
    }
    this.receivedBytes += chunk.length;
    this.chunks.push(chunk);
  }

  private failIfIncomplete(): void {
    if (!this.req.complete) {
      this.fail(
        new BalancerError('malformedRequest', 'request body is incomplete'),
      );
    }
  }

  private finish(): void {
    if (this.ended || !this.req.complete) return;
    this.stop();
    const [only] = this.chunks;
    const isSingleChunk = this.chunks.length === 1 && only !== undefined;
    this.done(isSingleChunk ? only : Buffer.concat(this.chunks));
  }

  private fail(err: BalancerError): void {
    if (this.ended) return;
    this.stop();
    this.options.budget.release(this.receivedBytes);
    this.done(err);
  }

  private stop(): void {
    this.ended = true;
    this.cancelTimeout();
  }
}
