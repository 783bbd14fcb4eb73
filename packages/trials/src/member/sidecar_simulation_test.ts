import {watchersOf} from '@goldcresthill/membership';
import type {PlatformCopy} from '@goldcresthill/test-utils';
import {describe, expect, it} from 'vitest';
import {SidecarSimulation} from './sidecar_simulation';

/** Time within which a configuration must be in force, as set in deployments. */
const CONFIG_APPLY_MS = 2_500;
/** Time from the start of all nodes until traffic begins. */
const START_LEAD_MS = 12_000;
/** Time within which a fleet must serve again, as set in deployments. */
const RECOVERY_MS = 15_000;
/** Longest duration of a watch, within which a restore is noticed although no watch is cut. */
const NOTICE_MS = 25_000;
/** Time after a disturbance after which nodes must keep their bounds again. */
const CONTACT_MS = 3_000;
/** Longest time by which a disturbance of the store may delay a configuration further. */
const MAX_STRETCH_MS = 5_000;
const OUTAGE_MS = 10_000;
const LONGEST_WATCH_MS = 25_000;
/** Interval at which one more node may try the store while no watcher is answered. */
const STANDBY_INTERVAL_MS = 250;
/** Calls a second of a node that the store does not answer. */
const CALLS_PER_WATCHER_S = 2;
const WATCHERS_PER_DOMAIN = 2;
const SIZES = [
  {domains: 3, nodes: 9},
  {domains: 4, nodes: 75},
];
const LARGE_SIZE = {domains: 5, nodes: 195};

async function startFleet(
  size: {domains: number; nodes: number},
  options: {seed?: number; loss?: number} = {},
): Promise<SidecarSimulation> {
  const fleet = new SidecarSimulation({
    seed: 16,
    ...size,
    ...options,
    configApplyMs: CONFIG_APPLY_MS,
  });
  fleet.changeConfig();
  fleet.startAll();
  await fleet.run(START_LEAD_MS);
  return fleet;
}

/**
 * Changes the configuration; resolves to the milliseconds until it was in force
 * on all nodes, or to undefined on timeout.
 */
function changeConfig(fleet: SidecarSimulation): Promise<number | undefined> {
  const version = fleet.changeConfig();
  return fleet.runUntil(() => fleet.isInForce(version), CONFIG_APPLY_MS);
}

/** Restores the store from an older copy and runs until the nodes have noticed. */
async function restoreStore(
  fleet: SidecarSimulation,
  copy: PlatformCopy,
): Promise<void> {
  fleet.platform.restore(copy);
  await fleet.run(NOTICE_MS);
}

/** Indexes of the few nodes that watch the store; the others receive changes from them. */
function watcherIndexes(fleet: SidecarSimulation): number[] {
  const addresses = fleet.liveNodes.map(node => node.address);
  const chosen = watchersOf(addresses, WATCHERS_PER_DOMAIN);
  return fleet.liveNodes
    .filter(({address}) => chosen.has(address.nodeId))
    .map(node => node.index);
}

