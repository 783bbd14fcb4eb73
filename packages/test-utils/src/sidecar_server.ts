/** Stand-in for a server on the platform, with slots, an instance id, load headers, liveness reports and faulty answers. */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Writable} from 'node:stream';
import {request} from 'undici';
import type {Dispatcher} from 'undici';
import {writeEndlessly} from './write_endlessly';

/** Options of a sidecar server. */
export interface SidecarServerOptions {
  readonly id: string;
  readonly service: string;
  readonly port: number;
  readonly slots: number;
  readonly serviceMs: number;
  /** Address, as host:port, at which the node of this VM accepts liveness reports. */
  readonly controlAddress: string;
  /** Start time, milliseconds since 1970; now by default. */
  readonly startedAtMs?: number;
  /** Address to listen on; loopback by default. */
  readonly host?: string;
  /** Address for its liveness reports, as host:port, if requests arrive through a relay. */
  readonly reportedAddress?: string;
  /** Time that a request takes, milliseconds; `serviceMs` by default. */
  readonly serviceMsOf?: (req: IncomingMessage) => number;
  /** Fault of the answer to an attempt; none by default. */
  readonly faultOf?: (attempt: string) => AnswerFault | undefined;
  /** Called when a request begins to run. */
  readonly onRun?: (attempt: string, req: IncomingMessage) => void;
  /** Called when a run has ended; `dropped` if its connection closed before. */
  readonly onRunEnd?: (attempt: string, end: 'answered' | 'dropped') => void;
}

/** How a faulty server answers a request that it has run. */
export type AnswerFault =
  /** The connection closes without an answer. */
  | 'lost'
  /** The answer is correct, and comes once more later. */
  | 'repeated'
  /** Bytes that are no answer. */
  | 'garbage'
  /** The connection closes within the body. */
  | 'truncated'
  /** Bytes without end in a part of the answer, until the connection closes. */
  | EndlessFault
  /** Nothing is sent, and the connection stays open. */
  | 'silent'
  | WrittenFault;

/** An answer written as given, with the headers that mark it as this server's; the connection stays open. */
export interface WrittenFault {
  /** Status line without the version, as `200 OK`. */
  readonly status: string;
  /** What follows the headers of the server, with the line ends. */
  readonly rest: string;
}

/** Part of an answer that does not end. */
export type EndlessFault = (typeof ENDLESS_FAULTS)[number];

export const ENDLESS_FAULTS = [
  'endlessHead',
  'endlessHeader',
  'endlessInterim',
  'endlessBody',
  'endlessBodyUntilClose',
  'endlessChunkSize',
  'endlessTrailers',
  'endlessAfterAnswer',
] as const;

const MAX_HEADER_BYTES = 1_048_576;
const HOST = '127.0.0.1';
/** Slowdown of a server at its usual speed. */
const NORMAL_SLOWDOWN_PERCENT = 100;
const REPEAT_DELAY_MS = 30;
const ENDLESS_WRITE_BYTES = 16_384;
const ENDLESS_HEADER = 'x-filler: yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n';

/** Runs requests that expect this instance, with a body of `?bytes=N` bytes at least, refuses them with 503 when all slots are busy, and counts runs by attempt id. */
export class SidecarServer {
  /** Runs by attempt id. */
  readonly runs = new Map<string, number>();
  /** Caller services whose requests ran. */
  readonly callers = new Set<string>();
  /** If true, answers carry the id of another attempt. */
  returnsWrongAttemptId = false;
  /** Slowdown that the load header reports, percent. */
  slowdownPercent = NORMAL_SLOWDOWN_PERCENT;
  /** If true, answers announce that the server is about to shut down. */
  saysLeaving = false;
  /** Rate limit that answers advertise, requests per second. */
  requestsPerSecond: number | undefined;
  /** Time until which the server is cold, milliseconds since 1970; its reports and answers to health checks say so. */
  coldUntilMs = 0;
  /** Time that a request takes, milliseconds; as in the options at first. */
  serviceMs: number;
  readonly startedAtMs: number;
  private readonly server: Server;
  private inFlight = 0;
  private sequence = 0;
  private heartbeat: NodeJS.Timeout | undefined;

  constructor(private readonly options: SidecarServerOptions) {
    this.serviceMs = options.serviceMs;
    this.startedAtMs = options.startedAtMs ?? Date.now();
    this.server = createServer({maxHeaderSize: MAX_HEADER_BYTES}, (req, res) =>
      this.receive(req, res),
    );
  }

  async listen(): Promise<void> {
    const {port, host = HOST} = this.options;
    await new Promise<void>(done => this.server.listen(port, host, done));
  }

  /** Sends a liveness report, by default on a connection that stays open, and returns the HTTP status. */
  async reportLiveness(
    phase: 'ready' | 'draining',
    sequence = ++this.sequence,
    dispatcher?: Dispatcher,
  ): Promise<number> {
    const {id, service, port, slots, controlAddress} = this.options;
    const {host = HOST, reportedAddress = `${host}:${port}`} = this.options;
    const res = await request(`http://${controlAddress}/v1/instances/${id}`, {
      method: 'PUT',
      dispatcher,
      body: JSON.stringify({
        service,
        address: reportedAddress,
        zone: 'zone-a',
        version: 'v1',
        capacity: slots,
        phase,
        cold_remaining: `${this.coldMs}ms`,
        sequence,
        born: this.startedAtMs,
      }),
    });
    await res.body.dump();
    return res.statusCode;
  }

  private get coldMs(): number {
    return Math.max(0, this.coldUntilMs - Date.now());
  }

  /** Reports `ready` at this interval until the server is closed. */
  startHeartbeat(intervalMs: number): void {
    this.heartbeat = setInterval(() => {
      // A node that restarts misses reports.
      this.reportLiveness('ready').catch(() => undefined);
    }, intervalMs);
  }

