// Stand-in for the platform's metadata store, after PROTOCOL.md: objects by kind
// and name, conditional writes, lists and watches. It loses nothing and is never down.
import {createServer} from 'node:http';

const ROOT = '/v1/objects/';
const PAGE_SIZE = 500;
const MAX_WAIT_MS = 30_000;

export class Store {
  constructor(host) {
    this.host = host;
    this.revision = 1;
    this.objects = new Map();
    this.events = [];
    this.waiters = new Set();
    this.server = createServer((req, res) => {
      this.receive(req, res).catch(() => res.destroy());
    });
  }

  async listen() {
    await new Promise(done => this.server.listen(0, this.host, done));
    return `${this.host}:${this.server.address().port}`;
  }

  close() {
    this.server.closeAllConnections();
    return new Promise(done => this.server.close(done));
  }

  /** Writes an object as the operator does. */
  write(kind, name, spec) {
    const key = `${kind}/${name}`;
    const before = this.objects.get(key);
    const revision = ++this.revision;
    const created = before?.metadata.created ?? revision;
    const metadata = {name, revision, created, finalizers: [], deleting: false};
    const object = {metadata, spec, status: null};
    this.objects.set(key, object);
    this.publish(kind, object, false);
    return object;
  }

  publish(kind, object, removed) {
    this.events.push({kind, revision: this.revision, object, removed});
    for (const wake of [...this.waiters]) wake();
  }

  async receive(req, res) {
    const url = new URL(req.url, 'http://store');
    let text = '';
    for await (const chunk of req) text += chunk;
    if (!url.pathname.startsWith(ROOT)) return reply(res, 404, {});
    const [kind, name] = url.pathname
      .slice(ROOT.length)
      .split('/')
      .map(decodeURIComponent);
    if (req.method === 'GET' && name !== undefined) {
      const object = this.objects.get(`${kind}/${name}`);
      return object ? reply(res, 200, object) : reply(res, 404, {});
    }
    if (req.method === 'GET' && url.searchParams.has('watch'))
      return this.watch(kind, url.searchParams, res);
    if (req.method === 'GET') return this.list(kind, url.searchParams, res);
    return this.change(req.method, kind, name, url.searchParams, text, res);
  }

  list(kind, query, res) {
    const after = query.get('after') ?? '';
    const all = [...this.objects]
      .filter(([key]) => key.startsWith(`${kind}/`))
      .map(([, object]) => object)
      .filter(({metadata}) => metadata.name > after)
      .sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1));
    reply(res, 200, {
      items: all.slice(0, PAGE_SIZE),
      has_more: all.length > PAGE_SIZE,
      store_revision: this.revision,
    });
  }

  watch(kind, query, res) {
    const from = Number(query.get('watch'));
    const waitMs = Math.min(MAX_WAIT_MS, Number(query.get('wait_ms') ?? 0));
    const tryReply = evenIfEmpty => {
      const events = this.events
        .filter(event => event.kind === kind && event.revision > from)
        .map(({object, removed}) => ({object, removed}));
      if (events.length === 0 && !evenIfEmpty) return false;
      reply(res, 200, {events, store_revision: this.revision});
      return true;
    };
    if (tryReply(false)) return;
    const stop = () => {
      clearTimeout(timer);
      this.waiters.delete(wake);
    };
    const wake = () => {
      if (tryReply(false)) stop();
    };
    const timer = setTimeout(() => {
      stop();
      tryReply(true);
    }, waitMs);
    this.waiters.add(wake);
    res.on('close', stop);
  }

  change(method, kind, nameInPath, query, text, res) {
    const body = text === '' ? {} : JSON.parse(text);
    const name = nameInPath ?? body.metadata?.name;
    const key = `${kind}/${name}`;
    const before = this.objects.get(key);
    const expected = query.has('revision')
      ? Number(query.get('revision'))
      : body.metadata?.revision;
    if (method === 'POST') {
      if (before !== undefined) return reply(res, 409, before);
      return reply(res, 200, this.write(kind, name, body.spec));
    }
    if (before === undefined) return reply(res, 404, {});
    if (expected !== undefined && expected !== before.metadata.revision)
      return reply(res, 409, before);
    if (method === 'DELETE') {
      this.objects.delete(key);
      this.revision++;
      this.publish(kind, before, true);
      return reply(res, 200, before);
    }
    if (JSON.stringify(before.spec) === JSON.stringify(body.spec))
      return reply(res, 200, before);
    return reply(res, 200, this.write(kind, name, body.spec));
  }
}

function reply(res, status, body) {
  if (res.destroyed || res.writableEnded) return;
  res
    .writeHead(status, {'content-type': 'application/json'})
    .end(JSON.stringify(body));
}