describe.each(SIZES)('$nodes nodes in $domains domains', size => {
  it('agree on members and configuration before traffic begins when they start at the same instant', async () => {
    const fleet = await startFleet(size, {loss: 0.01});
    expect(fleet.isConverged).toBe(true);
    expect(fleet.isInForce(1)).toBe(true);
    expect(watcherIndexes(fleet)).toHaveLength(2 * size.domains);
  });

  it('call the store at most twice each, watchers apart, while they start', async () => {
    const fleet = await startFleet(size);
    expect(fleet.storeCallsPerNode).toBeLessThanOrEqual(
      2 + (8 * size.domains) / size.nodes,
    );
  });

  it('apply a configuration change in time despite message loss', async () => {
    const fleet = await startFleet(size, {loss: 0.03});
    expect(await changeConfig(fleet)).toBeDefined();
    expect(await changeConfig(fleet)).toBeDefined();
  });

  it('apply a configuration change in time when all watchers have just died', async () => {
    const fleet = await startFleet(size);
    for (const index of watcherIndexes(fleet)) fleet.kill(index);
    expect(await changeConfig(fleet)).toBeDefined();
  });

  it('apply a configuration change in time when the store answers only one watcher', async () => {
    const fleet = await startFleet(size);
    const refused = watcherIndexes(fleet).slice(0, -1);
    for (const index of refused) {
      fleet.nodesWithoutStore.add(fleet.node(index).address.nodeId);
    }
    expect(await changeConfig(fleet)).toBeDefined();
  });

  // Guards against watchers that the store turns away but the other nodes rely on.
  it('apply a configuration change in time when the store turns all watchers away', async () => {
    const fleet = await startFleet(size);
    for (const index of watcherIndexes(fleet))
      fleet.nodesWithoutStore.add(fleet.node(index).address.nodeId);
    // Watches that are open still report changes.
    await fleet.run(LONGEST_WATCH_MS);
    const version = fleet.changeConfig();
    const tookMs = await fleet.runUntil(
      () => fleet.isInForce(version),
      CONFIG_APPLY_MS + MAX_STRETCH_MS,
    );
    expect(tookMs).toBeDefined();
  });

  it('apply later changes in time when the watchers have come back', async () => {
    const fleet = await startFleet(size);
    for (const index of watcherIndexes(fleet))
      fleet.nodesWithoutStore.add(fleet.node(index).address.nodeId);
    await fleet.run(LONGEST_WATCH_MS);
    fleet.nodesWithoutStore.clear();
    await fleet.run(CONTACT_MS);
    for (let i = 0; i < 8; i++) {
      expect(await changeConfig(fleet)).toBeDefined();
      await fleet.run(CONTACT_MS);
    }
  });

  it('limit their calls to the store while it answers nobody', async () => {
    const fleet = await startFleet(size);
    for (const {address} of fleet.liveNodes)
      fleet.nodesWithoutStore.add(address.nodeId);
    await fleet.run(1_000);
    const before = fleet.storeCallsPerNode;
    await fleet.run(OUTAGE_MS);
    const calls = (fleet.storeCallsPerNode - before) * size.nodes;
    const watchers = watcherIndexes(fleet).length;
    const standbys = OUTAGE_MS / STANDBY_INTERVAL_MS;
    expect(calls).toBeLessThanOrEqual(
      (CALLS_PER_WATCHER_S * (watchers + standbys) * OUTAGE_MS) / 1_000,
    );
  });

  it('apply a configuration change in time, also on a node that no other reaches', async () => {
    const fleet = await startFleet(size);
    const watchers = new Set(watcherIndexes(fleet));
    const isolated = fleet.liveNodes.find(node => !watchers.has(node.index));
    if (isolated !== undefined)
      fleet.isolatedNodes.add(isolated.address.nodeId);
    await fleet.run(4_000);
    expect(await changeConfig(fleet)).toBeDefined();
  });

  it('agree on members again after a power loss of the whole fleet, and still record a leaving server', async () => {
    const fleet = await startFleet(size);
    void fleet.node(1).control.persistLeaving('i-1');
    await fleet.run(100);
    for (let i = 0; i < size.nodes; i++) fleet.kill(i);
    await fleet.run(1_000);
    for (let i = 0; i < size.nodes; i++) fleet.boot(i);
    const tookMs = await fleet.runUntil(() => fleet.isConverged, RECOVERY_MS);
    expect(tookMs).toBeDefined();
    expect(fleet.node(1).leavingInstances).toEqual(['i-1']);
  });

  it('limit their calls to the store when it comes back', async () => {
    const fleet = await startFleet(size);
    for (const {address} of fleet.liveNodes)
      fleet.nodesWithoutStore.add(address.nodeId);
    await fleet.run(5_000);
    const before = fleet.storeCallsPerNode;
    fleet.nodesWithoutStore.clear();
    await fleet.run(1_000);
    const calls = (fleet.storeCallsPerNode - before) * size.nodes;
    expect(calls).toBeLessThanOrEqual(4 * 2 * size.domains);
  });
});

