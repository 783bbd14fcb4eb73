/** Stand-in of a server: slots, service times that shift, faults on request. */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {request} from 'undici';

/** Distribution of service times. */
export interface ServiceTimeDistribution {
  readonly meanMs: number;
  /** 0 is constant, 1 is exponential; between them a mix. */
  readonly variability: number;
}

/** What a stand-in starts from. */
export interface FakeServerOptions {
  readonly slots: number;
  readonly serviceTime: ServiceTimeDistribution;
  readonly random: () => number;
  /** Bytes of an answer, besides what tells whose answer it is. */
  readonly answerBytes?: number;
  /** Callers' port of the node on this VM, for calls of this server's own. */
  readonly gatewayUrl?: string;
  /** Called by a request for /crash; ends the process unless given. */
  readonly onCrash?: () => void;
}

const DEFAULT_ANSWER_BYTES = 512;

interface QueuedRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly body: string;
}

/**
 * Runs as many requests at once as it has slots; the rest waits in order. It
 * counts runs by the header `x-request-id`, to find what ran twice.
 *
 * `slowdown` multiplies every service time from now on. `/crash` ends it,
 * `/error` fails at once, `/shed` answers 503 without a run, `/big?bytes=N`
 * answers N bytes, `/broken` breaks off in the middle of its answer, and
 * `/chain?depth=N` calls on, N deep in all.
 */
export class FakeServer {
  slowdown = 1;
  frozen = false;
  readonly runs = new Map<string, number>();
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

  /** Requests run so far. */
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
      // The caller has gone away: a server that accepts cancellation does not start.
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
    res
      .writeHead(200, {'content-length': String(Buffer.byteLength(text))})
      .end(text);
  }

  // Calls the next server by the node of this VM, with deadline and budgets as it got
  // them; gives up when its own caller has gone.
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
