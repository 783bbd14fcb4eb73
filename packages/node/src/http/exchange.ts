/** One HTTP exchange with a gate or a server, whose answer is buffered or streamed. */
import type {IncomingHttpHeaders} from 'node:http';
import type {Dispatcher} from 'undici';
import {AnswerStream} from './answer_stream';
import {GrowingBuffer} from './growing_buffer';
import type {HeaderMap} from './header_filter';
import type {InputBudget, Retention} from './input_budget';

/** Request of an exchange. */
export interface ExchangeRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderMap;
  readonly body: Buffer;
  /** Bytes up to which the body of the answer is buffered; a longer one is streamed. */
  readonly maxBufferedBytes: number;
  /** Whether an answer with this status and these headers belongs to the request; if not, its connection is closed. */
  readonly accepts?: (status: number, headers: IncomingHttpHeaders) => boolean;
  /** Whether an answer with this status and these headers ends with its head, after which its connection is closed. */
  readonly endsConnection?: (
    status: number,
    headers: IncomingHttpHeaders,
  ) => boolean;
  /** Called when bytes of the answer's body have arrived. */
  readonly onProgress?: () => void;
  /** Accounts for the buffered answer, which is streamed if that is too much, and gives turns to servers that send tiny chunks. */
  readonly budget?: InputBudget;
}

/** Body of an answer: `whole` if it is buffered completely, else `stream`. */
export type AnswerBody =
  | {readonly type: 'whole'; readonly bytes: Buffer}
  | {readonly type: 'stream'; readonly stream: AnswerStream};

/** Outcome of an exchange. */
export type ExchangeResult =
  | {
      readonly type: 'answer';
      readonly status: number;
      readonly headers: IncomingHttpHeaders;
      readonly body: AnswerBody;
    }
  | {
      readonly type: 'broke';
      /** Whether the request may have reached the peer. */
      readonly sent: boolean;
      readonly err: Error;
    };

/** Message of the error that ends an exchange whose answer was rejected by `accepts`. */
export const INVALID_ANSWER = 'answer not accepted';
/** Message of the error that ends an exchange whose streamed answer nobody reads any more. */
export const STREAM_CLOSED = 'stream closed';
/** Interim answers (1xx) after which a peer is taken to send them without end, which would keep this process busy. */
const MAX_INTERIM_ANSWERS = 16;
const EMPTY_BODY = Buffer.alloc(0);
/** Size below which pieces of a streamed answer are joined, as each is an object and may retain the buffer of its socket, bytes. */
const SMALL_PIECE_BYTES = 1_024;
/** Size below which a piece costs far more than its bytes are worth, bytes. */
const TINY_PIECE_BYTES = 64;
/** Tiny pieces after which the next ones wait for a turn; they take less than a millisecond. */
const TINY_PIECES_PER_TURN = 256;
/** Size at which joined pieces are written, bytes. undici may hand over more before control returns to the event loop. */
const MAX_JOINED_BYTES = 65_536;

/** Status of an answer that switches protocols, which no request here asks for. */
const SWITCHING_PROTOCOLS = 101;

/** Whether no answer, interim or final, may have this status. */
export function isInvalidStatus(status: number): boolean {
  return status < 100 || status > 599 || status === SWITCHING_PROTOCOLS;
}

/**
 * Runs one exchange; `done` is called once, at the end of a buffered answer or
 * at the start of a streamed one. `onStreamEnd` is called once when the last
 * byte of a streamed answer has arrived, or with the error by which it failed.
 */
