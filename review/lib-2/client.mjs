/** Clients on raw connections, so that a request can be sent in parts. */
import {connect} from 'node:net';

export class Client {
  buffer = Buffer.alloc(0);
  answers = [];

  constructor(fleet, node) {
    Object.assign(this, {fleet, node});
  }

  async open() {
    this.socket = connect(this.node.outbound, this.node.ip);
    this.socket.setNoDelay(true);
    this.socket.on('error', () => undefined);
    this.socket.on('data', data => this.read(data));
    this.socket.on('close', () => this.onClose());
    await new Promise((done, fail) => {
      this.socket.once('connect', done);
      this.socket.once('error', fail);
    });
    return this;
  }

  /** Head of a request; a body of `bytes` follows. */
  head({method, path, attempt, deadlineMs, bytes = 0, headers = []}) {
    const length = method === 'GET' ? [] : [`Content-Length: ${bytes}`];
    return [
      `${method} ${path} HTTP/1.1`,
      'Host: ficu95.example',
      `X-Attempt-Id: ${attempt}`,
      `X-Deadline-Ms: ${deadlineMs}`,
      ...length,
      ...headers,
      '',
      '',
    ].join('\r\n');
  }

  write(data) {
    this.socket.write(data);
  }

  /** Expects the answer to an attempt; resolves to {status, body} or {status: 0} if the connection closes without a complete one. */
  expect(attempt) {
    this.fleet.record({what: 'sent', attempt, node: this.node.name});
    return new Promise(done => (this.pending = {attempt, done}));
  }

  request(options) {
    this.write(this.head(options));
    return this.expect(options.attempt);
  }

  close() {
    this.socket.destroy();
  }

  read(data) {
    this.buffer = Buffer.concat([this.buffer, data]);
    const end = this.buffer.indexOf('\r\n\r\n');
    if (end < 0 || this.pending === undefined) return;
    const head = this.buffer.subarray(0, end).toString('latin1');
    const status = Number(head.slice(9, 12));
    const length = Number(/^content-length: (\d+)/im.exec(head)?.[1] ?? 0);
    if (this.buffer.length < end + 4 + length) return;
    const body = this.buffer.subarray(end + 4, end + 4 + length).toString();
    this.buffer = this.buffer.subarray(end + 4 + length);
    const retryAfter = /^retry-after: (.*)/im.exec(head)?.[1];
    const signed = /^x-response-signature:/im.test(head);
    this.settle({status, body, retryAfter, signed});
  }

  onClose() {
    this.settle({status: 0, body: 'connection closed without an answer'});
  }

  settle(answer) {
    if (this.pending === undefined) return;
    const {attempt, done} = this.pending;
    this.pending = undefined;
    this.fleet.record({what: 'answered', attempt, ...answer});
    done(answer);
  }
}

let nextAttempt = 0;
const boot = Math.random().toString(16).slice(2, 8);
export const newAttempt = () => `${boot}${(nextAttempt++).toString(16).padStart(6, '0')}`;
