// Stand-in for the platform's metadata store (PROTOCOL.md), on one port for each node so that it can turn single nodes away.
import {createServer} from 'node:http';

const PAGE = 500;

export class Store {
  objects = new Map(); // 'kind/name' -> {metadata, spec, status}
  events = [];
  revision = 10;
  waiting = new Set();
  listeners = [];

  /** Opens a port for one caller; `gate.mode` is 'up', 'busy' (503) or 'silent'. */
  async open(host) {
    const gate = {mode: 'up', port: 0, server: undefined, sockets: new Set()};
    gate.server = createServer((req, res) => this.#handle(gate, req, res));
    gate.server.on('connection', socket => {
      gate.sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => gate.sockets.delete(socket));
    });
    gate.server.keepAliveTimeout = 60_000;
    await new Promise((done, fail) => {
      gate.server.once('error', fail);
      gate.server.listen(0, host, done);
    });
    gate.port = gate.server.address().port;
    this.listeners.push(gate);
    return gate;
  }

  /** Writes as the operator does; resolves at once, which is the acknowledgement. */
  operatorPut(kind, name, spec) {
    const path = `${kind}/${name}`;
    const old = this.objects.get(path);
    return this.#store(path, {
      metadata: {
        name,
        revision: 0,
        created: old?.metadata.created ?? Date.now(),
        finalizers: [],
        deleting: false,
      },
      spec,
      status: old?.status ?? null,
    });
  }

  close() {
    for (const {server, sockets} of this.listeners) {
      server.close();
      for (const socket of sockets) socket.destroy();
    }
  }

  #store(path, object) {
    object.metadata.revision = ++this.revision;
    this.objects.set(path, object);
    this.#event(path, object, false);
    return object;
  }

  #event(path, object, removed) {
    this.events.push({
      revision: this.revision,
      path,
      object: structuredClone(object),
      removed,
    });
    for (const wake of [...this.waiting]) wake();
  }

  async #handle(gate, req, res) {
    const chunks = [];
    try {
      for await (const chunk of req) chunks.push(chunk);
    } catch {
      return;
    }
    if (gate.mode === 'silent') return;
    if (gate.mode === 'busy') return send(res, 503, {});
    await new Promise(done => setTimeout(done, 4));
    const url = new URL(req.url, 'http://store');
    const [kind, name, part] = url.pathname
      .replace(/^\/v1\/objects\//, '')
      .split('/')
      .map(decodeURIComponent);
    const body =
      chunks.length > 0
        ? JSON.parse(Buffer.concat(chunks).toString())
        : undefined;
    if (req.method === 'GET') {
      if (name !== undefined) {
        const object = this.objects.get(`${kind}/${name}`);
        return object ? send(res, 200, object) : send(res, 404, {});
      }
      if (url.searchParams.has('watch'))
        return this.#watch(kind, url.searchParams, res);
      const after = url.searchParams.get('after') ?? '';
      const all = [...this.objects.keys()]
        .filter(
          path =>
            path.startsWith(`${kind}/`) && path.slice(kind.length + 1) > after,
        )
        .sort();
      return send(res, 200, {
        items: all.slice(0, PAGE).map(path => this.objects.get(path)),
        has_more: all.length > PAGE,
        store_revision: this.revision,
      });
    }
    if (req.method === 'POST') {
      const path = `${kind}/${body.metadata.name}`;
      const existing = this.objects.get(path);
      if (existing) return send(res, 409, existing);
      const {name: objectName, finalizers = []} = body.metadata;
      const metadata = {
        name: objectName,
        revision: 0,
        created: Date.now(),
        finalizers,
        deleting: false,
      };
      return send(
        res,
        201,
        this.#store(path, {metadata, spec: body.spec ?? null, status: null}),
      );
    }
    const path = `${kind}/${name}`;
    const existing = this.objects.get(path);
    if (!existing) return send(res, 404, {});
    const wanted =
      body?.metadata?.revision ??
      (url.searchParams.has('revision')
        ? Number(url.searchParams.get('revision'))
        : undefined);
    if (wanted !== undefined && wanted !== existing.metadata.revision)
      return send(res, 409, existing);
    if (req.method === 'DELETE') {
      this.objects.delete(path);
      this.revision++;
      this.#event(
        path,
        {
          ...existing,
          metadata: {...existing.metadata, revision: this.revision},
        },
        true,
      );
      return send(res, 200, existing);
    }
    const next =
      part === 'status'
        ? {...existing, status: body.status}
        : {...existing, spec: body.spec ?? null};
    if (
      JSON.stringify([next.spec, next.status]) ===
      JSON.stringify([existing.spec, existing.status])
    )
      return send(res, 200, existing);
    return send(
      res,
      200,
      this.#store(path, {...next, metadata: {...existing.metadata}}),
    );
  }

  #watch(kind, query, res) {
    const since = Number(query.get('watch'));
    const found = () =>
      this.events.filter(
        event => event.revision > since && event.path.startsWith(`${kind}/`),
      );
    const answer = () => {
      clearTimeout(timer);
      this.waiting.delete(wake);
      send(res, 200, {
        events: found().map(({object, removed}) => ({object, removed})),
        store_revision: this.revision,
      });
    };
    const wake = () => found().length > 0 && answer();
    const timer = setTimeout(
      answer,
      Math.min(30_000, Number(query.get('wait_ms') ?? 0)),
    );
    this.waiting.add(wake);
    res.on('close', () => {
      clearTimeout(timer);
      this.waiting.delete(wake);
    });
    wake();
  }
}

function send(res, status, body) {
  if (res.destroyed || res.writableEnded) return;
  res
    .writeHead(status, {'content-type': 'application/json'})
    .end(JSON.stringify(body));
}
