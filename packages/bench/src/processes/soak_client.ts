/** Clients of a soak: each sends one request after the other and records how it ended. */
import {Agent, request} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import type {RequestEnd, RequestRecord, SoakRoute} from './soak_record';

/** Options of SoakClient. */
export interface SoakClientOptions {
  readonly vm: string;
  /** Address of the node of the VM. */
  readonly host: string;
  readonly port: number;
  readonly virtualHost: string;
  readonly deadlineMs: number;
  /** Whether requests are sent on one connection that stays open, or each on a new one. */
  readonly keepsConnection: boolean;
  /** Mean pause between requests, milliseconds. */
  readonly pauseMs: number;
  readonly random: () => number;
  readonly now: () => number;
  readonly newAttempt: () => string;
  readonly onEnd: (record: RequestRecord) => void;
}

interface RouteRequest {
  readonly route: SoakRoute;
  readonly method: string;
  readonly path: string;
  readonly body: string;
}

/** Requests that a client chooses among; paths are those of the desired state of a soak. */
const ROUTE_REQUESTS: readonly RouteRequest[] = [
  {route: 'lookup', method: 'GET', path: '/lookup/1', body: ''},
  {route: 'order', method: 'POST', path: '/order/1', body: 'one order'},
  {route: 'moving', method: 'GET', path: '/moving/1', body: ''},
];
/** Share of requests whose caller leaves early. */
const GIVE_UP_SHARE = 0.02;
/** Longest time that such a caller waits, milliseconds. */
const MAX_PATIENCE_MS = 300;
/** Pause after a connection was refused, milliseconds. */
const REFUSED_PAUSE_MS = 100;

/** Sends requests until it is closed, also while its node stops and starts again. */
export class SoakClient {
  private readonly agent: Agent | undefined;
  private closed = false;
  private running: Promise<void> = Promise.resolve();

  constructor(private readonly options: SoakClientOptions) {
    if (options.keepsConnection)
      this.agent = new Agent({keepAlive: true, maxSockets: 1});
  }

  start(): void {
    this.running = this.run();
  }

  /** Stops after the request in progress. */
  async close(): Promise<void> {
    this.closed = true;
    await this.running;
    this.agent?.destroy();
  }

  private async run(): Promise<void> {
    const {pauseMs, random, onEnd} = this.options;
    while (!this.closed) {
      const record = await this.send();
      onEnd(record);
      const wait =
        record.end.type === 'refused'
          ? REFUSED_PAUSE_MS
          : pauseMs * 2 * random();
      await sleep(wait);
    }
  }

  private send(): Promise<RequestRecord> {
    const {options} = this;
    const {host, port, virtualHost, deadlineMs, random, now} = options;
    const index = Math.floor(random() * ROUTE_REQUESTS.length);
    const {route, method, path, body} = ROUTE_REQUESTS[index] as RouteRequest;
    const attempt = options.newAttempt();
    const leavesEarly = random() < GIVE_UP_SHARE;
    const patienceMs = leavesEarly ? random() * MAX_PATIENCE_MS : deadlineMs;
    const startedAt = now();
    let sentAt = startedAt;
    let wholeSent = false;
    return new Promise(done => {
      let ended = false;
      const finish = (end: RequestEnd): void => {
        if (ended) return;
        ended = true;
        clearTimeout(timer);
        done({
          attempt,
          vm: options.vm,
          route,
          sentAt,
          deadlineMs,
          keptConnection: req.reusedSocket,
          wholeSent,
          endedAt: now(),
          end,
        });
      };
      const req = request(
        {
          host,
          port,
          method,
          path,
          agent: this.agent ?? false,
          headers: {
            host: virtualHost,
            'x-attempt-id': attempt,
            'x-deadline-ms': String(deadlineMs),
            ...(body !== '' && {'content-length': Buffer.byteLength(body)}),
          },
        },
        res => {
          const chunks: Buffer[] = [];
          res.on('data', (chunk: Buffer) => chunks.push(chunk));
          res.on('error', err => finish({type: 'closed', error: err.message}));
          res.on('end', () => {
            const text = Buffer.concat(chunks).toString();
            finish(
              res.complete
                ? {type: 'answered', status: res.statusCode ?? 0, body: text}
                : {type: 'closed', error: 'incomplete answer'},
            );
          });
        },
      );
      const timer = setTimeout(() => {
        finish({type: 'gaveUp'});
        req.destroy();
      }, patienceMs);
      req.on('finish', () => {
        wholeSent = true;
        sentAt = now();
      });
      req.on('error', (err: NodeJS.ErrnoException) =>
        finish(
          err.code === 'ECONNREFUSED'
            ? {type: 'refused'}
            : {type: 'closed', error: err.code ?? err.message},
        ),
      );
      req.end(body);
    });
  }
}
