/** Connections to one server, behind a class so that trials can do without sockets. */
import {connect} from 'node:net';
import {Pool} from 'undici';
import {HttpExchange} from '../http/exchange';
import type {ExchangeRequest, ExchangeResult} from '../http/exchange';

/** An exchange under way. */
export interface ServerExchange {
  readonly abort: (reason: string) => void;
}

/** Ways to reach one server process. */
export abstract class ServerConnections {
  /** Runs one exchange; `done` is called once, `onStreamEnd` after a streamed answer. */
  abstract exchange(
    req: ExchangeRequest,
    done: (result: ExchangeResult) => void,
    onStreamEnd: () => void,
  ): ServerExchange;
  /** Whether the server still accepts connections. */
  abstract check(): Promise<boolean>;
  abstract close(): Promise<void>;
}

const CONNECT_TIMEOUT_MS = 500;
const IDLE_CONNECTION_MS = 2_000;
const CHECK_TIMEOUT_MS = 300;

/** Connections over loopback. */
export class HttpServerConnections extends ServerConnections {
  private readonly pool: Pool;

  constructor(
    private readonly port: number,
    slots: number,
  ) {
    super();
    this.pool = new Pool(`http://127.0.0.1:${port}`, {
      connections: slots,
      pipelining: 1,
      connect: {timeout: CONNECT_TIMEOUT_MS},
      keepAliveTimeout: IDLE_CONNECTION_MS,
    });
  }

  override exchange(
    req: ExchangeRequest,
    done: (result: ExchangeResult) => void,
    onStreamEnd: () => void,
  ): ServerExchange {
    const exchange = new HttpExchange(req, done, onStreamEnd);
    exchange.start(this.pool);
    return exchange;
  }

  override check(): Promise<boolean> {
    return new Promise(done => {
      const socket = connect({port: this.port, host: '127.0.0.1'});
      const end = (accepts: boolean): void => {
        clearTimeout(timer);
        socket.destroy();
        done(accepts);
      };
      // A server that is too busy to accept is not dead.
      const timer = setTimeout(() => end(true), CHECK_TIMEOUT_MS);
      socket.on('connect', () => end(true));
      socket.on('error', () => end(false));
    });
  }

  override async close(): Promise<void> {
    await this.pool.destroy();
  }
}
