/** Connector for undici's clients that detects reset connections, and ends others only once they have been read. */
import type {Socket} from 'node:net';
import {buildConnector} from 'undici';

/** Any code but ECONNRESET, after which undici treats an answer without a length as complete. */
const RESET_ERROR_CODE = 'UND_ERR_SOCKET';
/** Interval at which it is checked whether a connection that has ended has been read, milliseconds. */
const READ_CHECK_INTERVAL_MS = 5;

/**
 * Creates a connector whose connections fail when they are reset. An answer
 * without a length is complete when its connection ends, but not when its
 * connection is reset. `onConnect` receives each new connection.
 */
export function createConnector(
  timeoutMs: number,
  onConnect: (socket: Socket) => void = () => undefined,
): buildConnector.connector {
  const connect = buildConnector({timeout: timeoutMs});
  return (options, callback) => {
    connect(options, (...result) => {
      const [, socket] = result;
      if (socket) {
        handleEnd(socket);
        onConnect(socket);
      }
      callback(...result);
    });
  };
}

function handleEnd(socket: Socket): void {
  socket.prependListener('error', (err: NodeJS.ErrnoException) => {
    if (err.code === 'ECONNRESET') err.code = RESET_ERROR_CODE;
  });
  const push = socket.push.bind(socket);
  socket.push = (chunk: unknown, encoding?: BufferEncoding): boolean => {
    if (chunk !== null) return push(chunk, encoding);
    // Node.js reports a reset that arrives together with data as the end of the stream.
    if (isReset(socket)) socket.destroy(new Error('connection reset'));
    else process.nextTick(() => endOnceRead(socket, () => push(null)));
    return false;
  };
}

// undici's parser fails an assertion, which ends the process, if its socket ends while it is paused. It
// reads the end itself when it resumes, unless Node.js reports it at once or with the last data.
function endOnceRead(socket: Socket, end: () => void): void {
  if (socket.destroyed) return;
  if (socket.readableLength === 0) end();
  else setTimeout(() => endOnceRead(socket, end), READ_CHECK_INTERVAL_MS);
}

// A socket that was reset has no remote address any more; one whose peer only ended its stream still has one.
function isReset(socket: Socket): boolean {
  return !socket.destroyed && socket.remoteAddress === undefined;
}
