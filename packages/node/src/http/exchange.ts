/** One HTTP exchange with a gate or a server, whose answer is buffered or streamed. */
import type {IncomingHttpHeaders} from 'node:http';
import {PassThrough} from 'node:stream';
import type {Readable} from 'node:stream';
import type {Dispatcher} from 'undici';
import type {HeaderMap} from './header_filter';

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
}

/** Body of an answer: `whole` if it is buffered completely, else `stream`. */
export type AnswerBody =
  | {readonly type: 'whole'; readonly bytes: Buffer}
  | {readonly type: 'stream'; readonly stream: Readable};

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
/** Interim answers (1xx) after which a peer is taken to send them without end, which would keep this process busy. */
const MAX_INTERIM_ANSWERS = 16;
const EMPTY_BODY = Buffer.alloc(0);

/**
 * Runs one exchange; `done` is called once, at the end of a buffered answer or
 * at the start of a streamed one. `onStreamEnd` is called when a streamed
 * answer has ended or failed.
 */
export class HttpExchange implements Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | undefined;
  private abortReason: Error | undefined;
  private sent = false;
  private ended = false;
  private status = 0;
  private interimAnswers = 0;
  private headers: IncomingHttpHeaders = {};
  private chunks: Buffer[] = [];
  private bufferedBytes = 0;
  private stream: PassThrough | undefined;

  constructor(
    private readonly req: ExchangeRequest,
    private readonly done: (result: ExchangeResult) => void,
    private readonly onStreamEnd: () => void = () => undefined,
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
    if (this.stream !== undefined) {
      if (!this.stream.write(chunk)) controller.pause();
      return;
    }
    this.chunks.push(chunk);
    this.bufferedBytes += chunk.length;
    if (this.bufferedBytes > this.req.maxBufferedBytes)
      this.startStream(controller);
  }

  onResponseEnd(): void {
    if (this.stream !== undefined) {
      this.stream.end();
      this.onStreamEnd();
      return;
    }
    const [first = EMPTY_BODY] = this.chunks;
    const bytes = this.chunks.length < 2 ? first : Buffer.concat(this.chunks);
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
      this.onStreamEnd();
      return;
    }
    this.fail(err);
  }

  private startStream(controller: Dispatcher.DispatchController): void {
    const stream = new PassThrough();
    this.stream = stream;
    stream.on('drain', () => controller.resume());
    stream.on('error', () => undefined);
    stream.on('close', () => {
      if (!stream.writableFinished) this.abort('stream closed');
    });
    this.chunks.forEach(chunk => stream.write(chunk));
    this.chunks = [];
    this.finish({type: 'stream', stream});
  }

  private finish(body: AnswerBody): void {
    if (this.ended) return;
    this.ended = true;
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
    this.done({type: 'broke', sent: this.sent, err});
  }
}
