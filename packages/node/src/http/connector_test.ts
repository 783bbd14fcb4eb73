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
  return exchangeWithServer(socket => {
    socket.write(`${head}part of the body`);
    if (pauseMs === 0) end(socket);
    else setTimeout(() => end(socket), pauseMs);
  });
}

async function exchangeWithServer(
  answer: (socket: Socket) => void,
): Promise<ExchangeResult> {
  const listening = createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => answer(socket));
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

afterEach(async () => {
  await pool?.destroy();
  server?.close();
});

describe.each([0, PAUSE_MS])(
  'an answer whose connection ends %i ms later',
  pauseMs => {
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

// A node ended when the connection of a streamed answer did while its caller had not read what came before.
describe.each(['together with', 'after'])(
  'a streamed answer to a slow caller, whose connection ends %s its last part',
  when => {
    const chunk = 'x'.repeat(20_000);
    const last = 'last';

    /** Sends more than is buffered for a slow caller, then the last part and the end. Returns the bytes read, and how the stream ended. */
    async function readSlowly(
      head: string,
      end: (socket: Socket) => void,
    ): Promise<{bytes: number; outcome: string}> {
      const result = await exchangeWithServer(socket => {
        socket.write(`HTTP/1.1 200 OK\r\nconnection: close\r\n${head}\r\n`);
        socket.write(chunk);
        setTimeout(() => {
          socket.write(last);
          if (when === 'after') setTimeout(() => end(socket), PAUSE_MS);
          else end(socket);
        }, PAUSE_MS);
      });
      if (result.type !== 'answer' || result.body.type !== 'stream')
        throw new Error('expected a streamed answer');
      const {stream} = result.body;
      const ended = new Promise<string>(done => {
        stream.on('end', () => done('complete'));
        stream.on('error', () => done('broken off'));
      });
      await new Promise(done => setTimeout(done, 4 * PAUSE_MS));
      let bytes = 0;
      stream.on('data', (data: Buffer) => (bytes += data.length));
      return {outcome: await ended, bytes};
    }

    it('is complete without a length', async () => {
      const result = await readSlowly('', socket => socket.end());
      const bytes = chunk.length + last.length;
      expect(result).toEqual({outcome: 'complete', bytes});
    });

    it('is complete with its length', async () => {
      const bytes = chunk.length + last.length;
      const head = `content-length: ${bytes}\r\n`;
      const result = await readSlowly(head, socket => socket.end());
      expect(result).toEqual({outcome: 'complete', bytes});
    });

    it('is broken off if its length is greater', async () => {
      const head = `content-length: ${2 * chunk.length}\r\n`;
      const {outcome} = await readSlowly(head, socket => socket.end());
      expect(outcome).toBe('broken off');
    });

    it('is broken off if its connection is reset', async () => {
      const reset = (socket: Socket) => socket.resetAndDestroy();
      expect((await readSlowly('', reset)).outcome).toBe('broken off');
    });
  },
);
