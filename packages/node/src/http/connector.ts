/** Opens connections for undici's clients. */
import type {Socket} from 'node:net';
import {buildConnector} from 'undici';

/** Any code but ECONNRESET, after which undici takes an answer without a length for whole. */
const RESET_ERROR_CODE = 'UND_ERR_SOCKET';

/**
 * A connector after whose reset no answer passes for whole. An answer without
 * a length ends with its connection, but not with one that is reset.
 */
export function createConnector(timeoutMs: number): buildConnector.connector {
  const connect = buildConnector({timeout: timeoutMs});
  return (options, callback) => {
    connect(options, (...result) => {
      const [, socket] = result;
      if (socket) failOnReset(socket);
      callback(...result);
    });
  };
}

function failOnReset(socket: Socket): void {
  socket.prependListener('error', (err: NodeJS.ErrnoException) => {
    if (err.code === 'ECONNRESET') err.code = RESET_ERROR_CODE;
  });
  const push = socket.push.bind(socket);
  // Node.js reports a reset that comes together with data as the end of the stream.
  socket.push = (chunk: unknown, encoding?: BufferEncoding): boolean => {
    if (chunk !== null || !isReset(socket)) return push(chunk, encoding);
    socket.destroy(new Error('connection reset'));
    return false;
  };
}

// A socket that was reset no longer has a peer; one whose peer only stopped sending has.
function isReset(socket: Socket): boolean {
  return !socket.destroyed && socket.remoteAddress === undefined;
}
