/** A TCP relay that can close or stall connections. */
import {connect, createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';

/** Where a relay forwards connections to. */
export interface RelayTarget {
  readonly host: string;
  readonly port: number;
}

/** Forwards connections to a port of this host or of another one. */
export class TcpRelay {
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private refusing = false;
  private silent = false;

  private target: RelayTarget;

  constructor(target: number | RelayTarget) {
    this.target =
      typeof target === 'number' ? {host: '127.0.0.1', port: target} : target;
    this.server = createServer(socket => this.accept(socket));
  }

  async listen(): Promise<number> {
    await new Promise<void>(done => this.server.listen(0, '127.0.0.1', done));
    return (this.server.address() as AddressInfo).port;
  }

  /** Forwards nothing more on the connections that are open now, without closing them. New connections work. */
  stall(): void {
    for (const socket of this.sockets) {
      socket.unpipe();
      socket.pause();
      socket.removeAllListeners('data');
    }
  }

  /** While silent, forwards nothing: open connections stall for good, and new ones until they are closed. */
  setSilent(silent: boolean): void {
    this.silent = silent;
    if (silent) this.stall();
  }

  /** Closes the open connections and forwards new ones to another target. */
  retarget(target: RelayTarget): void {
    this.target = target;
    this.disconnect();
  }

  /** Closes the open connections, and from now on closes new ones at once if `refusing`. */
  disconnect(refusing = false): void {
    this.refusing = refusing;
    this.sockets.forEach(socket => socket.destroy());
  }

  async close(): Promise<void> {
    this.disconnect(true);
    await new Promise(done => this.server.close(done));
  }

  private accept(socket: Socket): void {
    if (this.refusing) {
      socket.destroy();
      return;
    }
    if (this.silent) {
      this.sockets.add(socket);
      socket.on('error', () => socket.destroy());
      socket.on('close', () => this.sockets.delete(socket));
      return;
    }
    const target = connect(this.target);
    this.link(socket, target);
    this.link(target, socket);
    socket.pipe(target);
    target.pipe(socket);
  }

  private link(socket: Socket, peer: Socket): void {
    this.sockets.add(socket);
    socket.on('error', () => peer.destroy());
    socket.on('close', () => {
      this.sockets.delete(socket);
      peer.destroy();
    });
  }
}
