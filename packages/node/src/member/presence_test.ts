import {StoreBreaker} from '@goldcresthill/object-store';
import {
  MemoryPlatform,
  StaleStore,
  VirtualClock,
  VirtualTimers,
} from '@goldcresthill/test-utils';
import {beforeEach, describe, expect, it} from 'vitest';
import {Presence} from './presence';

/** By how much lists that may be stale are behind, milliseconds. */
const LAG_MS = 3_000;
/** Objects that the store lists at once. */
const PAGE = 10;

let clock: VirtualClock;
let platform: MemoryPlatform;

beforeEach(() => {
  clock = new VirtualClock();
  platform = new MemoryPlatform();
});

/** Promises get their turn after each event, so that there have to be some. */
async function runUntil(end: number): Promise<void> {
  for (let at = clock.now; at < end; at += 10) await clock.runUntilSettled(at);
}

interface Started {
  readonly presence: Presence;
  readonly timers: VirtualTimers;
  readonly peers: Set<string>;
  readonly leaving: string[];
}

function start(
  nodeId: string,
  bootId = 1,
  isUp: () => boolean = () => true,
): Started {
  const timers = new VirtualTimers(clock);
  const peers = new Set<string>();
  const leaving: string[] = [];
  const store = new StaleStore({
    clock,
    platform,
    lagMs: LAG_MS,
    pageSize: PAGE,
    isUp,
  });
  const ports = {dataPort: 1, controlPort: 2};
  const presence = new Presence({
    timers,
    store,
    breaker: new StoreBreaker({random: () => 0.5, maxWaitMs: 1_000}),
    address: {nodeId, bootId, host: 'h', ...ports, domain: 'd', region: 'r'},
    incarnation: bootId,
    keepsObject: true,
    listsFew: true,
    onLeaving: instances => leaving.push(...instances),
    onPeers: records => records.forEach(r => peers.add(r.address.nodeId)),
  });
  void presence.start();
  return {presence, timers, peers, leaving};
}

describe('nodes that start at the same instant, with lists seconds behind', () => {
  it.each([2, 9, 75])('%d nodes: all are joined by what they know', async n => {
    const nodes = Array.from({length: n}, (_, i) => start(nameOf(i)));
    await runUntil(8_000);
    const known = new Set([nameOf(0)]);
    const open = [nameOf(0)];
    for (let at = open.pop(); at !== undefined; at = open.pop()) {
      const index = Number(at.slice(-3));
      for (const peer of nodes[index]?.peers ?? []) {
        if (!known.has(peer)) open.push(peer);
        known.add(peer);
      }
    }
    expect(known.size).toBe(n);
  });

  it('a node that knows nobody keeps looking', async () => {
    const first = start(nameOf(0));
    await runUntil(60_000);
    start(nameOf(1));
    await runUntil(75_000);
    expect([...first.peers]).toEqual([nameOf(1)]);
  });
});

describe('a store that is away when the list is to be read again', () => {
  it('is asked again later', async () => {
    let isUp = true;
    const first = start(nameOf(0), 1, () => isUp);
    await runUntil(1_000);
    isUp = false;
    await runUntil(20_000);
    isUp = true;
    start(nameOf(1));
    await runUntil(40_000);
    expect([...first.peers]).toEqual([nameOf(1)]);
  });
});

describe('an object in the store', () => {
  it('is created with one call, and left as it is by the next process', async () => {
    start(nameOf(0));
    await runUntil(1_000);
    const {writes} = platform.counts;
    start(nameOf(0), 2);
    await runUntil(2_000);
    expect([writes, platform.counts.writes]).toEqual([1, 2]);
  });

  it('tells the next process of leavings, also those written after it was kept', async () => {
    const first = start(nameOf(0));
    await runUntil(1_000);
    first.timers.kill();
    const second = start(nameOf(0), 2);
    await runUntil(2_000);
    void second.presence.noteLeaving('i-1');
    await runUntil(2_100);
    second.timers.kill();
    const third = start(nameOf(0), 3);
    await runUntil(4_000);
    expect(third.leaving).toEqual(['i-1']);
  });
});

function nameOf(index: number): string {
  return `vm-${String(index).padStart(3, '0')}`;
}
