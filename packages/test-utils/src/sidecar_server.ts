/** Stand-in for a server on the platform, with slots, an instance id, load headers and liveness reports. */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {request} from 'undici';

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
}

const HOST = '127.0.0.1';
/** Slowdown of a server at its usual speed. */
const NORMAL_SLOWDOWN_PERCENT = 100;

/** Runs requests that expect this instance, refuses them with 503 when all slots are busy, and counts runs by attempt id. */
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
    this.server = createServer((req, res) => this.receive(req, res));
  }

  async listen(): Promise<void> {
    const {port} = this.options;
    await new Promise<void>(done => this.server.listen(port, HOST, done));
  }

  /** Sends a liveness report and returns the HTTP status. */
  async reportLiveness(
    phase: 'ready' | 'draining',
    sequence = ++this.sequence,
  ): Promise<number> {
    const {id, service, port, slots, controlAddress} = this.options;
    const res = await request(`http://${controlAddress}/v1/instances/${id}`, {
      method: 'PUT',
      body: JSON.stringify({
        service,
        address: `${HOST}:${port}`,
        zone: 'zone-a',
        version: 'v1',
        capacity: slots,
        phase,
        cold_remaining: '0ms',
        sequence,
        born: this.startedAtMs,
      }),
    });
    await res.body.dump();
    return res.statusCode;
  }

  /** Reports `ready` at this interval until the server is closed. */
  startHeartbeat(intervalMs: number): void {
    this.heartbeat = setInterval(() => {
      // A node that restarts misses reports.
      this.reportLiveness('ready').catch(() => undefined);
    }, intervalMs);
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
    clearInterval(this.heartbeat);
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
    this.run(attempt, req);
    setTimeout(() => {
      this.inFlight--;
      res.writeHead(200, {'x-response-signature': id}).end(`${id} ${attempt}`);
    }, this.serviceMs);
  }

  private run(attempt: string, req: IncomingMessage): void {
    this.inFlight++;
    this.runs.set(attempt, (this.runs.get(attempt) ?? 0) + 1);
    this.callers.add(String(req.headers['x-caller-service']));
  }
}
