/** Open-loop load generator: calls are sent when due, whether or not earlier ones were answered. */
import {setTimeout as sleep} from 'node:timers/promises';
import {performance} from 'node:perf_hooks';
import {Histogram} from '@goldcresthill/metrics';
import type {LatencySummary} from '@goldcresthill/metrics';
import {Pool} from 'undici';
import type {Dispatcher} from 'undici';

/** One call to send. */
export interface LoadCall {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
}

/** A stream of calls sent to its origins in rotation. */
export interface LoadStream {
  readonly name: string;
  readonly origins: readonly string[];
  readonly callsPerSecond: number;
  /** Creates a call from its request id, which is also sent as the header `x-request-id`. */
  readonly createCall: (id: string) => LoadCall;
}

/** Outcomes and latency of a stream. */
export interface LoadResult {
  readonly name: string;
  readonly sent: number;
  readonly answered: number;
  /** Calls that certainly did not run: connection refused, or an error with the run state `notRun`. */
  readonly refusedSafely: number;
  /** Calls that may have run; those still open after the drain timeout included. */
  readonly unknown: number;
  /** Answers with status 200 that do not begin with the request id and body length sent. */
  readonly wrong: number;
  /** Number of failed calls by error kind, or by error code without one. */
  readonly kinds: Readonly<Record<string, number>>;
  /** Latency of the calls that were due after the warm-up and answered with a status below 500, microseconds. */
  readonly latencyUs: LatencySummary;
}

/** Options of a load run. */
export interface LoadOptions {
  readonly streams: readonly LoadStream[];
  /** Duration, the warm-up included. */
  readonly seconds: number;
  readonly random: () => number;
  /** Time at the start whose calls do not count in the latency; 0 by default. */
  readonly warmUpSeconds?: number;
}

const MILLIS_PER_SECOND = 1_000;
const MICROS_PER_MILLI = 1_000;
const DRAIN_TIMEOUT_MS = 5_000;

/** Runs several streams in parallel, with exponentially distributed gaps between calls. Resolves once all calls have ended or the drain timeout has passed. */
export async function runLoad(options: LoadOptions): Promise<LoadResult[]> {
  const runners = options.streams.map(
    stream => new StreamRunner(stream, options),
  );
  return Promise.all(runners.map(runner => runner.run()));
}

class StreamRunner {
  private readonly pools: Pool[];
  private readonly histogram = new Histogram();
  private readonly kinds: Record<string, number> = {};
  private sent = 0;
  private answered = 0;
  private refusedSafely = 0;
  private unknown = 0;
  private wrong = 0;
  private openCalls = 0;
  private nextPool = 0;

  constructor(
    private readonly stream: LoadStream,
    private readonly options: LoadOptions,
  ) {
    this.pools = stream.origins.map(
      origin => new Pool(origin, {connections: null, pipelining: 1}),
    );
  }

  async run(): Promise<LoadResult> {
    await this.sendAll();
    const end = performance.now() + DRAIN_TIMEOUT_MS;
    while (this.openCalls > 0 && performance.now() < end) await sleep(10);
    this.unknown += this.openCalls;
    await Promise.all(this.pools.map(pool => pool.destroy()));
    return {
      name: this.stream.name,
      sent: this.sent,
      answered: this.answered,
      refusedSafely: this.refusedSafely,
      unknown: this.unknown,
      wrong: this.wrong,
      kinds: this.kinds,
      latencyUs: this.histogram.summary,
    };
  }

  private sendAll(): Promise<void> {
    const startedAt = performance.now();
    const endAt = startedAt + this.options.seconds * MILLIS_PER_SECOND;
    const measureFrom =
      startedAt + (this.options.warmUpSeconds ?? 0) * MILLIS_PER_SECOND;
    let dueAt = startedAt;
    return new Promise(done => {
      const sendDueCalls = (): void => {
        const now = performance.now();
        while (dueAt <= now && dueAt < endAt) {
          this.send(dueAt, dueAt >= measureFrom);
          dueAt += this.sampleGapMs();
        }
        if (dueAt >= endAt) done();
        else setTimeout(sendDueCalls, Math.max(0, Math.min(1, dueAt - now)));
      };
      sendDueCalls();
    });
  }

  private sampleGapMs(): number {
    const sample = 1 - this.options.random();
    return (-Math.log(sample) / this.stream.callsPerSecond) * MILLIS_PER_SECOND;
  }

  // Latency is measured from the time at which the call was due, so that delays of the sender count too.
  private send(dueAt: number, measured: boolean): void {
    const id = `${this.stream.name}-${this.sent++}-${Math.floor(this.options.random() * 1e9)}`;
    const call = this.stream.createCall(id);
    const pool = this.pools[this.nextPool++ % this.pools.length];
    if (pool === undefined) return;
    this.openCalls++;
    const headers = {...call.headers, 'x-request-id': id};
    pool
      .request({...call, headers, headersTimeout: 30_000})
      .then(async res => {
        const text = await res.body.text();
        this.recordResponse(id, call, res, text);
        if (measured && res.statusCode < 500) {
          this.histogram.recordUs(
            (performance.now() - dueAt) * MICROS_PER_MILLI,
          );
        }
      })
      .catch((err: Error & {code?: string}) => {
        const kind = err.code ?? err.message;
        this.kinds[kind] = (this.kinds[kind] ?? 0) + 1;
        if (kind === 'ECONNREFUSED') this.refusedSafely++;
        else this.unknown++;
      })
      .finally(() => this.openCalls--);
  }

  private recordResponse(
    id: string,
    call: LoadCall,
    res: Dispatcher.ResponseData,
    text: string,
  ): void {
    const kind = res.headers['gh-error-kind'];
    if (typeof kind === 'string') {
      this.kinds[kind] = (this.kinds[kind] ?? 0) + 1;
      if (res.headers['gh-run-state'] === 'notRun') this.refusedSafely++;
      else this.unknown++;
      return;
    }
    const matchesRequest = text.startsWith(`${id}|${call.body?.length ?? 0}|`);
    if (res.statusCode === 200 && !matchesRequest) this.wrong++;
    this.answered++;
  }
}
