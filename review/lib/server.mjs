// Stand-in for one application server, after PROTOCOL.md: slots and a short queue,
// instance ids, deadlines, load headers, liveness reports and deregistration.
import {createServer, request} from 'node:http';
import {createHash} from 'node:crypto';

export const HEARTBEAT_MS = 1_500;
const IDLE_CLOSE_MS = 10_000;
const REPORT_TIMEOUT_MS = 1_000;

export class AppServer {
  /** options: id, service, zone, host, port, control, slots, workMs, recorder, crashesOn (path suffix). */
  constructor(options) {
    this.options = options;
    this.born = options.born ?? Date.now();
    this.sequence = 0;
    this.running = 0;
    this.waiting = [];
    this.isUp = false;
    this.server = createServer({keepAliveTimeout: IDLE_CLOSE_MS}, (req, res) =>
      this.receive(req, res),
    );
    this.sockets = new Set();
    this.server.on('connection', socket => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
      socket.on('error', () => undefined);
    });
  }

  async start() {
    const {host, port} = this.options;
    await new Promise((done, fail) => {
      this.server.once('error', fail);
      this.server.listen(port, host, done);
    });
    this.isUp = true;
  }

  /** Reports `ready` now and at each heartbeat; resolves with the status of the first report. */
  startReports() {
    this.timer = setInterval(() => {
      this.report('ready').catch(() => undefined);
    }, HEARTBEAT_MS);
    return this.report('ready').catch(() => 0);
  }

  stopReports() {
    clearInterval(this.timer);
  }

  /** Body of the next liveness report. */
  nextReport(phase) {
    const {service, host, port, zone, slots, address = `${host}:${port}`} = this.options;
    return JSON.stringify({
      service,
      address,
      zone,
      version: 'v1',
      capacity: slots,
      phase,
      cold_remaining: '0ms',
      sequence: ++this.sequence,
      born: this.born,
    });
  }

  report(phase) {
    return this.control('PUT', this.nextReport(phase));
  }

  deregister() {
    return this.control('DELETE', '');
  }

  /** Calls the control address; resolves with the status. */
  control(method, body) {
    const {id, control} = this.options;
    return callControl(control, method, id, body);
  }

  /** Ends all work and resets all connections, as a crash does. */
  crash() {
    this.stopReports();
    this.isUp = false;
    this.waiting = [];
    this.server.close();
    for (const socket of [...this.sockets]) socket.resetAndDestroy();
  }

  async close() {
    this.stopReports();
    this.isUp = false;
    for (const socket of [...this.sockets]) socket.destroy();
    await new Promise(done => this.server.close(done));
  }

  loadHeader() {
    return `${this.running},${this.waiting.length},${this.options.slots},100`;
  }

  receive(req, res) {
    const {id} = this.options;
    res.setHeader('x-server-load', this.loadHeader());
    if (req.url === '/healthz') {
      res.writeHead(200, {'x-instance-id': id}).end();
      return;
    }
    const chunks = [];
    req.on('data', chunk => chunks.push(chunk));
    req.on('end', () => this.admit(req, res, Buffer.concat(chunks)));
  }

  admit(req, res, body) {
    const {id, slots, recorder} = this.options;
    const attempt = req.headers['x-attempt-id'];
    const arrivedAt = recorder.now();
    recorder.write('arrived', {attempt, server: id, path: req.url});
    if (attempt === undefined) {
      res.writeHead(400, {'x-not-executed': '1'}).end();
      return;
    }
    res.setHeader('x-attempt-id', attempt);
    if (req.headers['x-expected-instance'] !== id) {
      recorder.write('misdirected', {attempt, server: id});
      res.writeHead(421, {'x-instance-id': id}).end();
      return;
    }
    const job = {req, res, attempt, body, arrivedAt};
    if (this.running < slots) this.run(job);
    else if (this.waiting.length < slots) this.waiting.push(job);
    else res.writeHead(503, {'x-not-executed': '1'}).end();
  }

  run(job) {
    const {req, res, attempt, body} = job;
    const {id, recorder, workMs, crashesOn, onCrash} = this.options;
    this.running++;
    const caller = req.headers['x-caller-service'];
    recorder.write('run', {attempt, server: id, method: req.method, caller});
    this.options.onRun?.(attempt, this, req);
    if (crashesOn !== undefined && req.url.endsWith(crashesOn)) {
      recorder.write('crash', {attempt, server: id});
      onCrash(this);
      return;
    }
    const leftMs = Number(req.headers['x-deadline-ms'] ?? 1_000);
    const isLate = leftMs < workMs;
    const timer = setTimeout(() => {
      this.finish();
      if (!this.isUp || res.destroyed) return;
      res.setHeader('x-server-load', this.loadHeader());
      if (isLate) {
        res.writeHead(504).end();
        return;
      }
      const text = `${id} ${attempt} ${body.length}`;
      const signature = createHash('sha256').update(text).digest('hex');
      recorder.write('ran', {attempt, server: id});
      if (this.options.answer?.(job, text, signature)) return;
      res.writeHead(200, {'x-response-signature': signature}).end(text);
    }, Math.min(workMs, leftMs));
    // The server drops a request when its connection closes.
    res.on('close', () => {
      if (res.writableFinished || !this.isUp) return;
      recorder.write('dropped', {attempt, server: id});
      clearTimeout(timer);
      this.finish();
    });
  }

  finish() {
    this.running--;
    const next = this.waiting.shift();
    if (next !== undefined && this.isUp) this.run(next);
  }
}

/** Sends a liveness report or a deregistration; `idInPath` is used as it stands. */
export function callControl(control, method, idInPath, body) {
  const [host, port] = control.split(':');
  return new Promise((done, fail) => {
    const req = request(
      {
        host,
        port: Number(port),
        method,
        path: `/v1/instances/${idInPath}`,
        agent: false,
        timeout: REPORT_TIMEOUT_MS,
        headers: {
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(body),
        },
      },
      res => {
        res.resume();
        res.on('end', () => done(res.statusCode));
      },
    );
    req.on('timeout', () => req.destroy(new Error('no answer in time')));
    req.on('error', fail);
    req.end(body);
  });
}
