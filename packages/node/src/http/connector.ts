/** Connector for undici's clients that detects reset connections. */
import type {Socket} from 'node:net';
import {buildConnector} from 'undici';

/** Any code but ECONNRESET, after which undici treats an answer without a length as complete. */
const RESET_ERROR_CODE = 'UND_ERR_SOCKET';

/**
 * Creates a connector whose connections fail when they are reset. An answer
 * without a length is complete when its connection ends, but not when its
 * connection is reset.
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
  // Node.js reports a reset that arrives together with data as the end of the stream.
  socket.push = (chunk: unknown, encoding?: BufferEncoding): boolean => {
    if (chunk !== null || !isReset(socket)) return push(chunk, encoding);
    socket.destroy(new Error('connection reset'));
    return false;
  };
}

// A socket that was reset has no remote address any more; one whose peer only ended its stream still has one.
function isReset(socket: Socket): boolean {
  return !socket.destroyed && socket.remoteAddress === undefined;
}
