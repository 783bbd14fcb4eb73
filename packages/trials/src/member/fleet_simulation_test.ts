import {describe, expect, it} from 'vitest';
import {FleetSimulation} from './fleet_simulation';
import type {FleetSimulationOptions} from './fleet_simulation';

const JOIN_LIMIT_MS = 30_000;
/** Time within which all nodes must learn of every membership change. */
const CONVERGENCE_LIMIT_MS = 15_000;

async function startFleet(
  options: Partial<FleetSimulationOptions> = {},
): Promise<FleetSimulation> {
  const fleet = new FleetSimulation({
    seed: 5,
    domains: 3,
    nodesPerDomain: 4,
    ...options,
  });
  fleet.startAll();
  expect(
    await fleet.runUntil(() => fleet.isConverged, JOIN_LIMIT_MS),
  ).toBeDefined();
  fleet.statusChanges.length = 0;
  return fleet;
}

function isCutSeenByOthers(fleet: FleetSimulation, domain: string): boolean {
  return fleet.liveNodes
    .filter(node => node.address.domain !== domain)
    .every(node =>
      node.controlPlane.member.membership.cutDomains.includes(domain),
    );
}

function hasNoCut(fleet: FleetSimulation): boolean {
  return fleet.liveNodes.every(
    n => n.controlPlane.member.membership.cutDomains.length === 0,
  );
}

describe('membership in virtual time', () => {
  it('lets all nodes find each other despite message loss', async () => {
    await startFleet({loss: 0.1});
    await startFleet({domains: 6, nodesPerDomain: 6, regions: 2});
  });

  it('spreads the death of a node to all others', async () => {
    const fleet = await startFleet();
    fleet.kill(3);
    const isDeathKnown = (): boolean =>
      fleet.isConverged && fleet.statusChanges.includes('n3 dead');
    expect(
      await fleet.runUntil(isDeathKnown, CONVERGENCE_LIMIT_MS),
    ).toBeDefined();
  });

  it('replaces the address of a node that restarted', async () => {
    const fleet = await startFleet();
    fleet.kill(3);
    await fleet.run(500);
    fleet.boot(3, 0);
    const isRestartKnown = (): boolean =>
      fleet.isConverged &&
      fleet.liveNodes.every(
        n =>
          n.controlPlane.member.membership.get('n3')?.address.bootId ===
          fleet.node(3).address.bootId,
      );
    expect(
      await fleet.runUntil(isRestartKnown, CONVERGENCE_LIMIT_MS),
    ).toBeDefined();
  });

  it('readmits a node that paused and was declared dead', async () => {
    const fleet = await startFleet();
    fleet.pause(2, 20_000);
    await fleet.run(20_000);
    expect(fleet.statusChanges).toContain('n2 dead');
    expect(
      await fleet.runUntil(() => fleet.isConverged, CONVERGENCE_LIMIT_MS),
    ).toBeDefined();
  });

  it.each(['cut', 'cutOneWay'] as const)(
    'does not declare nodes dead when their domain is cut off (%s)',
    async kind => {
      const fleet = await startFleet();
      fleet[kind]('d1');
      const isCutKnown = (): boolean => isCutSeenByOthers(fleet, 'd1');
      expect(
        await fleet.runUntil(isCutKnown, CONVERGENCE_LIMIT_MS),
      ).toBeDefined();
      await fleet.run(60_000);
      expect(fleet.statusChanges.filter(s => s.endsWith('dead'))).toEqual([]);
      fleet.heal();
      const isHealed = (): boolean => hasNoCut(fleet) && fleet.isConverged;
      expect(
        await fleet.runUntil(isHealed, CONVERGENCE_LIMIT_MS),
      ).toBeDefined();
    },
  );

  it('does not declare nodes dead when their region is cut off', async () => {
    const fleet = await startFleet({domains: 6, regions: 2});
    fleet.cutRegions();
    const isCutKnown = (): boolean =>
      fleet.liveNodes.every(
        n => n.controlPlane.member.membership.cutDomains.length === 3,
      );
    expect(
      await fleet.runUntil(isCutKnown, CONVERGENCE_LIMIT_MS),
    ).toBeDefined();
    await fleet.run(60_000);
    expect(fleet.statusChanges.filter(s => s.endsWith('dead'))).toEqual([]);
    fleet.heal();
    const isHealed = (): boolean => hasNoCut(fleet) && fleet.isConverged;
    expect(await fleet.runUntil(isHealed, CONVERGENCE_LIMIT_MS)).toBeDefined();
  });

  it('declares nodes of a cut domain dead without cut detection', async () => {
    const fleet = await startFleet({cutDetection: false});
    fleet.cut('d1');
    await fleet.run(60_000);
    expect(
      fleet.statusChanges.filter(s => s.endsWith('dead')).length,
    ).toBeGreaterThan(3);
  });

  it('lets a node join through a peer in its settings while the store is down', async () => {
    const fleet = await startFleet();
    fleet.storeMode = 'down';
    fleet.kill(7);
    fleet.boot(7, 0, [2]);
    expect(
      await fleet.runUntil(() => fleet.isConverged, CONVERGENCE_LIMIT_MS),
    ).toBeDefined();
  });

  it('limits calls to the store when an outage ends', async () => {
    const fleet = await startFleet({domains: 6, nodesPerDomain: 8, regions: 2});
    fleet.storeMode = 'down';
    for (let i = 0; i < 16; i++) {
      fleet.kill(i * 3);
      fleet.boot(i * 3, 0, [1]);
    }
    await fleet.run(20_000);
    fleet.storeMode = 'up';
    const before = fleet.platform.counts.reads + fleet.platform.counts.writes;
    await fleet.run(1_000);
    const after = fleet.platform.counts.reads + fleet.platform.counts.writes;
    // Each of the 48 nodes may make up to two calls; at 920 nodes this would be 920 × 2 in the second.
    expect(after - before).toBeLessThan(fleet.nodes.length * 2);
  });

  it('converges after random faults', async () => {
    for (let seed = 1; seed <= 12; seed++) {
      const fleet = await startFleet({seed, loss: 0.05});
      for (let i = 0; i < 6; i++) {
        injectFault(fleet);
        await fleet.run(4_000);
      }
      fleet.heal();
      const isHealed = (): boolean => hasNoCut(fleet) && fleet.isConverged;
      expect(
        await fleet.runUntil(isHealed, 2 * CONVERGENCE_LIMIT_MS),
        `seed ${seed}`,
      ).toBeDefined();
    }
  });
});

function injectFault(fleet: FleetSimulation): void {
  const index = Math.floor(fleet.random() * fleet.nodes.length);
  switch (Math.floor(fleet.random() * 5)) {
    case 0:
      fleet.kill(index);
      fleet.boot(index, 300);
      return;
    case 1:
      fleet.pause(index, 6_000);
      return;
    case 2:
      fleet.cut('d2');
      return;
    case 3:
      fleet.cutOneWay('d0');
      return;
    case 4:
      fleet.heal();
      return;
  }
}
