/** Opens connections for undici's clients. */
import {buildConnector} from 'undici';

/** An answer without a length ends with its connection, but not with one that is reset. */
const RESET_IN_ANSWER = 'UND_ERR_SOCKET';

/**
 * A connector after whose reset no answer passes for whole: undici takes what
 * came before ECONNRESET for the whole of an answer without a length.
 */
export function connectorOf(timeoutMs: number): buildConnector.connector {
  const connect = buildConnector({timeout: timeoutMs});
  return (options, callback) => {
    connect(options, (...result) => {
      const [, socket] = result;
      socket?.prependListener('error', renameReset);
      callback(...result);
    });
  };
}

function renameReset(err: NodeJS.ErrnoException): void {
  if (err.code === 'ECONNRESET') err.code = RESET_IN_ANSWER;
}
