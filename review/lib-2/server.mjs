/** Stand-in for an application server, as PROTOCOL.md describes it: a sound one. */
import {createServer, request} from 'node:http';

/** How long a run takes is told by the path's query `work` in milliseconds. */
export class AppServer {
  sequence = 0;
  inFlight = 0;

  constructor({id, service, host, port, control, zone, slots = 11, heartbeatMs = 1_500, record}) {
    Object.assign(this, {id, service, host, port, control, zone, slots, heartbeatMs, record});
    this.born = Date.now();
    this.server = createServer({keepAliveTimeout: 10_000}, (req, res) => this.receive(req, res));
  }

  async start() {
    await new Promise(done => this.server.listen(this.port, this.host, done));
    this.beat();
    this.timer = setInterval(() => this.beat(), this.heartbeatMs);
  }

  /** A liveness report as it would be sent now. */
  report(phase = 'ready') {
    return JSON.stringify({
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
  }

  /** Sends a report, by default one that is made now; resolves to its status, 0 without an answer within a second. */
  beat(body = this.report()) {
    return this.call('PUT', body);
  }

  stopBeats() {
    clearInterval(this.timer);
  }

  /** Deregisters; resolves to the status. */
  leave() {
    return this.call('DELETE');
  }

  call(method, body) {
    const [host, port] = this.control.split(':');
    return new Promise(done => {
      const headers = body === undefined ? {} : {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)};
      const path = `/v1/instances/${this.id}`;
      const req = request({host, port, method, path, headers, agent: false}, res => {
        res.resume();
        res.on('end', () => done(res.statusCode));
      });
      req.setTimeout(1_000, () => req.destroy());
      req.on('error', () => done(0));
      req.on('close', () => done(0));
      req.end(body);
    });
  }

  async close() {
    this.stopBeats();
    this.server.closeAllConnections();
    await new Promise(done => this.server.close(done));
  }

  receive(req, res) {
    const {id, slots} = this;
    res.setHeader('x-server-load', `${this.inFlight},0,${slots},100`);
    if (req.url === '/healthz') {
      res.writeHead(200, {'x-instance-id': id}).end();
      return;
    }
    const attempt = req.headers['x-attempt-id'];
    if (attempt !== undefined) res.setHeader('x-attempt-id', attempt);
    if (req.headers['x-expected-instance'] !== id) {
      res.writeHead(421, {'x-not-executed': '1', 'x-instance-id': id}).end();
      return;
    }
    if (this.inFlight >= slots) {
      res.writeHead(503, {'x-not-executed': '1'}).end();
      return;
    }
    this.inFlight++;
    this.record({what: 'run begins', server: id, attempt, method: req.method, path: req.url});
    req.resume();
    const query = new URL(req.url, 'http://server').searchParams;
    const work = Number(query.get('work') ?? 20);
    const timer = setTimeout(() => {
      if (this.isEndless) {
        this.answerWithoutEnd(res, attempt);
        return;
      }
      if (query.has('chunk')) {
        this.answerInChunks(res, attempt, Number(query.get('bytes')), Number(query.get('chunk')));
        return;
      }
      const body = `${id} ${attempt}`.padEnd(Number(query.get('bytes') ?? 0), '.');
      res.writeHead(200, {'x-response-signature': `${id}.${attempt}`, 'content-length': body.length}).end(body);
      this.record({what: 'run answered', server: id, attempt});
    }, work);
    res.on('close', () => {
      clearTimeout(timer);
      this.inFlight--;
      if (!res.writableFinished) this.record({what: 'run dropped', server: id, attempt});
    });
  }

  /** Answers with a chunked body of so many bytes, in chunks of `size` bytes, written to the connection at once. */
  answerInChunks(res, attempt, bytes, size) {
    const {id} = this;
    const head = `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${attempt}\r\nX-Response-Signature: ${id}.${attempt}\r\nTransfer-Encoding: chunked\r\n\r\n`;
    const parts = [Buffer.from(head)];
    for (let left = bytes; left > 0; left -= size) {
      const part = Math.min(size, left);
      parts.push(Buffer.from(`${part.toString(16)}\r\n${'a'.repeat(part)}\r\n`));
    }
    parts.push(Buffer.from('0\r\n\r\n'));
    const {socket} = res;
    socket.write(Buffer.concat(parts), () => {
      this.record({what: 'run answered', server: id, attempt});
      // The answer is on the wire; the connection is left to the caller to close.
      socket.end();
    });
  }

  /** In trouble: sends a body without end until the caller closes. */
  answerWithoutEnd(res, attempt) {
    const {id} = this;
    res.writeHead(200, {'x-response-signature': `${id}.${attempt}`});
    const piece = Buffer.alloc(16_384, 'e');
    const timer = setInterval(() => {
      if (!res.writableNeedDrain) res.write(piece);
    }, 5);
    res.on('close', () => {
      clearInterval(timer);
      this.record({what: 'endless answer closed by the caller', server: id, attempt});
    });
  }
}
