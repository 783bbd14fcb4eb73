/** HTTP listener with the limits that apply to all ports of a node. */
import {createServer, STATUS_CODES} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {Server as NetServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {answerFor, runGuarded} from '@goldcresthill/errors';
import type {ErrorKind, FaultListener} from '@goldcresthill/errors';
import {HEADERS} from '@goldcresthill/protocol';
import {runAfter} from '@goldcresthill/timers';

/** Options of Listener. */
export interface ListenerOptions {
  readonly host: string;
  readonly port: number;
  /** Handles a request; if it fails, the request is answered with an internal error. */
  readonly handle: (
    req: IncomingMessage,
    res: ServerResponse,
  ) => void | Promise<void>;
  /** Receives the errors of handlers. */
  readonly onFault: FaultListener;
  readonly maxConnections?: number;
  /** Called for each accepted connection. */
  readonly onConnection?: () => void;
  readonly maxHeaderBytes?: number;
  /** Maximum time to receive the headers of a request, milliseconds, checked at intervals of a third of it. */
  readonly headersTimeoutMs?: number;
}

const DEFAULT_MAX_CONNECTIONS = 16_384;
const DEFAULT_MAX_HEADER_BYTES = 16_384;
const DEFAULT_HEADERS_TIMEOUT_MS = 10_000;
/** Longer than clients keep an idle connection, so that they never send on a closing one. */
const KEEP_ALIVE_TIMEOUT_MS = 60_000;
/** Time in which requests that have arrived are read once no more connections are accepted, milliseconds. */
const IDLE_CLOSE_DELAY_MS = 100;
/** Interval of the checks of a timeout, as a share of it. */
const TIMEOUT_CHECK_SHARE = 1 / 3;

/** One listening port. */
export class Listener {
  private readonly server: Server;
  private readonly openResponses = new WeakMap<Socket, Set<ServerResponse>>();

  constructor(private readonly options: ListenerOptions) {
    const headersTimeoutMs =
      options.headersTimeoutMs ?? DEFAULT_HEADERS_TIMEOUT_MS;
    this.server = createServer(
      {
        maxHeaderSize: options.maxHeaderBytes ?? DEFAULT_MAX_HEADER_BYTES,
        headersTimeout: headersTimeoutMs,
        connectionsCheckingInterval: Math.ceil(
          headersTimeoutMs * TIMEOUT_CHECK_SHARE,
        ),
        // Bodies have a separate timeout, set by the rules of the service.
        requestTimeout: 0,
        keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
        noDelay: true,
        insecureHTTPParser: false,
      },
      (req, res) => {
        this.openResponses.get(req.socket)?.add(res);
        res.on('close', () => this.openResponses.get(req.socket)?.delete(res));
        this.guard(res, () => options.handle(req, res));
      },
    );
    this.server.on('connection', socket => {
      this.closeResponsesWith(socket);
      options.onConnection?.();
    });
    this.server.maxConnections =
      options.maxConnections ?? DEFAULT_MAX_CONNECTIONS;
    this.server.on('clientError', (err: NodeJS.ErrnoException, socket) => {
      const isTooLarge = err.code === 'HPE_HEADER_OVERFLOW';
      rejectConnection(
        socket,
        isTooLarge ? 'headersTooLarge' : 'malformedRequest',
      );
    });
    this.server.on('connect', (_req, socket) =>
      rejectConnection(socket, 'methodNotAllowed'),
    );
  }

  /** Starts listening and returns the port. */
  async listen(): Promise<number> {
    const {port, host} = this.options;
    await new Promise<void>((done, fail) => {
      this.server.once('error', fail);
      this.server.listen(port, host, done);
    });
    return (this.server.address() as AddressInfo).port;
  }

  /** Stops accepting connections. Requests in progress complete, and those that have arrived unread are handled. */
  stopAccepting(): void {
    // The HTTP server's own close also destroys connections whose request has not been read yet.
    NetServer.prototype.close.call(this.server);
    runAfter(IDLE_CLOSE_DELAY_MS, () => this.server.closeIdleConnections());
  }

  /** Runs a step of handling a request. If it throws or rejects, the error is reported and only this request ends. */
  guard(res: ServerResponse, step: () => void | Promise<void>): void {
    runGuarded(err => {
      this.options.onFault(err);
      answerFault(res);
    }, step);
  }

  // Node.js closes only the response that it is writing, not those of requests pipelined behind it.
  private closeResponsesWith(socket: Socket): void {
    const responses = new Set<ServerResponse>();
    this.openResponses.set(socket, responses);
    socket.on('close', () => {
      for (const res of [...responses]) {
        if (res.socket !== null) continue;
        res.destroy();
        res.emit('close');
      }
    });
  }

  /** Closes the port and all connections. */
  async close(): Promise<void> {
    if (!this.server.listening) {
      this.server.closeAllConnections();
      return;
    }
    const closed = new Promise(done => this.server.close(done));
    this.server.closeAllConnections();
    await closed;
  }
}

/** Answers a request whose handler has failed. It may have run, and its body may not have been read. */
function answerFault(res: ServerResponse): void {
  if (res.headersSent || res.destroyed) {
    res.destroy();
    return;
  }
  const kind: ErrorKind = 'internal';
  const {status, runState, resendSafe} = answerFor(kind);
  res
    .writeHead(status, {
      connection: 'close',
      [HEADERS.errorKind]: kind,
      [HEADERS.runState]: runState,
      [HEADERS.resendSafe]: String(resendSafe),
    })
    .end();
}

/** Answers input that node:http does not deliver as a request. */
function rejectConnection(socket: Duplex, kind: ErrorKind): void {
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  const {status, runState, resendSafe} = answerFor(kind);
  socket.end(
    `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n` +
      'connection: close\r\ncontent-length: 0\r\n' +
      `${HEADERS.errorKind}: ${kind}\r\n${HEADERS.runState}: ${runState}\r\n` +
      `${HEADERS.resendSafe}: ${resendSafe}\r\n\r\n`,
  );
}

/** Decodes a percent-encoded part of a path; undefined if it is not valid UTF-8. */
export function decodePathSegment(text: string): string | undefined {
  try {
    return decodeURIComponent(text);
  } catch {
    return undefined;
  }
}

/** Reads a text body of a request. Throws RangeError if it exceeds `maxBytes`. */
export async function readText(
  req: IncomingMessage,
  maxBytes: number,
): Promise<string> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of req) {
    bytes += (chunk as Buffer).length;
    if (bytes > maxBytes)
      throw new RangeError(`body exceeds ${maxBytes} bytes`);
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString();
}
