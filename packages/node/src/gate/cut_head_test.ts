import {createServer} from 'node:net';
import type {AddressInfo, Server} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';
import type {ExchangeResult} from '../http/exchange';
import {HttpServerConnections} from './server_connections';

const HOST = '127.0.0.1';
const EMPTY = Buffer.alloc(0);
const WHOLE_ANSWER =
  'HTTP/1.1 200 OK\r\nx-attempt-id: a\r\ncontent-length: 2\r\n\r\nok';
const HEADS = {
  withLength:
    'HTTP/1.1 200 OK\r\nx-attempt-id: a\r\nx-response-signature: s\r\ncontent-length: 2\r\n\r\n',
  withZeroLength:
    'HTTP/1.1 200 OK\r\ncontent-length: 0\r\nx-attempt-id: a\r\n\r\n',
  chunked: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nx-a: a\r\n\r\n',
  withoutLength: 'HTTP/1.1 200 OK\r\nx-attempt-id: a\r\n\r\n',
  closing:
    'HTTP/1.1 200 OK\r\nconnection: close\r\nx-attempt-id: a\r\nx-a: b\r\n\r\n',
  ofHttp10: 'HTTP/1.0 200 OK\r\nx-attempt-id: a\r\n\r\n',
  afterInformation:
    'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nx-a: b\r\n\r\n',
  ofNoContent: 'HTTP/1.1 204 No Content\r\nx-attempt-id: a\r\n\r\n',
} as const;

let server: Server;
let connections: HttpServerConnections;

afterEach(async () => {
  await connections.close();
  server.close();
});

/** Answers the given number of requests on each connection, writes the start of a head to the next one and ends or resets the connection. */
async function listen(
  cut: () => string,
  answersBefore: number,
  ending: 'end' | 'reset',
): Promise<void> {
  server = createServer(socket => {
    let requests = 0;
    socket.on('error', () => undefined);
    socket.on('data', () => {
      if (requests++ < answersBefore) socket.write(WHOLE_ANSWER);
      else if (ending === 'end') socket.end(cut());
      else socket.write(cut(), () => socket.resetAndDestroy());
    });
  });
  await new Promise<void>(done => server.listen(0, HOST, done));
  const {port} = server.address() as AddressInfo;
  connections = new HttpServerConnections({host: HOST, port}, 1);
}

function send(): Promise<ExchangeResult> {
  return new Promise(done =>
    connections.exchange(
      {
        method: 'GET',
        path: '/',
        headers: {},
        body: EMPTY,
        maxBufferedBytes: 1_024,
      },
      done,
      () => undefined,
    ),
  );
}

// Callers got a 200 with an empty or short body, framed as whole.
describe.each(Object.entries(HEADS))('an answer %s', (_, head) => {
  it.each<[string, number, 'end' | 'reset']>([
    ['new', 0, 'end'],
    ['new', 0, 'reset'],
    ['kept', 1, 'end'],
    ['kept', 1, 'reset'],
  ])(
    'fails if it is cut within its head on a %s connection (answers before: %s), by its %s',
    async (_name, answersBefore, ending) => {
      let length = 0;
      await listen(() => head.slice(0, length), answersBefore, ending);
      for (; length < head.length; length++) {
        for (let i = 0; i < answersBefore; i++)
          expect(await send()).toMatchObject({status: 200});
        expect([length, (await send()).type]).toEqual([length, 'broke']);
      }
    },
  );
});
