/** Open-loop load: calls are sent when due, whether or not earlier ones were answered. */
import {setTimeout as pause} from 'node:timers/promises';
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
  readonly perSecond: number;
  readonly make: (id: string) => LoadCall;
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
const DRAIN_MS = 5_000;

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
  private refused = 0;
  private unknown = 0;
  private wrong = 0;
  private open = 0;
  private next = 0;

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
    const end = performance.now() + DRAIN_MS;
    while (this.open > 0 && performance.now() < end) await pause(10);
    this.unknown += this.open;
    await Promise.all(this.pools.map(pool => pool.destroy()));
    return {
      name: this.stream.name,
      sent: this.sent,
      answered: this.answered,
      refusedSafely: this.refused,
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
      const step = (): void => {
        const now = performance.now();
        while (dueAt <= now && dueAt < endAt) {
          this.send(dueAt, dueAt >= measureFrom);
          dueAt += this.gapMs();
        }
        if (dueAt >= endAt) done();
        else setTimeout(step, Math.max(0, Math.min(1, dueAt - now)));
      };
      step();
    });
  }

  private gapMs(): number {
    const uniform = 1 - this.options.random();
    return (-Math.log(uniform) / this.stream.perSecond) * MILLIS_PER_SECOND;
  }

  // Latency counts from when the call was due, so that a late sender hides nothing.
  private send(dueAt: number, measured: boolean): void {
    const id = `${this.stream.name}-${this.sent++}-${Math.floor(this.options.random() * 1e9)}`;
    const call = this.stream.make(id);
    const pool = this.pools[this.next++ % this.pools.length];
    if (pool === undefined) return;
    this.open++;
    const headers = {...call.headers, 'x-request-id': id};
    pool
      .request({...call, headers, headersTimeout: 30_000})
      .then(async res => {
        const text = await res.body.text();
        this.judge(id, call, res, text);
        if (measured && res.statusCode < 500) {
          this.histogram.recordUs(
            (performance.now() - dueAt) * MICROS_PER_MILLI,
          );
        }
      })
      .catch((err: Error & {code?: string}) => {
        const kind = err.code ?? err.message;
        this.kinds[kind] = (this.kinds[kind] ?? 0) + 1;
        if (kind === 'ECONNREFUSED') this.refused++;
        else this.unknown++;
      })
      .finally(() => this.open--);
  }

  private judge(
    id: string,
    call: LoadCall,
    res: Dispatcher.ResponseData,
    text: string,
  ): void {
    const kind = res.headers['gh-error-kind'];
    if (typeof kind === 'string') {
      this.kinds[kind] = (this.kinds[kind] ?? 0) + 1;
      if (res.headers['gh-run-state'] === 'notRun') this.refused++;
      else this.unknown++;
      return;
    }
    const own = text.startsWith(`${id}|${call.body?.length ?? 0}|`);
    if (res.statusCode === 200 && !own) this.wrong++;
    this.answered++;
  }
}
