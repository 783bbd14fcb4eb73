/** Bodies held whole in memory, within limits. */
import type {IncomingMessage} from 'node:http';
import {BalancerError} from '@goldcresthill/errors';

/** Bytes that all bodies held at once may take. */
export class BodyBudget {
  private reserved = 0;

  constructor(private readonly maxBytes: number) {}

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

const EMPTY = Buffer.alloc(0);

/** What reading is bounded by. */
export interface ReadBodyOptions {
  readonly maxBytes: number;
  readonly budget: BodyBudget;
  /** Longest time for the whole body, milliseconds. */
  readonly timeoutMs: number;
}

/** Whether a request says that it has a body. */
export function hasBody(req: IncomingMessage): boolean {
  const length = req.headers['content-length'];
  if (req.headers['transfer-encoding'] !== undefined) return true;
  return length !== undefined && length !== '0';
}

/**
 * Reads a request's body. The caller gives the bytes back to the budget.
 * Fails with bodyTooLarge, overloaded, slowSender or malformedRequest.
 */
export function readBody(
  req: IncomingMessage,
  options: ReadBodyOptions,
  done: (result: Buffer | BalancerError) => void,
): void {
  if (!hasBody(req)) {
    done(EMPTY);
    return;
  }
  if (Number(req.headers['content-length'] ?? 0) > options.maxBytes) {
    done(new BalancerError('bodyTooLarge', `over ${options.maxBytes} bytes`));
    return;
  }
  new BodyReader(req, options, done).start();
}

class BodyReader {
  private readonly chunks: Buffer[] = [];
  private receivedBytes = 0;
  private ended = false;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly req: IncomingMessage,
    private readonly options: ReadBodyOptions,
    private readonly done: (result: Buffer | BalancerError) => void,
  ) {}

  start(): void {
    this.timer = setTimeout(
      () => this.fail(new BalancerError('slowSender', 'body not sent in time')),
      this.options.timeoutMs,
    );
    this.req.on('data', (chunk: Buffer) => this.append(chunk));
    this.req.on('end', () => this.finish());
    this.req.on('error', () => this.failIfIncomplete());
    this.req.on('close', () => this.failIfIncomplete());
  }

  private append(chunk: Buffer): void {
    if (this.ended) return;
    if (this.receivedBytes + chunk.length > this.options.maxBytes) {
      const limit = `over ${this.options.maxBytes} bytes`;
      this.fail(new BalancerError('bodyTooLarge', limit));
      return;
    }
    if (!this.options.budget.reserve(chunk.length)) {
      this.fail(new BalancerError('overloaded', 'no room for request bodies'));
      return;
    }
    this.receivedBytes += chunk.length;
    this.chunks.push(chunk);
  }

  private failIfIncomplete(): void {
    if (!this.req.complete) {
      this.fail(new BalancerError('malformedRequest', 'body broke off'));
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
    clearTimeout(this.timer);
  }
}
