import type {ExchangeMessage} from '@goldcresthill/membership';
import type {NodeAddress} from '@goldcresthill/types';
import {beforeEach, describe, expect, it} from 'vitest';
import {blockEventLoop} from '../testing/raw_caller';
import {ControlLinks} from './control_links';
import {ControlListener} from './control_listener';

/** Shorter than many calls take, so that some time out while others on their connection run. */
const TIMEOUT_MS = 10;
const ROUNDS = 100;
const MAX_CONCURRENT = 12;
/** Every so many calls the event loop is blocked, for up to so long. */
const BLOCKED_CALLS = 5;
const BLOCKED_MS = 12;
const CLOSE_MS = 3_000;
/** Time within which the listener answers the calls that it has accepted and then one more. */
const ANSWER_MS = 10_000;

let listener: ControlListener;
let links: ControlLinks;
let hurried: ControlLinks;
let peer: NodeAddress;
let message: ExchangeMessage;

describe('control links', () => {
  beforeEach(async () => {
    listener = new ControlListener({
      host: '127.0.0.1',
      port: 0,
      onExchange: message => message,
      onFetchConfig: () => '{}',
    });
    peer = {
      nodeId: 'peer',
      domain: 'd1',
      region: 'r1',
      host: '127.0.0.1',
      dataPort: 1,
      controlPort: await listener.listen(),
      bootId: 1,
    };
    message = {
      from: peer,
      records: [],
      news: [],
      digest: 0,
      buckets: [],
      configRevision: 0,
      storeEra: 0,
      probeTarget: undefined,
      probeReached: false,
    };
    links = new ControlLinks(ANSWER_MS);
    hurried = new ControlLinks(TIMEOUT_MS);
  });

  // A node whose calls to peers had timed out wrote empty frames without end, or did not close.
  it('close in time after calls have timed out while others used their connection', async () => {
    let started = 0;
    let timedOut = 0;
    for (let round = 0; round < ROUNDS; round++) {
      const calls = Array.from({length: 1 + (round % MAX_CONCURRENT)}, () => {
        started++;
        if (started % BLOCKED_CALLS === 0) blockEventLoop(started % BLOCKED_MS);
        return started % 2 === 0
          ? hurried.fetchConfig(peer, 1)
          : hurried.exchange(peer, message);
      });
      const answers = await Promise.all(calls);
      timedOut += answers.filter(answer => answer === undefined).length;
    }
    expect(timedOut).toBeGreaterThan(0);
    expect(await links.exchange(peer, message)).toEqual(message);
    links.close();
    hurried.close();
    const closedAt = performance.now();
    await listener.close();
    expect(performance.now() - closedAt).toBeLessThan(CLOSE_MS);
  });
});