export class HttpExchange implements Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | undefined;
  private abortReason: Error | undefined;
  private sent = false;
  private ended = false;
  private status = 0;
  private interimAnswers = 0;
  private headers: IncomingHttpHeaders = {};
  private received: GrowingBuffer | undefined;
  private retention: Retention | undefined;
  private stream: AnswerStream | undefined;
  /** Small pieces that have not been written to the stream. */
  private joined: GrowingBuffer | undefined;
  private tinyPieces = 0;
  private isWaitingForTurn = false;
  private isStreamFull = false;

  constructor(
    private readonly req: ExchangeRequest,
    private readonly done: (result: ExchangeResult) => void,
    private readonly onStreamEnd: (err?: Error) => void = () => undefined,
  ) {}

  /** Sends the request on a connection of the dispatcher. */
  start(dispatcher: Dispatcher): void {
    const {method, path, headers, body} = this.req;
    const options = {
      method: method as Dispatcher.HttpMethod,
      path,
      headers,
      body: body.length > 0 ? body : null,
      headersTimeout: 0,
      bodyTimeout: 0,
    };
    try {
      dispatcher.dispatch(options, this);
    } catch (err) {
      this.fail(err instanceof Error ? err : new Error(String(err)));
    }
  }

  /** Whether the request may have reached the peer; false while it waits for a connection. */
  get isSent(): boolean {
    return this.sent;
  }

  /** Aborts the exchange and closes its connection; one that still waits for a connection ends at once and is never sent. */
  abort(reason: string): void {
    this.abortReason ??= new Error(reason);
    if (this.sent) this.controller?.abort(this.abortReason);
    else this.fail(this.abortReason);
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    // A second start means that undici resends the request, which could run it twice.
    if (this.sent || this.abortReason !== undefined) {
      controller.abort(this.abortReason ?? new Error('resend refused'));
      return;
    }
    this.sent = true;
    this.controller = controller;
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (isInvalidStatus(status)) {
      controller.abort(new Error(INVALID_ANSWER));
      return;
    }
    if (status < 200) {
      this.interimAnswers++;
      if (this.interimAnswers > MAX_INTERIM_ANSWERS)
        controller.abort(new Error(INVALID_ANSWER));
      return;
    }
    this.status = status;
    this.headers = headers;
    if (this.req.accepts?.(status, headers) === false) {
      controller.abort(new Error(INVALID_ANSWER));
      return;
    }
    if (this.req.endsConnection?.(status, headers) === true) {
      this.finish({type: 'whole', bytes: EMPTY_BODY});
      controller.abort(new Error('connection not reused'));
    }
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.req.onProgress?.();
    if (this.stream !== undefined) this.writeToStream(chunk);
    else this.buffer(chunk);
    if (chunk.length < TINY_PIECE_BYTES) this.countTinyPiece(controller);
  }

  private buffer(chunk: Buffer): void {
    const {maxBufferedBytes, budget} = this.req;
    this.received ??= new GrowingBuffer(Infinity, this.declaredBytes);
    const {received} = this;
    const isFirst = received.byteLength === 0;
    const retained = received.retainedWith(chunk);
    const isLarger = retained > received.retainedBytes;
    received.append(chunk);
    if (received.byteLength > maxBufferedBytes) {
      this.startStream();
      return;
    }
    // An answer of one piece, as most are, is held no longer than until the next piece or its end.
    if (isFirst || budget === undefined) return;
    this.retention ??= budget.retain(() => this.startStream());
    if (!isLarger) this.retention.recordProgress();
    else if (!this.retention.resize(retained)) this.startStream();
  }

  /** Declared size of an answer that is buffered to its end, bytes; 0 of others. */
  private get declaredBytes(): number {
    const bytes = Number(this.headers['content-length'] ?? 0);
    return bytes <= this.req.maxBufferedBytes ? bytes : 0;
  }

  private writeToStream(chunk: Buffer): void {
    if (chunk.length >= SMALL_PIECE_BYTES) {
      this.flushJoined();
      this.write(chunk);
      return;
    }
    const joinedBytes = (this.joined?.byteLength ?? 0) + chunk.length;
    if (joinedBytes > MAX_JOINED_BYTES) this.flushJoined();
    if (this.joined === undefined) {
      this.joined = new GrowingBuffer(MAX_JOINED_BYTES);
      queueMicrotask(() => this.flushJoined());
    }
    this.joined.append(chunk);
  }

  private flushJoined(): void {
    const {joined} = this;
    this.joined = undefined;
    if (joined !== undefined) this.write(joined.bytes());
  }

  private write(bytes: Buffer): void {
    const {stream} = this;
    if (stream === undefined || stream.destroyed || stream.write(bytes)) return;
    this.isStreamFull = true;
    this.controller?.pause();
  }

  private countTinyPiece(controller: Dispatcher.DispatchController): void {
    const {budget} = this.req;
    if (++this.tinyPieces % TINY_PIECES_PER_TURN !== 0) return;
    if (budget === undefined) return;
    this.isWaitingForTurn = true;
    controller.pause();
    budget.turns.add({
      handleSome: () => {
        this.isWaitingForTurn = false;
        this.resume();
        return false;
      },
    });
  }

  private resume(): void {
    if (!this.isWaitingForTurn && !this.isStreamFull) this.controller?.resume();
  }

  onResponseEnd(): void {
    if (this.stream !== undefined) {
      this.flushJoined();
      this.stream.end();
      this.onStreamEnd();
      return;
    }
    const bytes = this.received?.bytes() ?? EMPTY_BODY;
    this.finish({type: 'whole', bytes});
  }

  // undici fails an assertion, which ends the process, if its client gets a request while it reports an error.
  onResponseError(
    _controller: Dispatcher.DispatchController,
    err: Error,
  ): void {
    queueMicrotask(() => this.handleError(err));
  }

  private handleError(err: Error): void {
    if (this.stream !== undefined) {
      this.stream.destroy(err);
      this.onStreamEnd(err);
      return;
    }
    this.fail(err);
  }

  private startStream(): void {
    if (this.ended) return;
    const stream = new AnswerStream();
    this.stream = stream;
    stream.on('drain', () => {
      this.isStreamFull = false;
      this.resume();
    });
    stream.on('error', () => undefined);
    stream.on('close', () => {
      if (!stream.writableFinished) this.abort(STREAM_CLOSED);
    });
    const {received} = this;
    this.received = undefined;
    if (received !== undefined) this.write(received.bytes());
    this.finish({type: 'stream', stream});
  }

  private finish(body: AnswerBody): void {
    if (this.ended) return;
    this.ended = true;
    this.retention?.close();
    this.done({
      type: 'answer',
      status: this.status,
      headers: this.headers,
      body,
    });
  }

  private fail(err: Error): void {
    if (this.ended) return;
    this.ended = true;
    this.retention?.close();
    this.done({type: 'broke', sent: this.sent, err});
  }
}
