/** Stand-in for the platform's store over HTTP, with faults that can be switched on. */
import {setTimeout as sleep} from 'node:timers/promises';
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {StoredObject} from '@goldcresthill/object-store';
import {MemoryPlatform} from './memory_platform';
import type {WriteOutcome} from './memory_platform';

/** Fault mode of the stand-in. */
export type PlatformMode =
  | 'up'
  /** Every call is answered 503. */
  | 'down'
  /** Every call is answered after a delay. */
  | 'slow'
  /** Writes take effect, but their connections are closed without an answer. */
  | 'loseAnswers'
  /** Writes are answered 503 but take effect later. */
  | 'lateWrites'
  /** Connections stay open, and calls are never answered. */
  | 'silent';

const MODES: readonly PlatformMode[] = [
  'up',
  'down',
  'slow',
  'loseAnswers',
  'lateWrites',
  'silent',
];
const SLOW_ANSWER_DELAY_MS = 400;
const LATE_WRITE_DELAY_MS = 700;
const OBJECTS_PATH = '/v1/objects/';
/** Objects on one page of a list. */
const PAGE_SIZE = 500;

interface RequestTarget {
  readonly kind: string;
  readonly name: string | undefined;
  readonly query: URLSearchParams;
}

/** Serves a MemoryPlatform whose paths are `kind/name`. `PUT /mode/NAME` switches faults. */
export class PlatformServer {
  readonly platform = new MemoryPlatform();
  mode: PlatformMode = 'up';
  private readonly server: Server;

  constructor() {
    this.server = createServer((req, res) => {
      res.setHeader('store-era', this.platform.era);
      this.handle(req, res).catch(() => res.destroy());
    });
  }

  /** Starts to listen and returns the URL. */
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
    if (this.mode === 'slow') await sleep(SLOW_ANSWER_DELAY_MS);
    const target = parseTarget(url);
    if (target === undefined) return send(res, 404, {});
    if (req.method !== 'GET') return this.write(req, target, body, res);
    if (target.name !== undefined) return this.read(target, res);
    if (target.query.has('watch')) return this.watch(target, res);
    this.list(target, res);
  }

  private switchMode(url: URL, res: ServerResponse): void {
    const name = url.pathname.slice('/mode/'.length);
    const mode = MODES.find(known => known === name);
    if (mode === undefined) return send(res, 404, {});
    this.mode = mode;
    send(res, 200, {mode});
  }

  private read(target: RequestTarget, res: ServerResponse): void {
    const object = this.platform.get(pathOf(target));
    if (object === undefined) send(res, 404, {});
    else send(res, 200, toApiObject(object));
  }

  private list({kind, query}: RequestTarget, res: ServerResponse): void {
    const after = query.get('after') ?? '';
    const objects = this.platform
      .list(`${kind}/`)
      .filter(object => nameOf(object) > after)
      .sort((a, b) => (nameOf(a) < nameOf(b) ? -1 : 1));
    send(res, 200, {
      items: objects.slice(0, PAGE_SIZE).map(toApiObject),
      has_more: objects.length > PAGE_SIZE,
      store_revision: this.platform.revision,
    });
  }

  private watch({kind, query}: RequestTarget, res: ServerResponse): void {
    const after = Number(query.get('watch'));
    const sendEvents = (evenIfEmpty: boolean): boolean => {
      const events = this.platform.eventsAfter(`${kind}/`, after);
      if (events === undefined) {
        send(res, 410, {});
        return true;
      }
      if (events.length === 0 && !evenIfEmpty) return false;
      send(res, 200, {
        events: events.map(({object, removed}) => ({
          object: toApiObject(object),
          removed,
        })),
        store_revision: this.platform.revision,
      });
      return true;
    };
    if (sendEvents(false)) return;
    const stop = (): void => {
      clearTimeout(timer);
      unsubscribe();
    };
    const unsubscribe = this.platform.onChange(() => {
      if (sendEvents(false)) stop();
    });
    const waitMs = Number(query.get('wait_ms') ?? 0);
    const timer = setTimeout(() => {
      stop();
      sendEvents(true);
    }, waitMs);
    res.on('close', stop);
  }

  private write(
    req: IncomingMessage,
    target: RequestTarget,
    body: string,
    res: ServerResponse,
  ): void {
    const apply = (): WriteOutcome | undefined =>
      this.apply(req.method ?? '', target, body);
    if (this.mode === 'lateWrites') {
      setTimeout(apply, LATE_WRITE_DELAY_MS);
      return send(res, 503, {});
    }
    const outcome = apply();
    if (this.mode === 'loseAnswers') {
      res.destroy();
      return;
    }
    if (outcome === undefined) return send(res, 404, {});
    const {name} = target.name === undefined ? metadataOf(body) : target;
    const object = this.platform.get(`${target.kind}/${name}`);
    const status = outcome.type === 'conflict' ? 409 : 200;
    send(res, status, object === undefined ? {} : toApiObject(object));
  }

  private apply(
    method: string,
    target: RequestTarget,
    body: string,
  ): WriteOutcome | undefined {
    if (method === 'DELETE') {
      const revision = Number(target.query.get('revision'));
      return this.platform.remove(pathOf(target), revision);
    }
    const {name, revision} = metadataOf(body);
    const value = JSON.stringify((JSON.parse(body) as {spec: unknown}).spec);
    return this.platform.put(`${target.kind}/${name}`, value, revision ?? 0);
  }
}

function parseTarget(url: URL): RequestTarget | undefined {
  if (!url.pathname.startsWith(OBJECTS_PATH)) return undefined;
  const [kind, name] = url.pathname
    .slice(OBJECTS_PATH.length)
    .split('/')
    .map(decodeURIComponent);
  if (kind === undefined || kind === '') return undefined;
  return {kind, name, query: url.searchParams};
}

function pathOf({kind, name}: RequestTarget): string {
  return `${kind}/${name ?? ''}`;
}

function nameOf({path}: StoredObject): string {
  return path.slice(path.indexOf('/') + 1);
}

function metadataOf(body: string): {name: string; revision?: number} {
  return (JSON.parse(body) as {metadata: {name: string; revision?: number}})
    .metadata;
}

function toApiObject(object: StoredObject): unknown {
  const metadata = {
    name: nameOf(object),
    revision: object.version,
    created: object.version,
    finalizers: [],
    deleting: false,
  };
  return {metadata, spec: JSON.parse(object.value) as unknown, status: null};
}

async function readBody(req: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString();
}

function send(res: ServerResponse, status: number, body: unknown): void {
  if (res.destroyed || res.writableEnded) return;
  res
    .writeHead(status, {'content-type': 'application/json'})
    .end(JSON.stringify(body));
}
