/** Stand-in of a server on the platform: slots, identity, load, liveness reports. */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {request} from 'undici';

/** What a stand-in starts from. */
export interface SidecarServerOptions {
  readonly id: string;
  readonly service: string;
  readonly port: number;
  readonly slots: number;
  readonly serviceMs: number;
  /** Address of the node of this VM for liveness reports. */
  readonly controlAddress: string;
  /** When it started, milliseconds since 1970; now unless given. */
  readonly startedAtMs?: number;
}

const HOST = '127.0.0.1';
const NORMAL_SLOWDOWN_PERCENT = 100;

/** Runs requests that name it, sheds what it has no slot for, and counts runs by request. */
export class SidecarServer {
  readonly runs = new Map<string, number>();
  readonly callers = new Set<string>();
  /** Answers with the id of another request from now on. */
  returnsWrongAttemptId = false;
  readonly startedAtMs: number;
  private readonly server: Server;
  private inFlight = 0;
  private sequence = 0;

  constructor(private readonly options: SidecarServerOptions) {
    this.startedAtMs = options.startedAtMs ?? Date.now();
    this.server = createServer((req, res) => this.receive(req, res));
  }

  async listen(): Promise<void> {
    const {port} = this.options;
    await new Promise<void>(done => this.server.listen(port, HOST, done));
  }

  /** Sends a liveness report; answers its status. */
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

  /** Says that it leaves; answers the status. */
  async deregister(): Promise<number> {
    const {id, controlAddress} = this.options;
    const url = `http://${controlAddress}/v1/instances/${id}`;
    const res = await request(url, {method: 'DELETE'});
    await res.body.dump();
    return res.statusCode;
  }

  async close(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise(done => this.server.close(done));
  }

  private receive(req: IncomingMessage, res: ServerResponse): void {
    const {id, slots, serviceMs} = this.options;
    res.setHeader(
      'x-server-load',
      `${this.inFlight},0,${slots},${NORMAL_SLOWDOWN_PERCENT}`,
    );
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
    }, serviceMs);
  }

  private run(attempt: string, req: IncomingMessage): void {
    this.inFlight++;
    this.runs.set(attempt, (this.runs.get(attempt) ?? 0) + 1);
    this.callers.add(String(req.headers['x-caller-service']));
  }
}
