/** Stand-in for the platform's store, as PROTOCOL.md describes it: objects by kind and name, conditional writes, lists, watches. */
import {createServer} from 'node:http';

const PREFIX = '/v1/objects/';
const PAGE = 500;

export class Store {
  /** While set, calls get no answer and change nothing. */
  silent = false;
  objects = new Map();
  events = [];
  revision = 1;
  waiting = new Set();
  /** Writes that changed an object: {at, path}. */
  writes = [];

  constructor() {
    this.server = createServer((req, res) => {
      const chunks = [];
      req.on('data', chunk => chunks.push(chunk));
      req.on('end', () => {
        if (!this.silent) this.handle(req, res, Buffer.concat(chunks).toString());
      });
    });
  }

  async listen(host) {
    await new Promise(done => this.server.listen(0, host, done));
    this.address = `${host}:${this.server.address().port}`;
  }

  /** Stops or resumes answering. Calls that wait are dropped without an answer. */
  setSilent(silent) {
    this.silent = silent;
    if (silent) this.waiting.clear();
  }

  /** A write of the operator; acknowledged when it returns. */
  operatorPut(kind, name, spec) {
    return this.store(kind, name, spec);
  }

  async close() {
    this.server.closeAllConnections();
    await new Promise(done => this.server.close(done));
  }

  store(kind, name, spec) {
    const path = `${kind}/${name}`;
    const old = this.objects.get(path);
    if (old && JSON.stringify(old.spec) === JSON.stringify(spec)) return old;
    const revision = ++this.revision;
    const created = old?.metadata.created ?? revision;
    const metadata = {name, revision, created, finalizers: [], deleting: false};
    const object = {metadata, spec, status: null};
    this.objects.set(path, object);
    this.writes.push({at: Date.now(), path});
    this.emit({kind, revision, removed: false, object});
    return object;
  }

  emit(event) {
    this.events.push(event);
    for (const wake of [...this.waiting]) wake();
  }

  handle(req, res, body) {
    const url = new URL(req.url, 'http://store');
    if (!url.pathname.startsWith(PREFIX)) return send(res, 404, {});
    const [kind, name, sub] = url.pathname.slice(PREFIX.length).split('/').map(decodeURIComponent);
    if (sub !== undefined) return send(res, 404, {});
    const query = url.searchParams;
    switch (req.method) {
      case 'GET':
        if (name !== undefined) {
          const found = this.objects.get(`${kind}/${name}`);
          return found ? send(res, 200, found) : send(res, 404, {});
        }
        return query.has('watch') ? this.watch(kind, query, res) : this.list(kind, query, res);
      case 'POST': {
        const {metadata, spec} = JSON.parse(body);
        const found = this.objects.get(`${kind}/${metadata.name}`);
        return found ? send(res, 409, found) : send(res, 200, this.store(kind, metadata.name, spec));
      }
      case 'PUT': {
        const {metadata, spec} = JSON.parse(body);
        const found = this.objects.get(`${kind}/${name}`);
        if (!found) return send(res, 404, {});
        const expected = metadata?.revision;
        if (expected !== undefined && expected !== found.metadata.revision) return send(res, 409, found);
        return send(res, 200, this.store(kind, name, spec));
      }
      case 'DELETE': {
        const found = this.objects.get(`${kind}/${name}`);
        if (!found) return send(res, 404, {});
        const expected = query.get('revision');
        if (expected !== null && Number(expected) !== found.metadata.revision) return send(res, 409, found);
        this.objects.delete(`${kind}/${name}`);
        const revision = ++this.revision;
        const object = {...found, metadata: {...found.metadata, revision}};
        this.emit({kind, revision, removed: true, object});
        return send(res, 200, object);
      }
      default:
        return send(res, 404, {});
    }
  }

  list(kind, query, res) {
    const after = query.get('after') ?? '';
    const all = [...this.objects]
      .filter(([path, {metadata}]) => path === `${kind}/${metadata.name}` && metadata.name > after)
      .map(([, object]) => object)
      .sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1));
    send(res, 200, {items: all.slice(0, PAGE), has_more: all.length > PAGE, store_revision: this.revision});
  }

  watch(kind, query, res) {
    const since = Number(query.get('watch'));
    const reply = evenIfEmpty => {
      const events = this.events.filter(event => event.kind === kind && event.revision > since);
      if (events.length === 0 && !evenIfEmpty) return false;
      send(res, 200, {
        events: events.map(({removed, object}) => ({removed, object})),
        store_revision: this.revision,
      });
      return true;
    };
    if (reply(false)) return;
    const wake = () => {
      if (reply(false)) stop();
    };
    const stop = () => {
      clearTimeout(timer);
      this.waiting.delete(wake);
    };
    const timer = setTimeout(() => {
      const isOpen = this.waiting.has(wake);
      stop();
      if (isOpen) reply(true);
    }, Number(query.get('wait_ms') ?? 0));
    this.waiting.add(wake);
    res.on('close', stop);
  }
}

function send(res, status, body) {
  if (res.destroyed || res.writableEnded) return;
  res.writeHead(status, {'content-type': 'application/json'}).end(JSON.stringify(body));
}
