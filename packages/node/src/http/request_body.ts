/** Buffers request bodies in memory, within limits. */
import type {IncomingMessage} from 'node:http';
import {BalancerError} from '@goldcresthill/errors';
import {runAfter} from '@goldcresthill/timers';
import type {Cancel} from '@goldcresthill/timers';
import {GrowingBuffer} from './growing_buffer';
import type {InputBudget, Retention} from './input_budget';

const EMPTY_BODY = Buffer.alloc(0);
/** Memory of an unfinished body apart from its bytes, for its trailer and the objects of its request, bytes. */
const UNFINISHED_BYTES = 16_384;

/** Chunks after which a sender of smaller ones than the size below counts as costly. */
const MANY_CHUNKS = 64;
const TINY_CHUNK_BYTES = 64;

/** A complete body. */
export interface ReceivedBody {
  readonly bytes: Buffer;
  /** Gives the memory of the body back to the budget; further calls have no effect. */
  readonly release: () => void;
}

const NO_BODY: ReceivedBody = {bytes: EMPTY_BODY, release: () => undefined};

/** Options of readBody. */
export interface ReadBodyOptions {
  readonly maxBytes: number;
  readonly budget: InputBudget;
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
 * Reads a request's body; `done` is called once. On success the memory stays
 * accounted until the caller releases the body. Fails with bodyTooLarge,
 * overloaded, slowSender or malformedRequest.
 */
export function readBody(
  req: IncomingMessage,
  options: ReadBodyOptions,
  done: (result: ReceivedBody | BalancerError) => void,
): void {
  if (!hasBody(req)) {
    done(NO_BODY);
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
  private readonly received: GrowingBuffer;
  private readonly retention: Retention;
  private ended = false;
  private chunks = 0;
  private cancelTimeout: Cancel = () => undefined;

  constructor(
    private readonly req: IncomingMessage,
    private readonly options: ReadBodyOptions,
    private readonly done: (result: ReceivedBody | BalancerError) => void,
  ) {
    const declared = Number(req.headers['content-length'] ?? 0);
    this.received = new GrowingBuffer(options.maxBytes, declared);
    this.retention = options.budget.retain(() => this.failOverloaded());
  }

  start(): void {
    if (!this.retention.resize(UNFINISHED_BYTES)) {
      this.failOverloaded();
      return;
    }
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
    const {received, retention, options} = this;
    if (received.byteLength + chunk.length > options.maxBytes) {
      const limit = `body exceeds ${options.maxBytes} bytes`;
      this.fail(new BalancerError('bodyTooLarge', limit));
      return;
    }
    const retained = received.retainedWith(chunk);
    if (retained === received.retainedBytes) retention.recordProgress();
    else if (!retention.resize(UNFINISHED_BYTES + retained)) {
      this.failOverloaded();
      return;
    }
    received.append(chunk);
    this.chunks++;
    const isCostly = received.byteLength < MANY_CHUNKS * TINY_CHUNK_BYTES;
    if (this.chunks === MANY_CHUNKS && isCostly)
      options.budget.turns.raiseAlert();
  }

  private failOverloaded(): void {
    this.fail(
      new BalancerError('overloaded', 'memory for received data is full'),
    );
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
    const {retention, received} = this;
    retention.resize(received.retainedBytes);
    retention.settle();
    this.done({bytes: received.bytes(), release: () => retention.close()});
  }

  private fail(err: BalancerError): void {
    if (this.ended) return;
    this.stop();
    this.received.clear();
    this.retention.close();
    this.done(err);
  }

  private stop(): void {
    this.ended = true;
    this.cancelTimeout();
  }
}
