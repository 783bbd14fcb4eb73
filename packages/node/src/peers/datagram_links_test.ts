import {createSocket} from 'node:dgram';
import {RealTimers} from '@goldcresthill/timers';
import {encodeDatagram} from '@goldcresthill/peers';
import {freePorts} from '@goldcresthill/test-utils';
import {expect, it} from 'vitest';
import {DatagramLinks} from './datagram_links';
import type {DatagramEvents} from './datagram_links';

async function newAddress() {
  const [controlPort = 0] = await freePorts(1);
  return {
    nodeId: 'a',
    bootId: 1,
    host: '127.0.0.1',
    dataPort: 1,
    controlPort,
    domain: 'd',
    region: 'r',
  };
}

type Address = Awaited<ReturnType<typeof newAddress>>;

const messageOf = (address: Address) => ({
  from: address,
  records: [],
  news: [],
  digest: 0,
  buckets: [],
  configRevision: 0,
  storeEra: 0,
  probeTarget: undefined,
  probeReached: false,
});

function newLinks(
  address: Address,
  events: Partial<DatagramEvents> = {},
): DatagramLinks {
  return new DatagramLinks({
    address,
    timers: new RealTimers(),
    confirmedMs: () => 0,
    events: {
      onExchange: () => messageOf(address),
      onLoadRequest: () => undefined,
      onConfirmation: () => undefined,
      onFault: () => undefined,
      ...events,
    },
  });
}

// An address that cannot be sent to made the exchange reject, which ended the process.
it.each([{controlPort: 70_000}, {controlPort: 0}, {host: 'vm 1'}])(
  'an exchange with a node at %j is unanswered',
  async change => {
    const address = await newAddress();
    const links = newLinks(address);
    await links.listen();
    const answer = await links.exchange(
      {...address, ...change},
      messageOf(address),
    );
    links.close();
    expect(answer).toBeUndefined();
  },
);

// Guards against a process that ends because of one datagram that its handler does not expect.
it('a datagram whose handler fails is dropped, and later ones are handled', async () => {
  const address = await newAddress();
  const faults: string[] = [];
  let handled = 0;
  const links = newLinks(address, {
    onConfirmation: () => {
      if (handled++ === 0) throw new Error('unexpected');
    },
    onFault: err => faults.push(String(err)),
  });
  await links.listen();
  const sender = createSocket('udp4');
  const bytes = encodeDatagram({
    type: 'exchange',
    ref: 1,
    message: messageOf(address),
    confirmedMs: 0,
  });
  const answered = new Promise(done => sender.once('message', done));
  for (let i = 0; i < 2; i++)
    await new Promise(done =>
      sender.send(bytes, address.controlPort, address.host, done),
    );
  await answered;
  sender.close();
  links.close();
  expect({handled, faults}).toEqual({
    handled: 2,
    faults: ['Error: unexpected'],
  });
});
