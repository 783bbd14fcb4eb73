import {StoreBreaker} from '@goldcresthill/object-store';
import {
  MemoryPlatform,
  rethrow,
  StaleStore,
  VirtualClock,
  VirtualTimers,
} from '@goldcresthill/test-utils';
import {beforeEach, describe, expect, it} from 'vitest';
import {Presence} from './presence';

/** Age of stale lists, milliseconds. */
const LAG_MS = 3_000;
/** Objects on each page of a list. */
const PAGE_SIZE = 10;

let clock: VirtualClock;
let platform: MemoryPlatform;

beforeEach(() => {
  clock = new VirtualClock();
  platform = new MemoryPlatform();
});

/** Runs in steps of 10 ms, because pending promises only settle between steps. */
async function runUntil(end: number): Promise<void> {
  for (let at = clock.now; at < end; at += 10) await clock.runUntilSettled(at);
}

interface StartedNode {
  readonly presence: Presence;
  readonly timers: VirtualTimers;
  readonly peers: Set<string>;
  readonly leaving: string[];
}

function start(
  nodeId: string,
  bootId = 1,
  isUp: () => boolean = () => true,
): StartedNode {
  const timers = new VirtualTimers(clock);
  const peers = new Set<string>();
  const leaving: string[] = [];
  const store = new StaleStore({
    clock,
    platform,
    lagMs: LAG_MS,
    pageSize: PAGE_SIZE,
    availability: () => (isUp() ? 'up' : 'refusing'),
  });
  const ports = {dataPort: 1, controlPort: 2};
  const presence = new Presence({
    onFault: rethrow,
    timers,
    store,
    breaker: new StoreBreaker({random: () => 0.5, maxWaitMs: 1_000}),
    address: {
      nodeId,
      bootId,
      host: '10.0.0.1',
      ...ports,
      domain: 'd',
      region: 'r',
    },
    incarnation: bootId,
    reusesObject: true,
    listsOnePage: true,
    onLeavingInstances: instances => leaving.push(...instances),
    onPeers: records => records.forEach(r => peers.add(r.address.nodeId)),
  });
  void presence.start();
  return {presence, timers, peers, leaving};
}

describe('nodes that start at the same time, with lists seconds out of date', () => {
  it.each([2, 9, 75])(
    '%d nodes can all be reached through the peers that each one found',
    async n => {
      const nodes = Array.from({length: n}, (_, i) => start(nodeIdOf(i)));
      await runUntil(8_000);
      const known = new Set([nodeIdOf(0)]);
      const unvisited = [nodeIdOf(0)];
      for (
        let nodeId = unvisited.pop();
        nodeId !== undefined;
        nodeId = unvisited.pop()
      ) {
        const index = Number(nodeId.slice(-3));
        for (const peer of nodes[index]?.peers ?? []) {
          if (!known.has(peer)) unvisited.push(peer);
          known.add(peer);
        }
      }
      expect(known.size).toBe(n);
    },
  );

  it('a node that found no peers keeps reading the list', async () => {
    const first = start(nodeIdOf(0));
    await runUntil(60_000);
    start(nodeIdOf(1));
    await runUntil(75_000);
    expect([...first.peers]).toEqual([nodeIdOf(1)]);
  });
});

describe('a store that is unavailable when the list is read again', () => {
  it('is retried later', async () => {
    let isUp = true;
    const first = start(nodeIdOf(0), 1, () => isUp);
    await runUntil(1_000);
    isUp = false;
    await runUntil(20_000);
    isUp = true;
    start(nodeIdOf(1));
    await runUntil(40_000);
    expect([...first.peers]).toEqual([nodeIdOf(1)]);
  });
});

describe('an odd object of another writer', () => {
  // Its ports were taken for valid, and the first datagram to it ended the process.
  it.each([
    {controlPort: 70_000},
    {dataPort: -1},
    {host: 'vm 1'},
    {bootId: 1e300},
  ])('with %j is left out, and the other nodes are found', async change => {
    start(nodeIdOf(0));
    await runUntil(1_000);
    const path = `nodes/${nodeIdOf(0)}`;
    const value = JSON.parse(platform.get(path)?.value ?? '') as {
      address: object;
    };
    const address = {...value.address, nodeId: nodeIdOf(1), ...change};
    platform.put(
      `nodes/${nodeIdOf(1)}`,
      JSON.stringify({...value, address}),
      0,
    );
    await runUntil(10_000);
    const {peers} = start(nodeIdOf(2));
    await runUntil(11_000);
    expect([...peers]).toEqual([nodeIdOf(0)]);
  });
});

describe('an object in the store', () => {
  it('is created with one call and kept unchanged by the next process', async () => {
    start(nodeIdOf(0));
    await runUntil(1_000);
    const {writes} = platform.counts;
    start(nodeIdOf(0), 2);
    await runUntil(2_000);
    expect([writes, platform.counts.writes]).toEqual([1, 2]);
  });

  it('passes leaving servers on to the next process, also if they were added to a reused object', async () => {
    const first = start(nodeIdOf(0));
    await runUntil(1_000);
    first.timers.kill();
    const second = start(nodeIdOf(0), 2);
    await runUntil(2_000);
    void second.presence.persistLeaving('i-1');
    await runUntil(2_100);
    second.timers.kill();
    const third = start(nodeIdOf(0), 3);
    await runUntil(4_000);
    expect(third.leaving).toEqual(['i-1']);
  });
});

function nodeIdOf(index: number): string {
  return `vm-${String(index).padStart(3, '0')}`;
}
