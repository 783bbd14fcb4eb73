/** A faulty server whose response does not end until the client closes the connection. */
import {createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';

/** Part of the response that does not end. */
export type EndlessPart =
  | 'interimAnswers'
  | 'statusLine'
  | 'headerName'
  | 'headers'
  | 'chunkSize'
  | 'chunk'
  | 'trailers';

const HOST = '127.0.0.1';
const WRITE_BYTES = 16_384;
const CHUNKED_HEAD = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n';
const CHUNK = `${WRITE_BYTES.toString(16)}\r\n${'x'.repeat(WRITE_BYTES)}\r\n`;

const PREFIXES: Record<EndlessPart, string> = {
  interimAnswers: '',
  statusLine: 'HTTP/1.1 200 ',
  headerName: 'HTTP/1.1 200 OK\r\nx-',
  headers: 'HTTP/1.1 200 OK\r\n',
  chunkSize: `${CHUNKED_HEAD}1;`,
  chunk: CHUNKED_HEAD,
  trailers: `${CHUNKED_HEAD}0\r\n`,
};

const FILLERS: Record<EndlessPart, string> = {
  interimAnswers: 'HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(500),
  statusLine: 'x'.repeat(WRITE_BYTES),
  headerName: 'x'.repeat(WRITE_BYTES),
  headers: 'x-filler: yyyyyyyyyyyyyyyy\r\n'.repeat(500),
  chunkSize: 'x'.repeat(WRITE_BYTES),
  chunk: CHUNK,
  trailers: 'x-filler: yyyyyyyyyyyyyyyy\r\n'.repeat(500),
};

/** Responds to the first bytes on a connection and writes as fast as the client reads. */
export class EndlessServer {
  /** Bytes written so far on all connections, buffered ones included. */
  sentBytes = 0;
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();

  constructor(private readonly part: EndlessPart) {
    this.server = createServer(socket => this.serve(socket));
  }

  /** Starts to listen on a free port and returns it. */
  async listen(): Promise<number> {
    await new Promise<void>(done => this.server.listen(0, HOST, done));
    return (this.server.address() as AddressInfo).port;
  }

  /** Number of open connections on which request bytes have arrived. */
  get activeConnections(): number {
    return [...this.sockets].filter(socket => socket.bytesRead > 0).length;
  }

  async close(): Promise<void> {
    this.sockets.forEach(socket => socket.destroy());
    await new Promise(done => this.server.close(done));
  }

  private serve(socket: Socket): void {
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
    socket.once('data', () => {
      socket.write(PREFIXES[this.part]);
      this.writeUntilFull(socket);
    });
  }

  private writeUntilFull(socket: Socket): void {
    const filler = FILLERS[this.part];
    let hasRoom = true;
    while (hasRoom && !socket.destroyed) {
      hasRoom = socket.write(filler);
      this.sentBytes += filler.length;
    }
    if (!socket.destroyed)
      socket.once('drain', () => this.writeUntilFull(socket));
  }
}
