import {rethrow} from '@goldcresthill/test-utils';
import {afterEach, describe, expect, it} from 'vitest';
import {RawCaller, rawRequest} from '../testing/raw_caller';
import {DispatchQueue} from './dispatch_queue';
import {Listener} from './listener';

const HOST = '127.0.0.1';
const CALLERS = 30;
/** Longer than connections are accepted without a dispatch. */
const DISPATCH_MS = 30;

let listener: Listener | undefined;
let now = 0;
let accepted = 0;
let acceptedAtFirstDispatch = 0;
let dispatched = 0;

/** Listens with a queue whose clock advances with each dispatch, and with each accepted connection if asked to. */
async function listen(acceptMs: number): Promise<string> {
  now = accepted = acceptedAtFirstDispatch = dispatched = 0;
  const queue = new DispatchQueue({now: () => now, onFault: rethrow});
  listener = new Listener({
    onFault: rethrow,
    host: HOST,
    port: 0,
    onConnection: () => {
      accepted++;
      now += acceptMs;
      queue.recordConnection();
    },
    handle: (req, res) =>
      queue.add({
        req,
        dispatch: () => {
          if (dispatched++ === 0) acceptedAtFirstDispatch = accepted;
          now += DISPATCH_MS;
          res.end();
        },
        drop: () => undefined,
      }),
  });
  return `http://${HOST}:${await listener.listen()}`;
}

async function callAtOnce(url: string): Promise<void> {
  const callers = await Promise.all(
    Array.from({length: CALLERS}, () => RawCaller.connect(url)),
  );
  callers.forEach((caller, i) => caller.send(rawRequest({id: String(i)})));
  while (dispatched < CALLERS) await new Promise(done => setTimeout(done, 5));
  callers.forEach(caller => caller.close('end'));
}

describe('DispatchQueue', () => {
  afterEach(() => listener?.close());

  // Node.js accepts one connection in a turn; while each turn also served a request, callers waited unheard for a second.
  it('lets waiting connections be accepted before it hands their requests on', async () => {
    await callAtOnce(await listen(0));
    expect(acceptedAtFirstDispatch).toBe(CALLERS);
  });

  // New connections without end must not keep requests from being served.
  it('hands requests on although connections keep coming', async () => {
    await callAtOnce(await listen(5));
    expect(acceptedAtFirstDispatch).toBeLessThan(CALLERS / 2);
    expect(dispatched).toBe(CALLERS);
  });
});
