/** HTTP listener with the limits that apply to all ports of a node. */
import {createServer, STATUS_CODES} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {Server as NetServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import type {Duplex} from 'node:stream';
import {answerFor, BalancerError, runGuarded} from '@goldcresthill/errors';
import type {ErrorKind, FaultListener} from '@goldcresthill/errors';
import {HEADERS} from '@goldcresthill/protocol';
import {runAfter} from '@goldcresthill/timers';
import type {Millis} from '@goldcresthill/types';
import {READER_AWAITED} from './body_writer';
import type {InputBudget, Retention} from './input_budget';
import {connectionToClose} from './open_connections';
import type {ConnectionState} from './open_connections';
import {paceReads} from './paced_socket';
import type {PacedReads} from './paced_socket';
import {readBody} from './request_body';
import type {ReceivedBody} from './request_body';

/** What a client may send, and for how long it may send or stay idle. */
export interface ListenerLimits {
  /** Largest head of a request, bytes; at most 1 MiB is in force. */
  readonly maxHeaderBytes: number;
  /** Longest time to receive the head of a request, milliseconds, checked once a second. */
  readonly headersTimeoutMs: number;
  /** Time after which a connection is closed that is idle, or whose client takes no byte of a complete response, milliseconds. */
  readonly idleTimeoutMs: number;
}

/** Options of Listener. The limits are in force where `setLimits` sets none. */
export interface ListenerOptions extends Partial<ListenerLimits> {
  readonly host: string;
  readonly port: number;
  /**
   * Handles a request that has waited for those before it on its connection;
   * if it fails, the request is answered with an internal error.
   */
  readonly handle: (
    req: IncomingMessage,
    res: ServerResponse,
    waitedMs: Millis,
  ) => void | Promise<void>;
  /** Receives the errors of handlers. */
  readonly onFault: FaultListener;
  /** Beyond it, connections without a request in progress are closed for new ones. */
  readonly maxConnections?: number;
  /** Accounts for unfinished heads, and gives turns to senders that cost much time; without it neither is limited. */
  readonly budget?: InputBudget;
  /** Called for each accepted connection. */
  readonly onConnection?: () => void;
}

const DEFAULT_MAX_CONNECTIONS = 16_384;
const DEFAULT_LIMITS: ListenerLimits = {
  maxHeaderBytes: 16_384,
  headersTimeoutMs: 10_000,
  // Longer than clients keep an idle connection, so that they never send on a closing one.
  idleTimeoutMs: 60_000,
};
/** Longest time to receive a text, milliseconds. */
const TEXT_TIMEOUT_MS = 10_000;
/** Upper bound of all limits of heads, for the memory of many connections, bytes. */
const MAX_HEADER_BYTES = 1_048_576;
/** Longest time that timers of Node.js take, milliseconds. */
const MAX_TIMEOUT_MS = 2_147_483_647;
/** Parsers of connections take heads of this multiple of the limit, so that a higher limit applies to open connections. */
const PARSER_HEADROOM = 2;
/** Time for which input after a rejected head is read and dropped, milliseconds. */
const REJECTED_CLOSE_DELAY_MS = 1_000;
const TIMEOUT_CHECK_INTERVAL_MS = 1_000;
/** Time in which requests that have arrived are read once no more connections are accepted, milliseconds. */
const IDLE_CLOSE_DELAY_MS = 100;

const CLIENT_ERROR_KINDS: ReadonlyMap<string, ErrorKind> = new Map([
  ['HPE_HEADER_OVERFLOW', 'headersTooLarge'],
  ['ERR_HTTP_REQUEST_TIMEOUT', 'slowSender'],
]);

/** Memory for each byte of an unfinished head of short fields: two strings for six bytes. */
const MEMORY_PER_HEAD_BYTE = 10;
/** Connections up to which unfinished heads are not accounted for. */
const FEW_CONNECTIONS = 16;
/** Interval at which unfinished heads are accounted for, milliseconds. */
const HEAD_CHECK_INTERVAL_MS = 250;
/** New connections after which they are accounted for before that. */
const CONNECTIONS_PER_HEAD_CHECK = 16;
/** Connections above the limit that are accepted only to close others, or to refuse them. */
const SPARE_CONNECTIONS = 16;

/** Requests of a connection that may wait for the one before them. */
const MAX_WAITING_REQUESTS = 64;
/** Requests behind rejected input that are ignored before the connection is closed at once, as each occupies memory until then. */
const MAX_IGNORED_REQUESTS = 256;

interface Connection {
  /** Responses that have not been sent, in the order of their requests; only the first is being handled. */
  readonly openResponses: Set<ServerResponse>;
  /** Start the handling of the requests behind the first. */
  readonly waiting: Array<() => void>;
  /** The response whose complete body waits for the client to read it. */
  awaited: ServerResponse | undefined;
  /** Requests behind rejected input. */
  ignoredRequests: number;
  /** Largest head that its parser takes, bytes. */
  readonly parserBytes: number;
  /** Bytes that had been received when the last request was answered. */
  answeredBytes: number;
  /** Size of the unfinished head when it was last accounted for, bytes. */
  headBytes: number;
  headRetention: Retention | undefined;
  wasUsed: boolean;
  paced: PacedReads | undefined;
}

/** One listening port. */
export class Listener {
  private readonly server: Server;
  private readonly connections = new Map<Socket, Connection>();
  private readonly rejected = new WeakSet<Duplex>();
  private limits: ListenerLimits;
  private readonly maxConnections: number;
  private readonly stopAlerts: (() => void) | undefined;
  private headTimer: NodeJS.Timeout | undefined;
  private connectionsUntilHeadCheck = CONNECTIONS_PER_HEAD_CHECK;

  constructor(private readonly options: ListenerOptions) {
    this.limits = this.withDefaults({});
    this.server = createServer(
      {
        connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
        // Bodies have a separate timeout, set by the rules of the service.
        requestTimeout: 0,
        noDelay: true,
        insecureHTTPParser: false,
      },
      (req, res) => this.receive(req, res),
    );
    this.applyLimits();
    // The system hands over all waiting connections at once, before the first of them is read.
    this.stopAlerts = options.budget?.turns.onAlert(() => this.paceAll());
    this.server.on('connection', socket => {
      this.addConnection(socket);
      options.onConnection?.();
    });
    this.maxConnections = options.maxConnections ?? DEFAULT_MAX_CONNECTIONS;
    this.server.maxConnections = this.maxConnections + SPARE_CONNECTIONS;
    this.server.on('clientError', (err: NodeJS.ErrnoException, socket) => {
      const isTimeout = err.code === 'ERR_HTTP_REQUEST_TIMEOUT';
      // The idle timeout applies to a connection without a request.
      if (isTimeout && (socket as Socket).bytesRead === 0) return;
      // More input on a connection that has been answered is an error again.
      if (this.rejected.has(socket)) return;
      const kind = CLIENT_ERROR_KINDS.get(err.code ?? '') ?? 'malformedRequest';
      this.reject(socket as Socket, kind);
    });
    this.server.on('connect', (_req, socket) =>
      this.reject(socket as Socket, 'methodNotAllowed'),
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
    // A connection without a request stays open, as its first one may be on its way.
    runAfter(IDLE_CLOSE_DELAY_MS, () => this.server.closeIdleConnections());
  }

  /** Runs a step of handling a request. If it throws or rejects, the error is reported and only this request ends. */
  guard(res: ServerResponse, step: () => void | Promise<void>): void {
    runGuarded(err => {
      this.options.onFault(err);
      answerFault(res);
    }, step);
  }

  /** Sets the limits from now on, for open connections too; the options apply where a limit is missing. */
  setLimits(limits: Partial<ListenerLimits>): void {
    this.limits = this.withDefaults(limits);
    this.applyLimits();
    const {maxHeaderBytes, idleTimeoutMs} = this.limits;
    let mustRenew = false;
    for (const [socket, {parserBytes, openResponses}] of this.connections) {
      // The timeout of a socket is 0 while a request is in progress.
      if (socket.timeout) socket.setTimeout(idleTimeoutMs);
      if (parserBytes >= maxHeaderBytes) continue;
      mustRenew = true;
      for (const res of openResponses) res.shouldKeepAlive = false;
    }
    if (mustRenew) this.server.closeIdleConnections();
  }

  private withDefaults(limits: Partial<ListenerLimits>): ListenerLimits {
    const limit = (name: keyof ListenerLimits, max: number): number =>
      Math.min(
        Math.ceil(limits[name] ?? this.options[name] ?? DEFAULT_LIMITS[name]),
        max,
      );
    return {
      maxHeaderBytes: limit('maxHeaderBytes', MAX_HEADER_BYTES),
      headersTimeoutMs: limit('headersTimeoutMs', MAX_TIMEOUT_MS),
      idleTimeoutMs: limit('idleTimeoutMs', MAX_TIMEOUT_MS),
    };
  }

  private applyLimits(): void {
    const {maxHeaderBytes, headersTimeoutMs, idleTimeoutMs} = this.limits;
    this.server.headersTimeout = headersTimeoutMs;
    this.server.keepAliveTimeout = idleTimeoutMs;
    // Node.js reads it for each connection that it accepts.
    Object.assign(this.server, {
      maxHeaderSize: maxHeaderBytes * PARSER_HEADROOM,
    });
  }

  /**
   * Answers input that is not handled, and closes its connection. While a request
   * of the connection is in progress, the client would take that answer for the one to its
   * request, so the connection closes unanswered after the last response.
   */
  private reject(socket: Socket, kind: ErrorKind): void {
    this.rejected.add(socket);
    const connection = this.connections.get(socket);
    if (connection === undefined || !isInUse(connection)) {
      rejectConnection(socket, kind);
      return;
    }
    const last = [...connection.openResponses].at(-1);
    if (last !== undefined) last.shouldKeepAlive = false;
  }

  private receive(req: IncomingMessage, res: ServerResponse): void {
    const connection = this.connections.get(req.socket);
    // An unfinished head was answered and has been completed since, or other requests follow.
    if (this.rejected.has(req.socket)) {
      if (connection && ++connection.ignoredRequests > MAX_IGNORED_REQUESTS)
        req.socket.destroy();
      return;
    }
    if (connection !== undefined) this.beginRequest(connection, req, res);
    const {maxHeaderBytes} = this.limits;
    if (connection !== undefined && connection.parserBytes < maxHeaderBytes)
      res.shouldKeepAlive = false;
    // The idle timeout of a new connection ends with its first request.
    if (connection === undefined || !this.watchReader(req.socket, connection))
      req.socket.setTimeout(0);
    if (connection === undefined || connection.openResponses.size === 1)
      this.dispatch(req, res, 0);
    else this.enqueue(connection, req, res);
  }

  private dispatch(
    req: IncomingMessage,
    res: ServerResponse,
    waitedMs: Millis,
  ): void {
    if (headBytes(req) > this.limits.maxHeaderBytes)
      answerKind(res, 'headersTooLarge');
    else this.guard(res, () => this.options.handle(req, res, waitedMs));
  }

  // Responses that wait for others occupy memory, and requests that have been passed on are lost if the connection closes before their response.
  private enqueue(
    connection: Connection,
    req: IncomingMessage,
    res: ServerResponse,
  ): void {
    const {waiting, openResponses} = connection;
    if (waiting.length >= MAX_WAITING_REQUESTS) {
      openResponses.delete(res);
      this.reject(req.socket, 'overloaded');
      return;
    }
    const arrivedAt = performance.now();
    waiting.push(() => this.dispatch(req, res, performance.now() - arrivedAt));
  }

  private beginRequest(
    connection: Connection,
    req: IncomingMessage,
    res: ServerResponse,
  ): void {
    const {openResponses} = connection;
    openResponses.add(res);
    connection.wasUsed = true;
    // The head is complete, so it must not be evicted any more.
    closeHeadRetention(connection);
    res.on('prefinish', () => this.watchReader(req.socket, connection));
    res.on(READER_AWAITED, () => {
      connection.awaited = res;
      this.watchReader(req.socket, connection);
    });
    res.on('close', () => {
      openResponses.delete(res);
      connection.answeredBytes = parsedBytes(req.socket, connection);
      if (openResponses.size === 0 && this.rejected.has(req.socket))
        endConnection(req.socket);
      const next = connection.waiting.shift();
      if (next === undefined || !req.socket.writable) return;
      req.socket.setTimeout(0);
      next();
    });
    if (req.headers['transfer-encoding'] !== undefined)
      this.pace(req.socket, connection);
  }

  /**
   * Closes a connection whose client takes nothing of the response that is being
   * sent; returns false if that response is not complete, as its sender has a timeout of its own.
   */
  private watchReader(
    socket: Socket,
    {openResponses, awaited}: Connection,
  ): boolean {
    const [current] = openResponses;
    if (current === undefined) return false;
    if (!current.writableEnded && current !== awaited) return false;
    socket.setTimeout(this.limits.idleTimeoutMs);
    return true;
  }

  private paceAll(): void {
    for (const [socket, connection] of this.connections)
      if (connection.openResponses.size === 0) this.pace(socket, connection);
  }

  private pace(socket: Socket, connection: Connection): void {
    const {budget} = this.options;
    if (budget === undefined || connection.paced) return;
    connection.paced = paceReads(socket, {
      turns: budget.turns,
      retain: evict => budget.retain(evict),
      isInUse: () => isInUse(connection),
    });
  }

  private addConnection(socket: Socket): void {
    if (this.connections.size >= this.maxConnections) {
      const oldest = connectionToClose(this.connections, stateOf)?.[0];
      (oldest ?? socket).destroy();
      if (oldest === undefined) return;
      this.connections.delete(oldest);
    }
    const openResponses = new Set<ServerResponse>();
    const {maxHeaderBytes, idleTimeoutMs} = this.limits;
    const parserBytes = maxHeaderBytes * PARSER_HEADROOM;
    const connection: Connection = {
      openResponses,
      waiting: [],
      awaited: undefined,
      ignoredRequests: 0,
      parserBytes,
      answeredBytes: 0,
      headBytes: 0,
      headRetention: undefined,
      wasUsed: false,
      paced: undefined,
    };
    this.connections.set(socket, connection);
    // Node.js removes its own listener from the socket of a CONNECT request, and an error without one ends the process. The end of the connection follows each error.
    socket.on('error', () => undefined);
    if (this.options.budget?.turns.isAlert) this.pace(socket, connection);
    this.scheduleHeadCheck();
    socket.setTimeout(idleTimeoutMs);
    socket.on('close', () => {
      this.connections.delete(socket);
      connection.headRetention?.close();
      // Node.js closes only the response that it is writing, not those of requests pipelined behind it.
      for (const res of [...openResponses]) {
        if (res.socket !== null) continue;
        res.destroy();
        res.emit('close');
      }
    });
  }

  private scheduleHeadCheck(): void {
    if (this.connections.size <= FEW_CONNECTIONS) return;
    if (--this.connectionsUntilHeadCheck <= 0) this.accountForHeads();
    this.headTimer ??= setTimeout(() => {
      this.headTimer = undefined;
      this.accountForHeads();
      this.scheduleHeadCheck();
    }, HEAD_CHECK_INTERVAL_MS).unref();
  }

  private accountForHeads(): void {
    this.connectionsUntilHeadCheck = CONNECTIONS_PER_HEAD_CHECK;
    for (const entry of [...this.connections]) this.accountForHead(...entry);
  }

  private accountForHead(socket: Socket, connection: Connection): void {
    const {budget} = this.options;
    const {openRequests, unansweredBytes} = stateOf([socket, connection]);
    const headBytes = openRequests > 0 ? 0 : unansweredBytes;
    if (headBytes === connection.headBytes || budget === undefined) return;
    if (headBytes === 0) {
      closeHeadRetention(connection);
      return;
    }
    connection.headBytes = headBytes;
    const reject = (): void => {
      closeHeadRetention(connection);
      this.reject(socket, 'overloaded');
    };
    connection.headRetention ??= budget.retain(reject);
    if (!connection.headRetention.resize(headBytes * MEMORY_PER_HEAD_BYTE))
      reject();
  }

  /** Closes the port and all connections. */
  async close(): Promise<void> {
    clearTimeout(this.headTimer);
    this.stopAlerts?.();
    if (!this.server.listening) {
      this.server.closeAllConnections();
      return;
    }
    const closed = new Promise(done => this.server.close(done));
    this.server.closeAllConnections();
    await closed;
  }
}

function closeHeadRetention(connection: Connection): void {
  connection.headRetention?.close();
  connection.headRetention = undefined;
  connection.headBytes = 0;
}

/** Whether a request that has been received whole is in progress, and may have been passed on. */
function isInUse({openResponses}: Connection): boolean {
  return [...openResponses].some(({req}) => req.complete);
}

function stateOf([socket, connection]: [Socket, Connection]): ConnectionState {
  const {openResponses, answeredBytes, wasUsed} = connection;
  const unansweredBytes = parsedBytes(socket, connection) - answeredBytes;
  return {openRequests: openResponses.size, unansweredBytes, wasUsed};
}

/** Bytes that the parser of a connection has been given. */
function parsedBytes(socket: Socket, {paced}: Connection): number {
  return socket.bytesRead - (paced?.waitingBytes ?? 0);
}

/** Answers a request whose handler has failed. It may have run, and its body may not have been read. */
function answerFault(res: ServerResponse): void {
  if (res.headersSent || res.destroyed) {
    res.destroy();
    return;
  }
  answerKind(res, 'internal');
}

/** Answers a request that is not handled, and closes its connection. */
function answerKind(res: ServerResponse, kind: ErrorKind): void {
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

/** Size of a request's head as the parser counts it: the target, and the names and values of the headers. */
function headBytes({url, rawHeaders}: IncomingMessage): number {
  return rawHeaders.reduce(
    (bytes, text) => bytes + text.length,
    url?.length ?? 0,
  );
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
  destroyLater(socket);
}

/** Closes a connection whose last response has been sent, and whose input is not read to its end. */
function endConnection(socket: Duplex): void {
  if (socket.destroyed) return;
  socket.end();
  destroyLater(socket);
}

// Input that is left unread when a socket closes would reset the connection and the answer with it.
function destroyLater(socket: Duplex): void {
  runAfter(REJECTED_CLOSE_DELAY_MS, () => socket.destroy());
}

/** Decodes a percent-encoded part of a path; undefined if it is not valid UTF-8. */
export function decodePathSegment(text: string): string | undefined {
  try {
    return decodeURIComponent(text);
  } catch {
    return undefined;
  }
}

/** Reads a text body of a request. Throws BalancerError as `readBody` fails. */
export async function readText(
  req: IncomingMessage,
  maxBytes: number,
  budget: InputBudget,
): Promise<string> {
  const options = {maxBytes, budget, timeoutMs: TEXT_TIMEOUT_MS};
  const body = await new Promise<ReceivedBody | BalancerError>(done =>
    readBody(req, options, done),
  );
  if (body instanceof BalancerError) throw body;
  const text = body.bytes.toString();
  body.release();
  return text;
}
