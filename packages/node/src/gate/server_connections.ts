/** Connections to one server, as an abstract class so that trials can run without sockets. */
import {connect} from 'node:net';
import {runAfter} from '@goldcresthill/timers';
import {Client, Pool} from 'undici';
import {createConnector} from '../http/connector';
import {HttpExchange} from '../http/exchange';
import type {ExchangeRequest, ExchangeResult} from '../http/exchange';
import type {InputBudget} from '../http/input_budget';
import {runShortExchange} from '../http/short_exchange';

/** A running exchange. */
export interface ServerExchange {
  /** Whether the request may have reached the server; false while it waits for a connection. */
  readonly isSent: boolean;
  readonly abort: (reason: string) => void;
}

/** Connections to one server process. */
export abstract class ServerConnections {
  /** Runs one exchange. `done` is called once, `onStreamEnd` at the end of a streamed answer, with an error if it is not complete. */
  abstract exchange(
    req: ExchangeRequest,
    done: (result: ExchangeResult) => void,
    onStreamEnd: (err?: Error) => void,
  ): ServerExchange;
  /** Requests the load path of the server on a separate connection; `done` is called once. */
  abstract fetchLoad(
    path: string,
    done: (result: ExchangeResult) => void,
  ): void;
  /** Resolves to whether the server still accepts connections. */
  abstract acceptsConnections(): Promise<boolean>;
  abstract close(): Promise<void>;
}

const CONNECT_TIMEOUT_MS = 500;
const IDLE_CONNECTION_MS = 2_000;
/** Longer, as load checks of a quiet server are rare and opening a connection costs the server more than a check. */
const IDLE_LOAD_CONNECTION_MS = 8_000;
const CHECK_TIMEOUT_MS = 300;

export interface ServerAddress {
  readonly host: string;
  readonly port: number;
}

/** HTTP/1.1 connections. */
export class HttpServerConnections extends ServerConnections {
  private readonly pool: Pool;
  private loadClient: Client | undefined;

  constructor(
    private readonly address: ServerAddress,
    slots: number,
    private readonly budget?: InputBudget,
  ) {
    super();
    this.pool = new Pool(`http://${address.host}:${address.port}`, {
      connections: slots,
      pipelining: 1,
      connect: createConnector(CONNECT_TIMEOUT_MS),
      keepAliveTimeout: IDLE_CONNECTION_MS,
    });
  }

  override exchange(
    req: ExchangeRequest,
    done: (result: ExchangeResult) => void,
    onStreamEnd: (err?: Error) => void,
  ): ServerExchange {
    const {budget} = this;
    const exchange = new HttpExchange({...req, budget}, done, onStreamEnd);
    exchange.start(this.pool);
    return exchange;
  }

  override fetchLoad(
    path: string,
    done: (result: ExchangeResult) => void,
  ): void {
    const {host, port} = this.address;
    this.loadClient ??= new Client(`http://${host}:${port}`, {
      connect: createConnector(CONNECT_TIMEOUT_MS),
      keepAliveTimeout: IDLE_LOAD_CONNECTION_MS,
    });
    const req = {method: 'GET', path, headers: {}};
    runShortExchange(this.loadClient, req, CHECK_TIMEOUT_MS, done);
  }

  override acceptsConnections(): Promise<boolean> {
    return new Promise(done => {
      const socket = connect(this.address);
      const end = (accepts: boolean): void => {
        cancelTimeout();
        socket.destroy();
        done(accepts);
      };
      // A server that is too busy to accept connections in time is not dead.
      const cancelTimeout = runAfter(CHECK_TIMEOUT_MS, () => end(true));
      socket.on('connect', () => end(true));
      socket.on('error', () => end(false));
    });
  }

  override async close(): Promise<void> {
    await Promise.all([this.pool.destroy(), this.loadClient?.destroy()]);
  }
}
