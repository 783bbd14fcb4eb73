/** Object API over HTTP. */
import type {ErrorKind} from '@goldcresthill/errors';
import {errAsync, okAsync, ResultAsync} from 'neverthrow';
import {Pool} from 'undici';
import * as z from 'zod';
import {ObjectStore} from './object_store';
import type {StoredObject, StoreResult} from './object_store';

/** How to reach the platform's service. */
export interface HttpObjectStoreOptions {
  readonly url: string;
  readonly timeoutMs?: number;
  readonly connections?: number;
}

const DEFAULT_TIMEOUT_MS = 1_000;
const DEFAULT_CONNECTIONS = 8;
/** Time beyond a watch's own wait before its connection is taken for silent, milliseconds. */
const WATCH_SLACK_MS = 1_000;

const objectSchema = z.object({
  path: z.string(),
  version: z.number(),
  value: z.string(),
});
const listSchema = z.array(objectSchema);
const versionSchema = z.object({version: z.number()});

interface Answer {
  readonly status: number;
  readonly text: string;
}

/** Adapter to the platform's HTTP interface. */
export class HttpObjectStore extends ObjectStore {
  private readonly pool: Pool;
  private readonly timeoutMs: number;

  constructor(options: HttpObjectStoreOptions) {
    super();
    this.timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
    this.pool = new Pool(options.url, {
      connections: options.connections ?? DEFAULT_CONNECTIONS,
      connect: {timeout: this.timeoutMs},
      keepAliveTimeout: 10_000,
    });
  }

  override get(path: string): StoreResult<StoredObject | undefined> {
    return this.call('GET', objectUrl(path)).andThen(answer =>
      readObject(answer),
    );
  }

  override put(
    path: string,
    value: string,
    condition: number,
  ): StoreResult<number> {
    const headers = {'if-version': String(condition)};
    return this.call('PUT', objectUrl(path), headers, value).andThen(answer =>
      parseAs(answer, versionSchema).map(body => body.version),
    );
  }

  override remove(path: string, condition: number): StoreResult<void> {
    const headers = {'if-version': String(condition)};
    return this.call('DELETE', objectUrl(path), headers).andThen(answer =>
      answer.status === 204 || answer.status === 404
        ? okAsync(undefined)
        : errAsync(kindOf(answer.status)),
    );
  }

  override list(prefix: string): StoreResult<StoredObject[]> {
    const url = `/list?prefix=${encodeURIComponent(prefix)}`;
    return this.call('GET', url).andThen(answer => parseAs(answer, listSchema));
  }

  override watch(
    path: string,
    after: number,
    waitMs: number,
  ): StoreResult<StoredObject | undefined> {
    const url = `${objectUrl(path)}?after=${after}&wait_ms=${waitMs}`;
    return this.call(
      'GET',
      url,
      {},
      undefined,
      waitMs + WATCH_SLACK_MS,
    ).andThen(answer =>
      answer.status === 304 ? okAsync(undefined) : readObject(answer),
    );
  }

  override async close(): Promise<void> {
    await this.pool.destroy();
  }

  private call(
    method: 'GET' | 'PUT' | 'DELETE',
    path: string,
    headers: Record<string, string> = {},
    body?: string,
    timeoutMs = this.timeoutMs,
  ): StoreResult<Answer> {
    const request = async (): Promise<Answer> => {
      // The signal bounds the whole exchange, also on a connection that fell silent.
      const signal = AbortSignal.timeout(timeoutMs);
      const res = await this.pool.request({
        method,
        path,
        headers,
        body,
        signal,
      });
      return {status: res.statusCode, text: await res.body.text()};
    };
    return ResultAsync.fromPromise(
      request(),
      (): ErrorKind => 'storeUnavailable',
    );
  }
}

function objectUrl(path: string): string {
  return `/objects/${path.split('/').map(encodeURIComponent).join('/')}`;
}

function readObject(answer: Answer): StoreResult<StoredObject | undefined> {
  return answer.status === 404
    ? okAsync(undefined)
    : parseAs(answer, objectSchema);
}

function parseAs<T>(answer: Answer, schema: z.ZodType<T>): StoreResult<T> {
  if (answer.status !== 200) return errAsync(kindOf(answer.status));
  try {
    const parsed = schema.safeParse(JSON.parse(answer.text));
    return parsed.success ? okAsync(parsed.data) : errAsync('storeUnavailable');
  } catch {
    return errAsync('storeUnavailable');
  }
}

function kindOf(status: number): ErrorKind {
  if (status === 409) return 'storeConflict';
  if (status === 413) return 'configTooLarge';
  if (status === 429) return 'storeBudget';
  return 'storeUnavailable';
}
