/** Stand-in for a server, with slots, random service times and faults on request. */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {request} from 'undici';
import {writeEndlessly} from './write_endlessly';

/** Distribution of the service time. */
export interface ServiceTimeDistribution {
  readonly meanMs: number;
  /** 0 is constant, 1 is exponential; values between are a weighted sum of both. */
  readonly variability: number;
}

/** Options of a fake server. */
export interface FakeServerOptions {
  readonly slots: number;
  readonly serviceTime: ServiceTimeDistribution;
  readonly random: () => number;
  /** Size of an answer that is not given by `bytes` in the URL; the request id and body length count in it. */
  readonly answerBytes?: number;
  /** URL of the caller interface of the node on this VM, for the server's own calls. */
  readonly gatewayUrl?: string;
  /** Called on a request for /crash; by default the process exits with status 70. */
  readonly onCrash?: () => void;
}

const DEFAULT_ANSWER_BYTES = 512;
const ENDLESS_WRITE_BYTES = 16_384;

interface QueuedRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly body: string;
}

/**
 * Runs as many requests at once as it has slots and queues the others in order
 * of arrival. It counts runs by the header `x-request-id`, to detect requests
 * that ran twice.
 *
 * `/crash` ends the process, `/error` fails without delay, `/shed` answers 503
 * without a run, `?bytes=N` sets the size of an answer, `/broken` closes
 * the connection in the middle of its answer, `/stalled` sends nothing after
 * the middle of it, `/endless` sends a body that does not end, and
 * `/chain?depth=N` makes nested calls, N levels in all.
 */
export class FakeServer {
  /** Factor of the service times of requests that start from now on. */
  slowdown = 1;
  /** While true, running requests are never answered and keep their slots. */
  frozen = false;
  /** Runs by request id. */
  readonly runs = new Map<string, number>();
  /** Ids of requests that have reached the server, whether or not they run. */
  readonly arrivals = new Set<string>();
  /** Ids of requests whose connection was closed before their answer. */
  readonly cancellations = new Set<string>();
  private readonly queue: QueuedRequest[] = [];
  private inFlightCount = 0;
  private readonly server: Server;
  private runCount = 0;

  constructor(private readonly options: FakeServerOptions) {
    this.server = createServer((req, res) => void this.receive(req, res));
    this.server.keepAliveTimeout = 30_000;
  }

  async listen(port = 0): Promise<number> {
    await new Promise<void>(done =>
      this.server.listen(port, '127.0.0.1', done),
    );
    return (this.server.address() as AddressInfo).port;
  }

  /** Number of requests run so far, those without an id included. */
  get totalRuns(): number {
    return this.runCount;
  }

  get inFlight(): number {
    return this.inFlightCount;
  }

  async close(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise(done => this.server.close(done));
  }

  private async receive(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    this.trackConnection(req, res);
    const chunks: Buffer[] = [];
    try {
      for await (const chunk of req) chunks.push(chunk as Buffer);
    } catch {
      return;
    }
    const body = Buffer.concat(chunks).toString();
    if (req.url?.startsWith('/control/'))
      return this.handleControl(req.url, res);
    if (req.url?.startsWith('/shed')) {
      res.writeHead(503).end('shed');
      return;
    }
    this.queue.push({req, res, body});
    this.startNext();
  }

  private trackConnection(req: IncomingMessage, res: ServerResponse): void {
    const id = req.headers['x-request-id'];
    if (typeof id !== 'string') return;
    this.arrivals.add(id);
    res.on('close', () => {
      if (!res.writableFinished) this.cancellations.add(id);
    });
  }

  private handleControl(url: string, res: ServerResponse): void {
    const [, , name, value] = url.split('/');
    if (name === 'slowdown') this.slowdown = Number(value);
    if (name === 'runs') {
      const twice = [...this.runs].filter(([, count]) => count > 1);
      res.end(JSON.stringify({total: this.runCount, twice}));
      return;
    }
    if (name === 'ids') {
      res.end(JSON.stringify([...this.runs.keys()]));
      return;
    }
    res.end('ok');
  }

