import {describe, expect, it} from 'vitest';
import {FleetWorld} from './fleet_world';
import type {FleetWorldOptions} from './fleet_world';

const JOIN_BOUND_MS = 30_000;
/** Everything about members is known everywhere within this. */
const KNOWN_BOUND_MS = 15_000;

async function joined(
  options: Partial<FleetWorldOptions> = {},
): Promise<FleetWorld> {
  const world = new FleetWorld({
    seed: 5,
    domains: 3,
    nodesPerDomain: 4,
    ...options,
  });
  world.startAll();
  expect(await world.runUntil(() => world.agrees, JOIN_BOUND_MS)).toBeDefined();
  world.statuses.length = 0;
  return world;
}

function cutSeenByOthers(world: FleetWorld, domain: string): boolean {
  return world.living
    .filter(node => node.address.domain !== domain)
    .every(node => node.plane.member.membership.cutDomains.includes(domain));
}

function noCutSeen(world: FleetWorld): boolean {
  return world.living.every(
    n => n.plane.member.membership.cutDomains.length === 0,
  );
}

describe('membership in virtual time', () => {
  it('makes all nodes known to each other, with messages lost', async () => {
    await joined({loss: 0.1});
    await joined({domains: 6, nodesPerDomain: 6, regions: 2});
  });

  it('tells everyone of a dead node', async () => {
    const world = await joined();
    world.kill(3);
    const known = (): boolean =>
      world.agrees && world.statuses.includes('n3 dead');
    expect(await world.runUntil(known, KNOWN_BOUND_MS)).toBeDefined();
  });

  it('takes the restarted process of a node for the node', async () => {
    const world = await joined();
    world.kill(3);
    await world.run(500);
    world.boot(3, 0);
    const current = (): boolean =>
      world.agrees &&
      world.living.every(
        n =>
          n.plane.member.membership.get('n3')?.address.bootId ===
          world.node(3).address.bootId,
      );
    expect(await world.runUntil(current, KNOWN_BOUND_MS)).toBeDefined();
  });

  it('takes back a node that stood still and was thought dead', async () => {
    const world = await joined();
    world.pause(2, 20_000);
    await world.run(20_000);
    expect(world.statuses).toContain('n2 dead');
    expect(
      await world.runUntil(() => world.agrees, KNOWN_BOUND_MS),
    ).toBeDefined();
  });

  it.each(['cut', 'cutOneWay'] as const)(
    'does not take a domain that is cut off (%s) for deaths',
    async kind => {
      const world = await joined();
      world[kind]('d1');
      const seen = (): boolean => cutSeenByOthers(world, 'd1');
      expect(await world.runUntil(seen, KNOWN_BOUND_MS)).toBeDefined();
      await world.run(60_000);
      expect(world.statuses.filter(s => s.endsWith('dead'))).toEqual([]);
      world.heal();
      const healed = (): boolean => noCutSeen(world) && world.agrees;
      expect(await world.runUntil(healed, KNOWN_BOUND_MS)).toBeDefined();
    },
  );

  it('does not take a region that is cut off for deaths', async () => {
    const world = await joined({domains: 6, regions: 2});
    world.cutRegions();
    const seen = (): boolean =>
      world.living.every(
        n => n.plane.member.membership.cutDomains.length === 3,
      );
    expect(await world.runUntil(seen, KNOWN_BOUND_MS)).toBeDefined();
    await world.run(60_000);
    expect(world.statuses.filter(s => s.endsWith('dead'))).toEqual([]);
    world.heal();
    const healed = (): boolean => noCutSeen(world) && world.agrees;
    expect(await world.runUntil(healed, KNOWN_BOUND_MS)).toBeDefined();
  });

  it('is seen to take a cut for deaths without cut detection', async () => {
    const world = await joined({cutDetection: false});
    world.cut('d1');
    await world.run(60_000);
    expect(
      world.statuses.filter(s => s.endsWith('dead')).length,
    ).toBeGreaterThan(3);
  });

  it('lets a node join by a peer in its settings while the store is down', async () => {
    const world = await joined();
    world.weather = 'down';
    world.kill(7);
    world.boot(7, 0, [2]);
    expect(
      await world.runUntil(() => world.agrees, KNOWN_BOUND_MS),
    ).toBeDefined();
  });

  it('comes back without a rush on the store when an outage ends', async () => {
    const world = await joined({domains: 6, nodesPerDomain: 8, regions: 2});
    world.weather = 'down';
    for (let i = 0; i < 16; i++) {
      world.kill(i * 3);
      world.boot(i * 3, 0, [1]);
    }
    await world.run(20_000);
    world.weather = 'up';
    const before = world.platform.counts.reads + world.platform.counts.writes;
    await world.run(1_000);
    const after = world.platform.counts.reads + world.platform.counts.writes;
    // Each of 48 nodes may make a few calls; at 920 this would be 920 × 2 a second.
    expect(after - before).toBeLessThan(world.nodes.length * 2);
  });

  it('agrees after random disturbances', async () => {
    for (let seed = 1; seed <= 12; seed++) {
      const world = await joined({seed, loss: 0.05});
      for (let i = 0; i < 6; i++) {
        disturb(world);
        await world.run(4_000);
      }
      world.heal();
      const healed = (): boolean => noCutSeen(world) && world.agrees;
      expect(
        await world.runUntil(healed, 2 * KNOWN_BOUND_MS),
        `seed ${seed}`,
      ).toBeDefined();
    }
  });
});

function disturb(world: FleetWorld): void {
  const index = Math.floor(world.random() * world.nodes.length);
  switch (Math.floor(world.random() * 5)) {
    case 0:
      world.kill(index);
      world.boot(index, 300);
      return;
    case 1:
      world.pause(index, 6_000);
      return;
    case 2:
      world.cut('d2');
      return;
    case 3:
      world.cutOneWay('d0');
      return;
    case 4:
      world.heal();
      return;
  }
}
