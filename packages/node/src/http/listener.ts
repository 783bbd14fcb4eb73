/** HTTP listeners with the limits that every port of a node has. */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';

/** What a listener starts from. */
export interface ListenerOptions {
  readonly host: string;
  readonly port: number;
  readonly handle: (req: IncomingMessage, res: ServerResponse) => void;
  readonly maxConnections?: number;
  readonly maxHeaderBytes?: number;
  /** Longest time for the headers of a request, milliseconds. */
  readonly headersTimeoutMs?: number;
}

const DEFAULT_MAX_CONNECTIONS = 16_384;
const DEFAULT_MAX_HEADER_BYTES = 16_384;
const DEFAULT_HEADERS_TIMEOUT_MS = 10_000;
/** Longer than a client keeps an idle connection, so that it never sends into a closing one. */
const KEEP_ALIVE_MS = 60_000;
const CHECK_MS = 1_000;
const MALFORMED =
  'HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n' +
  'gh-error-kind: malformedRequest\r\ngh-run-state: notRun\r\ngh-resend-safe: false\r\n\r\n';

/** One listening port. */
export class Listener {
  private readonly server: Server;

  constructor(private readonly options: ListenerOptions) {
    this.server = createServer(
      {
        maxHeaderSize: options.maxHeaderBytes ?? DEFAULT_MAX_HEADER_BYTES,
        headersTimeout: options.headersTimeoutMs ?? DEFAULT_HEADERS_TIMEOUT_MS,
        connectionsCheckingInterval: CHECK_MS,
        // Bodies have their own time limit, by the rules of the service.
        requestTimeout: 0,
        keepAliveTimeout: KEEP_ALIVE_MS,
        noDelay: true,
        insecureHTTPParser: false,
      },
      options.handle,
    );
    this.server.maxConnections =
      options.maxConnections ?? DEFAULT_MAX_CONNECTIONS;
    this.server.on('clientError', (_err, socket) => {
      if (socket.writable) socket.end(MALFORMED);
      else socket.destroy();
    });
  }

  /** Starts to listen; answers the port. */
  async listen(): Promise<number> {
    const {port, host} = this.options;
    await new Promise<void>((done, fail) => {
      this.server.once('error', fail);
      this.server.listen(port, host, done);
    });
    return (this.server.address() as AddressInfo).port;
  }

  /** Takes no new connections and lets the open ones end. */
  stopAccepting(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  async close(): Promise<void> {
    if (!this.server.listening) {
      this.server.closeAllConnections();
      return;
    }
    const closed = new Promise(done => this.server.close(done));
    this.server.closeAllConnections();
    await closed;
  }
}

/** Reads a small JSON or text body of an operator's request. */
export async function readText(
  req: IncomingMessage,
  maxBytes: number,
): Promise<string> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of req) {
    bytes += (chunk as Buffer).length;
    if (bytes > maxBytes) throw new RangeError(`over ${maxBytes} bytes`);
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString();
}
