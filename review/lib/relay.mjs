// A TCP relay whose open connections can go silent without a reset, while new ones work.
import {connect, createServer} from 'node:net';

export class Relay {
  /** Relays connections to `target` (host:port). */
  constructor(host, target) {
    this.host = host;
    this.target = target;
    this.pairs = new Set();
    this.server = createServer(socket => this.accept(socket));
  }

  async listen() {
    await new Promise(done => this.server.listen(0, this.host, done));
    return `${this.host}:${this.server.address().port}`;
  }

  /** Forwards nothing more on the connections that are open now. Returns their number. */
  silence() {
    for (const pair of this.pairs) {
      for (const socket of pair) {
        socket.unpipe();
        socket.pause();
      }
      pair.isSilent = true;
    }
    return this.pairs.size;
  }

  async close() {
    for (const pair of this.pairs) pair.forEach(socket => socket.destroy());
    await new Promise(done => this.server.close(done));
  }

  accept(socket) {
    const [host, port] = this.target.split(':');
    const target = connect({host, port: Number(port)});
    const pair = [socket, target];
    this.pairs.add(pair);
    for (const [one, other] of [pair, [target, socket]]) {
      one.on('error', () => undefined);
      one.on('close', () => {
        if (!pair.isSilent) other.destroy();
        this.pairs.delete(pair);
      });
    }
    socket.pipe(target);
    target.pipe(socket);
  }
}
