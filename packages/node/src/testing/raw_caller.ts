/** A caller on a raw connection, which can close it at any moment. */
import {connect} from 'node:net';
import type {Socket} from 'node:net';

/** How a caller closes its connection. */
export type CloseMode = 'end' | 'destroy' | 'reset';

/** Fields of a raw request. */
export interface RawRequest {
  readonly id: string;
  readonly method?: 'GET' | 'POST';
  readonly path?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

/** Text of a request to the service `orders`. */
export function rawRequest({
  id,
  method = 'GET',
  path = '/x',
  headers = {},
  body = '',
}: RawRequest): string {
  const lines = Object.entries({
    host: 'orders',
    'gh-service': 'orders',
    'gh-deadline-ms': '9000',
    'x-request-id': id,
    ...(method === 'POST' && {'content-length': String(body.length)}),
    ...headers,
  }).map(([name, value]) => `${name}: ${value}\r\n`);
  return `${method} ${path} HTTP/1.1\r\n${lines.join('')}\r\n${body}`;
}

/** One connection of a caller. */
export class RawCaller {
  received = '';

  private constructor(private readonly socket: Socket) {
    socket.on('data', data => (this.received += data.toString()));
    socket.on('error', () => undefined);
  }

  static connect(url: string): Promise<RawCaller> {
    const {port, hostname} = new URL(url);
    return new Promise(done => {
      const socket = connect(Number(port), hostname, () =>
        done(new RawCaller(socket)),
      );
      socket.setNoDelay();
    });
  }

  send(text: string): void {
    this.socket.write(text);
  }

  close(mode: CloseMode): void {
    if (mode === 'end') this.socket.end();
    else if (mode === 'destroy') this.socket.destroy();
    else this.socket.resetAndDestroy();
  }
}

/** Stops everything in this process for a time, as when its VM is frozen. */
export function blockEventLoop(ms: number): void {
  const end = performance.now() + ms;
  while (performance.now() < end);
}