describe.each(SIZES)(
  '$nodes nodes in $domains domains, after the store was restored from an older copy',
  size => {
    // A change was not in force in time, as its revision is lower than that of the lost configuration.
    it('apply a configuration change in time, also if their watches stayed open', async () => {
      const fleet = await startFleet(size);
      const copy = fleet.platform.copy();
      for (let i = 0; i < 5; i++) await changeConfig(fleet);
      await restoreStore(fleet, copy);
      expect(fleet.isInForce(6)).toBe(true);
      expect(await changeConfig(fleet)).toBeDefined();
    });

    // The entries by which nodes find each other were written once only.
    it('are found by a node that starts, which then has the configuration that they hold', async () => {
      const fleet = await startFleet(size);
      const copy = {...fleet.platform.copy(), objects: new Map()};
      const version = fleet.changeConfig();
      await fleet.run(CONFIG_APPLY_MS);
      await restoreStore(fleet, copy);
      fleet.boot(size.nodes);
      const tookMs = await fleet.runUntil(
        () => fleet.isConverged && fleet.isInForce(version),
        RECOVERY_MS,
      );
      expect(tookMs).toBeDefined();
    });

    // A node that starts took the entries of dead nodes, which were back in the store, for peers and read the list no more.
    it('are found by a node that starts while only nodes that have died are listed', async () => {
      const fleet = await startFleet(size);
      const copy = fleet.platform.copy();
      const live = [size.nodes, size.nodes + 1];
      live.forEach(index => fleet.boot(index));
      await fleet.run(CONFIG_APPLY_MS);
      for (let i = 0; i < size.nodes; i++) fleet.kill(i);
      await fleet.run(CONFIG_APPLY_MS);
      fleet.platform.restore(copy);
      fleet.boot(size.nodes + 2);
      const newcomer = fleet.node(size.nodes + 2).control;
      const isFound = (index: number): boolean =>
        newcomer
          .reachable()
          .some(({nodeId}) => nodeId === fleet.node(index).address.nodeId);
      const tookMs = await fleet.runUntil(
        () => live.every(isFound),
        NOTICE_MS + RECOVERY_MS,
      );
      expect(tookMs).toBeDefined();
    });

    // A server that had left was in use again after its node, and all others, had restarted.
    it('still record a leaving server after a power loss of the whole fleet', async () => {
      const fleet = await startFleet(size);
      const copy = fleet.platform.copy();
      void fleet.node(1).control.persistLeaving('i-1');
      await fleet.run(100);
      await restoreStore(fleet, copy);
      for (let i = 0; i < size.nodes; i++) fleet.kill(i);
      for (let i = 0; i < size.nodes; i++) fleet.boot(i);
      await fleet.runUntil(() => fleet.isConverged, RECOVERY_MS);
      expect(new Set(fleet.node(1).leavingInstances)).toEqual(new Set(['i-1']));
    });
  },
);

describe('195 nodes in 5 domains', () => {
  it('agree on members before traffic begins, and apply a change when all watchers have died', async () => {
    const fleet = await startFleet(LARGE_SIZE);
    expect(fleet.isConverged).toBe(true);
    for (const index of watcherIndexes(fleet)) fleet.kill(index);
    expect(await changeConfig(fleet)).toBeDefined();
  });

  it('agree on members again after a power loss of the whole fleet', async () => {
    const fleet = await startFleet(LARGE_SIZE);
    for (let i = 0; i < LARGE_SIZE.nodes; i++) fleet.kill(i);
    await fleet.run(1_000);
    for (let i = 0; i < LARGE_SIZE.nodes; i++) fleet.boot(i);
    const tookMs = await fleet.runUntil(() => fleet.isConverged, RECOVERY_MS);
    expect(tookMs).toBeDefined();
  });
});

describe('gossip of an idle fleet', () => {
  it('takes at most a tenth more bytes per node at 195 nodes than at 75', async () => {
    const rates: number[] = [];
    for (const nodes of [75, 195]) {
      const fleet = await startFleet({domains: 5, nodes});
      await fleet.run(10_000);
      const before = fleet.traffic.bytes;
      await fleet.run(10_000);
      rates.push((fleet.traffic.bytes - before) / nodes);
    }
    const [small = 0, large = 0] = rates;
    expect(large).toBeLessThanOrEqual(1.1 * small);
  });
});