  /** Stops the reports; the server keeps serving. */
  stopHeartbeat(): void {
    clearInterval(this.heartbeat);
  }

  /** Deregisters the instance and returns the HTTP status. */
  async deregister(): Promise<number> {
    const {id, controlAddress} = this.options;
    const url = `http://${controlAddress}/v1/instances/${id}`;
    const res = await request(url, {method: 'DELETE'});
    await res.body.dump();
    return res.statusCode;
  }

  async close(): Promise<void> {
    this.stopHeartbeat();
    this.server.closeAllConnections();
    await new Promise(done => this.server.close(done));
  }

  private receive(req: IncomingMessage, res: ServerResponse): void {
    const {id, slots} = this.options;
    res.setHeader(
      'x-server-load',
      `${this.inFlight},0,${slots},${this.slowdownPercent}`,
    );
    if (this.saysLeaving) res.setHeader('server-leaving', '1');
    if (this.requestsPerSecond !== undefined)
      res.setHeader('server-limit', String(this.requestsPerSecond));
    if (req.url === '/healthz') {
      res.setHeader('x-cold-ms', String(this.coldMs));
      res.writeHead(200, {'x-instance-id': id}).end();
      return;
    }
    const attempt = String(req.headers['x-attempt-id']);
    res.setHeader(
      'x-attempt-id',
      this.returnsWrongAttemptId ? 'another' : attempt,
    );
    if (req.headers['x-expected-instance'] !== id) {
      res.writeHead(421, {'x-instance-id': id}).end();
      return;
    }
    if (this.inFlight >= slots) {
      res.writeHead(503, {'x-not-executed': '1'}).end();
      return;
    }
    this.run(attempt, req, res);
  }

  private run(
    attempt: string,
    req: IncomingMessage,
    res: ServerResponse,
  ): void {
    const {serviceMsOf, onRun, onRunEnd} = this.options;
    this.inFlight++;
    this.runs.set(attempt, (this.runs.get(attempt) ?? 0) + 1);
    this.callers.add(String(req.headers['x-caller-service']));
    onRun?.(attempt, req);
    let ended = false;
    const end = (outcome: 'answered' | 'dropped'): void => {
      if (ended) return;
      ended = true;
      clearTimeout(timer);
      this.inFlight--;
      onRunEnd?.(attempt, outcome);
    };
    const timer = setTimeout(
      () => {
        this.answer(attempt, res);
        if (res.writableEnded) end('answered');
      },
      serviceMsOf?.(req) ?? this.serviceMs,
    );
    // A server drops a request whose connection closes.
    res.on('close', () => end(res.writableFinished ? 'answered' : 'dropped'));
  }

  private answer(attempt: string, res: ServerResponse): void {
    const {id, faultOf} = this.options;
    const {socket} = res;
    const {searchParams} = new URL(res.req.url ?? '/', 'http://server');
    const body = `${id} ${attempt}`.padEnd(Number(searchParams.get('bytes')));
    const head = {'x-response-signature': id};
    const fault = faultOf?.(attempt);
    switch (fault) {
      case undefined:
        res.writeHead(200, head).end(body);
        return;
      case 'repeated':
        res.writeHead(200, head).end(body);
        setTimeout(
          () => socket?.write(rawAnswer(id, attempt, body)),
          REPEAT_DELAY_MS,
        );
        return;
      case 'lost':
        socket?.destroy();
        return;
      case 'garbage':
        socket?.end('\u0000 no answer\r\n\r\n');
        return;
      case 'truncated':
        res.writeHead(200, {...head, 'content-length': body.length + 1});
        res.write(body, () => socket?.destroy());
        return;
      case 'silent':
        return;
      default:
        if (typeof fault === 'object') {
          const {status, rest} = fault;
          socket?.write(`${rawHead(id, attempt, status)}${rest}`);
          return;
        }
        if (socket)
          writeEndlessAnswer(socket, fault, rawAnswer(id, attempt, body));
    }
  }
}

function rawAnswer(id: string, attempt: string, body: string): string {
  return `${rawHead(id, attempt, '200 OK')}content-length: ${body.length}\r\n\r\n${body}`;
}

/** Status line and the headers that mark an answer as this server's. */
function rawHead(id: string, attempt: string, status: string): string {
  return `HTTP/1.1 ${status}\r\nx-attempt-id: ${attempt}\r\nx-response-signature: ${id}\r\n`;
}

/** Writes an answer of which one part does not end. */
function writeEndlessAnswer(
  socket: Writable,
  fault: EndlessFault,
  answer: string,
): void {
  const head = 'HTTP/1.1 200 OK\r\n';
  const signed = answer.slice(head.length, answer.indexOf('content-length'));
  const chunked = `${head}${signed}transfer-encoding: chunked\r\n\r\n`;
  const filler = 'x'.repeat(ENDLESS_WRITE_BYTES);
  const headerLines = ENDLESS_HEADER.repeat(
    ENDLESS_WRITE_BYTES / ENDLESS_HEADER.length,
  );
  const parts: Record<EndlessFault, readonly [string, string]> = {
    endlessHead: [head, headerLines],
    endlessHeader: [`${head}x-filler: `, filler],
    endlessInterim: ['', 'HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(600)],
    endlessBody: [chunked, `${filler.length.toString(16)}\r\n${filler}\r\n`],
    endlessBodyUntilClose: [`${head}${signed}\r\n`, filler],
    endlessChunkSize: [`${chunked}1;`, filler],
    endlessTrailers: [`${chunked}0\r\n`, headerLines],
    endlessAfterAnswer: [answer, filler],
  };
  const [start, rest] = parts[fault];
  socket.write(start);
  writeEndlessly(socket, rest);
}