  private startNext(): void {
    while (this.inFlightCount < this.options.slots) {
      const queued = this.queue.shift();
      if (queued === undefined) return;
      // The client has closed the connection, and a server that supports cancellation does not start the request.
      if (queued.res.destroyed) continue;
      this.inFlightCount++;
      this.run(queued);
    }
  }

  private run(queued: QueuedRequest): void {
    this.runCount++;
    const id = queued.req.headers['x-request-id'];
    if (typeof id === 'string') this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
    if (queued.req.url?.startsWith('/crash')) {
      (this.options.onCrash ?? (() => process.exit(70)))();
      return;
    }
    const ms = queued.req.url?.startsWith('/error')
      ? 0
      : this.sampleServiceMs() * this.slowdown;
    if (ms < 1) setImmediate(() => this.finish(queued));
    else setTimeout(() => this.finish(queued), ms);
  }

  private finish(queued: QueuedRequest): void {
    if (this.frozen) return;
    this.inFlightCount--;
    this.answer(queued);
    this.startNext();
  }

  private answer(queued: QueuedRequest): void {
    const {req, res, body} = queued;
    const url = new URL(req.url ?? '/', 'http://server');
    if (
      url.pathname === '/chain' &&
      Number(url.searchParams.get('depth')) > 1
    ) {
      void this.callDownstream(
        queued,
        Number(url.searchParams.get('depth')) - 1,
      );
      return;
    }
    if (url.pathname === '/error') {
      res.writeHead(500).end('error');
      return;
    }
    const id = String(req.headers['x-request-id'] ?? '');
    const bytes = Number(
      url.searchParams.get('bytes') ??
        this.options.answerBytes ??
        DEFAULT_ANSWER_BYTES,
    );
    const text = `${id}|${body.length}|`.padEnd(bytes, '.');
    if (url.pathname === '/broken') {
      res.writeHead(200, {'content-length': String(text.length)});
      res.write(text.slice(0, text.length / 2));
      setImmediate(() => res.destroy());
      return;
    }
    if (url.pathname === '/stalled') {
      res.writeHead(200, {'content-length': String(text.length)});
      res.write(text.slice(0, text.length / 2));
      return;
    }
    if (url.pathname === '/endless') {
      res.writeHead(200);
      writeEndlessly(res, 'x'.repeat(ENDLESS_WRITE_BYTES));
      return;
    }
    res
      .writeHead(200, {'content-length': String(Buffer.byteLength(text))})
      .end(text);
  }

  // Sends a nested call through the node of this VM, with the deadline and retry
  // budget of the incoming call, and aborts it when the caller disconnects.
  private async callDownstream(
    {req, res}: QueuedRequest,
    depth: number,
  ): Promise<void> {
    const forwardedNames = [
      'gh-service',
      'gh-call-id',
      'gh-deadline-ms',
      'gh-retries-left',
      'gh-depth',
      'x-request-id',
    ];
    const abortController = new AbortController();
    res.on('close', () => abortController.abort());
    const headers: Record<string, string> = {};
    for (const name of forwardedNames) {
      const value = req.headers[name];
      if (typeof value === 'string') headers[name] = value;
    }
    try {
      const url = `${this.options.gatewayUrl}/chain?depth=${depth}`;
      const answer = await request(url, {
        headers,
        signal: abortController.signal,
      });
      const text = await answer.body.text();
      const length = String(Buffer.byteLength(text));
      res.writeHead(answer.statusCode, {'content-length': length}).end(text);
    } catch {
      res.writeHead(502).end();
    }
  }

  private sampleServiceMs(): number {
    const {meanMs, variability} = this.options.serviceTime;
    const exponential = -Math.log(1 - this.options.random()) * meanMs;
    return (1 - variability) * meanMs + variability * exponential;
  }
}
