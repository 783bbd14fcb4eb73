import {createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import {Pool} from 'undici';
import {afterEach, describe, expect, it} from 'vitest';
import {createConnector} from './connector';
import {HttpExchange} from './exchange';
import type {ExchangeResult} from './exchange';

const HEAD = 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n';
const PAUSE_MS = 30;

let server: Server | undefined;
let pool: Pool | undefined;

/** Serves part of a body, then ends the connection with `end`; by default the answer declares no length. */
async function exchangeWith(
  end: (socket: Socket) => void,
  pauseMs: number,
  head = HEAD,
): Promise<ExchangeResult> {
  const listening = createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write(`${head}part of the body`);
      if (pauseMs === 0) end(socket);
      else setTimeout(() => end(socket), pauseMs);
    });
  });
  server = listening;
  await new Promise<void>(done => listening.listen(0, '127.0.0.1', done));
  const {port} = listening.address() as AddressInfo;
  const client = new Pool(`http://127.0.0.1:${port}`, {
    connect: createConnector(500),
  });
  pool = client;
  return new Promise(done => {
    const req = {
      method: 'GET',
      path: '/',
      headers: {},
      body: Buffer.alloc(0),
      maxBufferedBytes: 1_024,
    };
    new HttpExchange(req, done).start(client);
  });
}

describe.each([0, PAUSE_MS])(
  'an answer whose connection ends %i ms later',
  pauseMs => {
    afterEach(async () => {
      await pool?.destroy();
      server?.close();
    });

    it('without a length is complete when its connection ends', async () => {
      const result = await exchangeWith(socket => socket.end(), pauseMs);
      expect(result).toMatchObject({type: 'answer', status: 200});
    });

    it('without a length is incomplete when its connection is reset', async () => {
      const result = await exchangeWith(
        socket => socket.resetAndDestroy(),
        pauseMs,
      );
      expect(result).toMatchObject({type: 'broke', sent: true});
    });

    it('with a length is complete even if its connection is reset', async () => {
      const length = 'part of the body'.length;
      const result = await exchangeWith(
        socket => socket.resetAndDestroy(),
        pauseMs,
        `HTTP/1.1 200 OK\r\ncontent-length: ${length}\r\n\r\n`,
      );
      expect(result).toMatchObject({type: 'answer', status: 200});
    });
  },
);
