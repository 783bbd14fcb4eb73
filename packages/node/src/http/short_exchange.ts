/** Exchanges whose answers are short and soon there. */
import {runAfter} from '@goldcresthill/timers';
import type {Millis} from '@goldcresthill/types';
import type {Dispatcher} from 'undici';
import {HttpExchange} from './exchange';
import type {ExchangeRequest, ExchangeResult} from './exchange';

/** Largest answer that is waited for, bytes. */
const MAX_ANSWER_BYTES = 1_024;
const NO_BODY = Buffer.alloc(0);

/**
 * Runs an exchange without a body, which ends within `timeoutMs`. `done` is called
 * once; a longer answer is reported as the start of a stream that has been closed.
 */
export function runShortExchange(
  dispatcher: Dispatcher,
  req: Pick<ExchangeRequest, 'method' | 'path' | 'headers'>,
  timeoutMs: Millis,
  done: (result: ExchangeResult) => void = () => undefined,
): void {
  const exchange = new HttpExchange(
    {...req, body: NO_BODY, maxBufferedBytes: MAX_ANSWER_BYTES},
    result => {
      cancelTimeout();
      // An answer that nobody reads would occupy its connection.
      if (result.type === 'answer' && result.body.type === 'stream')
        result.body.stream.destroy();
      done(result);
    },
  );
  const cancelTimeout = runAfter(timeoutMs, () =>
    exchange.abort('not answered in time'),
  );
  exchange.start(dispatcher);
}
