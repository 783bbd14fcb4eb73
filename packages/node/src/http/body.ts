/** Bodies held whole in memory, within limits. */
import type {IncomingMessage} from 'node:http';
import {BalancerError} from '@goldcresthill/errors';

/** Bytes that all bodies held at once may take. */
export class BodyBudget {
  private used = 0;

  constructor(private readonly maxBytes: number) {}

  take(bytes: number): boolean {
    if (this.used + bytes > this.maxBytes) return false;
    this.used += bytes;
    return true;
  }

  give(bytes: number): void {
    this.used -= bytes;
  }

  get bytes(): number {
    return this.used;
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
  private bytes = 0;
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
    this.req.on('data', (chunk: Buffer) => this.take(chunk));
    this.req.on('end', () => this.finish());
    this.req.on('error', () => this.broken());
    this.req.on('close', () => this.broken());
  }

  private take(chunk: Buffer): void {
    if (this.ended) return;
    if (this.bytes + chunk.length > this.options.maxBytes) {
      const limit = `over ${this.options.maxBytes} bytes`;
      this.fail(new BalancerError('bodyTooLarge', limit));
      return;
    }
    if (!this.options.budget.take(chunk.length)) {
      this.fail(new BalancerError('overloaded', 'no room for request bodies'));
      return;
    }
    this.bytes += chunk.length;
    this.chunks.push(chunk);
  }

  private broken(): void {
    if (!this.req.complete) {
      this.fail(new BalancerError('malformedRequest', 'body broke off'));
    }
  }

  private finish(): void {
    if (this.ended || !this.req.complete) return;
    this.end();
    const [only] = this.chunks;
    const whole = this.chunks.length === 1 && only !== undefined;
    this.done(whole ? only : Buffer.concat(this.chunks));
  }

  private fail(err: BalancerError): void {
    if (this.ended) return;
    this.end();
    this.options.budget.give(this.bytes);
    this.done(err);
  }

  private end(): void {
    this.ended = true;
    clearTimeout(this.timer);
  }
}
