/** Server for the control messages of other nodes. */
import {createServer} from 'node:http';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {Code, ConnectError} from '@connectrpc/connect';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import type {ExchangeMessage} from '@goldcresthill/membership';
import {Control, decodeExchange, encodeExchange} from '@goldcresthill/protocol';

/** Options of ControlListener. */
export interface ControlListenerOptions {
  readonly host: string;
  readonly port: number;
  readonly onExchange: (message: ExchangeMessage) => ExchangeMessage;
  /** Returns the configuration entries that changed after a revision, as JSON. */
  readonly onFetchConfig: (since: number) => string;
}

const MAX_MESSAGE_BYTES = 1_048_576;
/** Longer than other nodes keep an idle connection, so that none is closed while they send on it, milliseconds. */
const KEEP_ALIVE_TIMEOUT_MS = 60_000;

/** Serves the Control service over HTTP/1.1 without TLS. */
export class ControlListener {
  private readonly server: Server;

  constructor(private readonly options: ControlListenerOptions) {
    const adapter = connectNodeAdapter({
      grpc: false,
      grpcWeb: false,
      readMaxBytes: MAX_MESSAGE_BYTES,
      routes: router =>
        router.service(Control, {
          exchange: wire => {
            const message = decodeExchange(wire);
            if (message === undefined) {
              throw new ConnectError('sender is missing', Code.InvalidArgument);
            }
            return encodeExchange(options.onExchange(message));
          },
          fetchConfig: ({since}) => ({
            since,
            delta: options.onFetchConfig(since),
          }),
        }),
    });
    this.server = createServer(
      {keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS},
      adapter,
    );
  }

  /** Starts to listen; resolves to the port. */
  async listen(): Promise<number> {
    const {port, host} = this.options;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    return (this.server.address() as AddressInfo).port;
  }

  /** Closes the port and destroys open connections. */
  async close(): Promise<void> {
    const closed = new Promise(resolve => this.server.close(resolve));
    this.server.closeAllConnections();
    await closed;
  }
}
