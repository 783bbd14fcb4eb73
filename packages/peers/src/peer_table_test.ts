import {describe, expect, it} from 'vitest';
import type {Hello, LoadNews} from './datagram';
import {decodeDatagram, encodeDatagram} from './datagram_codec';
import {LoadBroadcast} from './load_broadcast';
import {PeerTable} from './peer_table';

const address = (nodeId: string, bootId = 1) => ({
  nodeId,
  bootId,
  host: '10.0.0.1',
  dataPort: 1,
  controlPort: 2,
  domain: 'a',
  region: 'r',
});

const server = (state: 'up' | 'draining', instance = 's1') => ({
  service: 'orders',
  port: 8_080,
  slots: 4,
  instance,
  state,
});

const report = (inFlight: number, slowdown = 1) => ({
  inFlight,
  queued: 0,
  limit: 10,
  serviceUs: 900,
  slowdown,
  state: 'up' as const,
});

function hello(nodeId: string, seq: number, more: Partial<Hello> = {}): Hello {
  return {
    type: 'hello',
    address: address(nodeId),
    seq,
    configVersion: 3,
    leaving: false,
    servers: [server('up')],
    loads: [{service: 'orders', report: report(1, 4)}],
    strikes: [],
    clearances: [],
    leavingServers: [],
    yourLeaving: [],
    asks: false,
    ...more,
  };
}

function load(nodeId: string, seq: number, bootId = 1): LoadNews {
  const loads = [{service: 'orders', report: report(2, 1.5)}];
  return {type: 'load', nodeId, bootId, seq, configVersion: 4, loads};
}

function table(): PeerTable {
  return new PeerTable({self: address('me')});
}

describe('datagrams', () => {
  it.each([[hello('b', 1)], [load('b', 2)]])('survive the wire', datagram => {
    const text = encodeDatagram(datagram);
    expect(decodeDatagram(Buffer.from(text))).toEqual(datagram);
  });

  it.each([
    '',
    '{',
    '[]',
    '["b",1,2,3,"orders",1]',
    '{"type":"hello"}',
    'null',
  ])('that are not datagrams are dropped: %s', text => {
    expect(decodeDatagram(Buffer.from(text))).toBeUndefined();
  });
});

describe('PeerTable', () => {
  it('gives servers of a node once the node has told of itself', () => {
    const peers = table();
    peers.learnListed(0, address('b'));
    expect(peers.records()).toEqual([]);
    expect(peers.targets(0)).toEqual([address('b')]);
    expect(peers.hear(1, hello('b', 1))).toMatchObject({isNew: true});
    expect(peers.records()).toMatchObject([{status: 'alive'}]);
  });

  it('drops datagrams that arrive late', () => {
    const peers = table();
    peers.hear(0, hello('b', 5));
    expect(peers.hear(1, load('b', 4)).stale).toBe(true);
    expect(peers.hear(1, hello('b', 5)).stale).toBe(true);
    expect(peers.hear(1, load('b', 6)).stale).toBe(false);
  });

  it('gives a silent node no work until it is heard again', () => {
    const peers = table();
    peers.hear(0, hello('b', 1));
    expect(peers.advance(1_000).changed).toBe(false);
    expect(peers.advance(2_000).changed).toBe(true);
    expect(peers.records()).toMatchObject([{status: 'suspect'}]);
    expect(peers.hear(2_100, load('b', 2)).members).toBe(true);
    expect(peers.records()).toMatchObject([{status: 'alive'}]);
  });

  it('forgets a node that stays silent', () => {
    const peers = table();
    peers.hear(0, hello('b', 1));
    peers.advance(200_000);
    expect(peers.size).toBe(0);
  });

  it('has one node remove the entries of lost nodes, while it hears most others', () => {
    const forgottenBy = (self: string, heard: readonly string[]) => {
      const peers = new PeerTable({self: address(self)});
      ['b', 'c', 'lost'].forEach(id => peers.hear(0, hello(id, 1)));
      heard.forEach(id => peers.hear(130_000, load(id, 2)));
      const {forgotten} = peers.advance(130_001);
      return forgotten.map(({nodeId}) => nodeId);
    };
    expect(forgottenBy('a', ['b', 'c'])).toEqual(['lost']);
    expect(forgottenBy('z', ['b', 'c'])).toEqual([]);
    expect(forgottenBy('a', [])).toEqual([]);
  });

  it('takes a new process of a node, also when its clock has gone back', () => {
    const peers = table();
    peers.hear(0, hello('b', 9, {address: address('b', 50)}));
    const restarted = hello('b', 0, {address: address('b', 40)});
    expect(peers.hear(100, restarted).stale).toBe(true);
    expect(peers.hear(1_200, restarted)).toMatchObject({isNew: true});
    expect(peers.hear(1_300, load('b', 10, 50)).stale).toBe(true);
  });

  it('remembers for a node which of its servers were leaving', () => {
    const peers = table();
    peers.hear(0, hello('b', 1, {leavingServers: ['s1']}));
    const restarted = {address: address('b', 2), servers: []};
    peers.hear(10, hello('b', 0, {...restarted, asks: true}));
    expect(peers.leavingAt('b')).toEqual(['s1']);
  });

  it('does not take the leaving of a node for that of its server', () => {
    const peers = table();
    const leaving = {leaving: true, servers: [server('draining')]};
    peers.hear(0, hello('b', 1, leaving));
    peers.hear(10, hello('b', 0, {address: address('b', 2), asks: true}));
    expect(peers.leavingAt('b')).toEqual([]);
  });

  it('knows who has a newer configuration', () => {
    const peers = table();
    peers.hear(0, hello('b', 1));
    expect(peers.holderOfNewer(3)).toBeUndefined();
    peers.hear(1, load('b', 2));
    expect(peers.holderOfNewer(3)).toEqual(address('b'));
  });
});

describe('LoadBroadcast', () => {
  it('tells of a change at once, of nothing new seldom', () => {
    const broadcast = new LoadBroadcast({minGapMs: 20, maxGapMs: 400});
    expect(broadcast.isDue(0, report(1), 5)).toBe(true);
    expect(broadcast.isDue(10, report(1, 4), 5)).toBe(false);
    expect(broadcast.isDue(20, report(1, 4), 5)).toBe(true);
    expect(broadcast.isDue(60, report(1, 4), 5)).toBe(false);
    expect(broadcast.isDue(420, report(1, 4), 5)).toBe(true);
  });

  it('keeps within its datagrams per second however many nodes there are', () => {
    const broadcast = new LoadBroadcast({datagramsPerSecond: 400});
    let told = 0;
    for (let now = 0; now < 10_000; now += 20) {
      if (broadcast.isDue(now, report(now % 3, 1 + (now % 7)), 74)) told += 74;
    }
    expect(told).toBeLessThanOrEqual(4_000 + 74);
  });
});
