import {RealTimers} from '@goldcresthill/timers';
import {freePorts} from '@goldcresthill/test-utils';
import {expect, it} from 'vitest';
import {DatagramLinks} from './datagram_links';

// An address that cannot be sent to made the exchange reject, which ended the process.
it.each([{controlPort: 70_000}, {controlPort: 0}, {host: 'vm 1'}])(
  'an exchange with a node at %j is unanswered',
  async change => {
    const [controlPort = 0] = await freePorts(1);
    const address = {
      nodeId: 'a',
      bootId: 1,
      host: '127.0.0.1',
      dataPort: 1,
      controlPort,
      domain: 'd',
      region: 'r',
    };
    const message = {
      from: address,
      records: [],
      news: [],
      digest: 0,
      buckets: [],
      configRevision: 0,
      storeEra: 0,
      probeTarget: undefined,
      probeReached: false,
    };
    const links = new DatagramLinks({
      address,
      timers: new RealTimers(),
      watcherAgeMs: () => 0,
      events: {
        onExchange: () => message,
        onLoadRequest: () => undefined,
        onWatcherSeen: () => undefined,
        onFault: () => undefined,
      },
    });
    await links.listen();
    const answer = await links.exchange({...address, ...change}, message);
    links.close();
    expect(answer).toBeUndefined();
  },
);
