// Stand-in for an application server (PROTOCOL.md, Servers and Service discovery).
import {createServer, request} from 'node:http';

export class AppServer {
  runs = []; // {id, at, headers, method, path, body}
  received = []; // every request but health checks that arrived: {id, at, status}
  running = 0;
  sequence = 0;
  extraHeaders = {};

  constructor({
    id,
    service,
    host,
    port,
    control,
    zone,
    slots = 10,
    workMs = 20,
    born = Date.now(),
    record = () => undefined,
  }) {
    Object.assign(this, {
      id,
      service,
      host,
      port,
      control,
      zone,
      slots,
      workMs,
      born,
      record,
    });
    this.server = createServer({keepAliveTimeout: 10_000}, (req, res) =>
      this.#receive(req, res),
    );
    this.sockets = new Set();
    this.server.on('connection', socket => {
      this.sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => this.sockets.delete(socket));
    });
  }

  listen() {
    return new Promise((done, fail) => {
      this.server.once('error', fail);
      this.server.listen(this.port, this.host, done);
    });
  }

  /** Ends as a crash does: all connections are reset, nothing is said. */
  async crash() {
    this.stopReports();
    for (const socket of this.sockets) socket.resetAndDestroy();
    await new Promise(done => this.server.close(done));
  }

  startReports(everyMs) {
    this.phase ??= 'ready';
    const report = () => this.report(this.phase).catch(() => undefined);
    report();
    this.timer = setInterval(report, everyMs);
  }

  stopReports() {
    clearInterval(this.timer);
  }

  /** Resolves to the status of the answer to a liveness report. */
  report(phase) {
    const body = JSON.stringify({
      service: this.service,
      address: `${this.host}:${this.port}`,
      zone: this.zone,
      version: 'v1',
      capacity: this.slots,
      phase,
      cold_remaining: '0ms',
      sequence: ++this.sequence,
      born: this.born,
    });
    return this.#call('PUT', body);
  }

  deregister() {
    return this.#call('DELETE');
  }

  #call(method, body) {
    const [host, port] = this.control.split(':');
    return new Promise((done, fail) => {
      const req = request(
        {
          host,
          port,
          method,
          path: `/v1/instances/${this.id}`,
          agent: false,
          timeout: 1_000,
          headers:
            body === undefined
              ? {}
              : {
                  'content-type': 'application/json',
                  'content-length': Buffer.byteLength(body),
                },
        },
        res => {
          res.resume();
          res.on('end', () => done(res.statusCode));
          res.on('error', fail);
        },
      );
      req.on('timeout', () =>
        req.destroy(new Error('no acknowledgement within a second')),
      );
      req.on('error', fail);
      req.end(body);
    });
  }

  #receive(req, res) {
    const load = `${this.running},0,${this.slots},100`;
    if (req.url === '/healthz') {
      res
        .writeHead(this.phase === 'draining' ? 503 : 200, {
          'x-instance-id': this.id,
          'x-server-load': load,
          ...this.extraHeaders,
        })
        .end();
      return;
    }
    const id = req.headers['x-attempt-id'];
    const head = {
      'x-server-load': load,
      ...(id === undefined ? {} : {'x-attempt-id': id}),
      ...this.extraHeaders,
    };
    const refuse = status => {
      this.received.push({id, at: Date.now(), status});
      res
        .writeHead(status, {
          ...head,
          'x-instance-id': this.id,
          'x-not-executed': '1',
        })
        .end();
    };
    if (id === undefined) return refuse(400);
    const expected = req.headers['x-expected-instance'];
    if (expected !== undefined && expected !== this.id) return refuse(421);
    if (this.running >= this.slots) return refuse(503);
    const chunks = [];
    req.on('data', chunk => chunks.push(chunk));
    const run = {
      id,
      at: Date.now(),
      instance: this.id,
      born: this.born,
      method: req.method,
      path: req.url,
      headers: req.headers,
    };
    this.runs.push(run);
    this.received.push({id, at: run.at, status: 0});
    this.record('run', {
      id,
      server: this.id,
      service: this.service,
      path: req.url,
    });
    this.running++;
    const workMs =
      typeof this.workMs === 'function' ? this.workMs(req) : this.workMs;
    let ended = false;
    const end = () => {
      if (ended) return;
      ended = true;
      this.running--;
    };
    const timer = setTimeout(() => {
      end();
      run.endedAt = Date.now();
      run.body = Buffer.concat(chunks).toString();
      const body = `${this.service} ${this.id} ran ${id}`;
      res
        .writeHead(200, {
          ...head,
          'x-response-signature': `s.${this.id}.${id}`,
          'content-length': Buffer.byteLength(body),
        })
        .end(body);
    }, workMs);
    res.on('close', () => {
      clearTimeout(timer);
      end();
    });
  }
}
