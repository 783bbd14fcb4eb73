/** Stand-in of the platform's service over HTTP, with faults that can be switched on. */
import {setTimeout as pause} from 'node:timers/promises';
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {MemoryPlatform} from './memory_platform';
import type {WriteOutcome} from './memory_platform';

/** How the stand-in behaves. */
export type PlatformMode =
  | 'up'
  /** Every call is answered 503. */
  | 'down'
  /** Every call waits. */
  | 'slow'
  /** Writes take effect, their answers are lost. */
  | 'loseAnswers'
  /** Writes are answered 503 and take effect later. */
  | 'lateWrites'
  /** Connections stay open and nothing is answered. */
  | 'silent';

const MODES: readonly PlatformMode[] = [
  'up',
  'down',
  'slow',
  'loseAnswers',
  'lateWrites',
  'silent',
];
const SLOW_MS = 400;
const LATE_MS = 700;

/** Serves a MemoryPlatform. `PUT /mode/NAME` switches faults. */
export class PlatformServer {
  readonly platform = new MemoryPlatform();
  mode: PlatformMode = 'up';
  private readonly server: Server;

  constructor() {
    this.server = createServer((req, res) => {
      this.handle(req, res).catch(() => res.destroy());
    });
  }

  /** Starts to listen; answers the URL. */
  async listen(port = 0): Promise<string> {
    await new Promise<void>(done =>
      this.server.listen(port, '127.0.0.1', done),
    );
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  async close(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise(done => this.server.close(done));
  }

  private async handle(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://platform');
    const body = await readBody(req);
    if (url.pathname.startsWith('/mode/')) return this.switchMode(url, res);
    if (url.pathname === '/counts') return send(res, 200, this.platform.counts);
    if (this.mode === 'silent') return;
    if (this.mode === 'down') return send(res, 503, {});
    if (this.mode === 'slow') await pause(SLOW_MS);
    if (url.pathname === '/list') {
      return send(
        res,
        200,
        this.platform.list(url.searchParams.get('prefix') ?? ''),
      );
    }
    const path = decodeURIComponent(url.pathname.replace(/^\/objects\//, ''));
    if (req.method === 'GET') return this.read(path, url, res);
    this.write(
      req.method ?? '',
      path,
      body,
      Number(req.headers['if-version']),
      res,
    );
  }

  private switchMode(url: URL, res: ServerResponse): void {
    const name = url.pathname.slice('/mode/'.length);
    const mode = MODES.find(known => known === name);
    if (mode === undefined) return send(res, 404, {});
    this.mode = mode;
    send(res, 200, {mode});
  }

  private read(path: string, url: URL, res: ServerResponse): void {
    const object = this.platform.get(path);
    const after = url.searchParams.get('after');
    if (
      after === null ||
      (object !== undefined && object.version > Number(after))
    ) {
      return object === undefined ? send(res, 404, {}) : send(res, 200, object);
    }
    this.wait(path, Number(url.searchParams.get('wait_ms') ?? 0), res);
  }

  private wait(path: string, waitMs: number, res: ServerResponse): void {
    const end = this.platform.watch(path, object => {
      stop();
      send(res, 200, object);
    });
    const timer = setTimeout(() => {
      stop();
      res.writeHead(304).end();
    }, waitMs);
    const stop = (): void => {
      clearTimeout(timer);
      end();
    };
    res.on('close', stop);
  }

  private write(
    method: string,
    path: string,
    body: string,
    condition: number,
    res: ServerResponse,
  ): void {
    const apply = (): WriteOutcome | undefined =>
      method === 'DELETE'
        ? this.platform.remove(path, condition)
        : this.platform.put(path, body, condition);
    if (this.mode === 'lateWrites') {
      setTimeout(apply, LATE_MS);
      return send(res, 503, {});
    }
    const outcome = apply();
    if (this.mode === 'loseAnswers') {
      res.destroy();
      return;
    }
    if (outcome === undefined) return send(res, 404, {});
    if (outcome.type === 'conflict') return send(res, 409, {});
    send(res, method === 'DELETE' ? 204 : 200, {version: outcome.version});
  }
}

async function readBody(req: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString();
}

function send(res: ServerResponse, status: number, body: unknown): void {
  if (res.destroyed || res.writableEnded) return;
  const text = status === 204 ? '' : JSON.stringify(body);
  res.writeHead(status, {'content-type': 'application/json'}).end(text);
}
