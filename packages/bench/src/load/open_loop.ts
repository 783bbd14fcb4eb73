/** Open-loop load: calls are sent when due, whether or not earlier ones were answered. */
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

/** A stream of calls to some origins, taken in turn. */
export interface LoadStream {
  readonly name: string;
  readonly origins: readonly string[];
  readonly callsPerSecond: number;
  readonly createCall: (id: string) => LoadCall;
}

/** What came of a stream. */
export interface LoadResult {
  readonly name: string;
  readonly sent: number;
  readonly answered: number;
  readonly refusedSafely: number;
  readonly unknown: number;
  /** Answers that were not whole or not to the request sent. */
  readonly wrong: number;
  readonly kinds: Readonly<Record<string, number>>;
  readonly latencyUs: LatencySummary;
}

/** What a run starts from. */
export interface LoadOptions {
  readonly streams: readonly LoadStream[];
  readonly seconds: number;
  readonly random: () => number;
  readonly warmUpSeconds?: number;
}

const MILLIS_PER_SECOND = 1_000;
const MICROS_PER_MILLI = 1_000;
const DRAIN_TIMEOUT_MS = 5_000;

/** Runs several streams at once, with exponential gaps between calls. */
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

  // Latency counts from when the call was due, so that a late sender hides nothing.
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
