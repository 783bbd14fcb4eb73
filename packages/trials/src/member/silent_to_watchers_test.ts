import {watchersOf} from '@goldcresthill/membership';
import {describe, expect, it} from 'vitest';
import {SidecarSimulation} from './sidecar_simulation';

const CONFIG_APPLY_MS = 2_000;
/** Time for which a node must be undisturbed before its bounds hold. */
const CONTACT_MS = 3_000;
const JOIN_MS = 12_000;
const TIMEOUT_MS = 20_000;
/** Time for which a node serves after it was told to stop. */
const LEAVING_MS = 2_750;
/** Time until a process that was killed starts again. */
const RESTART_MS = 700;
const SAMPLE_MS = 50;
const WATCHERS_PER_DOMAIN = 2;
/** Time by which stale reads lag behind. */
const READ_LAG_MS = 5_000;
const SIZES = [
  {nodes: 9, domains: 3},
  {nodes: 10, domains: 3},
  {nodes: 75, domains: 4},
];

async function startFleet(
  size: {nodes: number; domains: number},
  seed: number,
  readLagMs?: number,
): Promise<SidecarSimulation> {
  const fleet = new SidecarSimulation({
    seed,
    ...size,
    configApplyMs: CONFIG_APPLY_MS,
    readLagMs,
  });
  fleet.changeConfig();
  fleet.startAll();
  await fleet.run(JOIN_MS);
  return fleet;
}

/** The nodes that are chosen to watch the store. */
function watchers(fleet: SidecarSimulation) {
  const addresses = fleet.liveNodes.map(node => node.address);
  const chosen = watchersOf(addresses, WATCHERS_PER_DOMAIN);
  return fleet.liveNodes.filter(({address}) => chosen.has(address.nodeId));
}

describe.each(SIZES)('$nodes nodes in $domains domains', size => {
  // Guards against nodes that rely on an open watch although the store answers none of the watchers.
  it('apply a change in time after the store has gone silent to all watchers', async () => {
    for (const [seed, sinceSilenceMs] of [
      0, 400, 900, 1_600, 2_700,
    ].entries()) {
      const fleet = await startFleet(size, seed);
      fleet.silenceStore(watchers(fleet));
      await fleet.run(sinceSilenceMs);
      const version = fleet.changeConfig();
      const tookMs = await fleet.runUntil(
        () => fleet.isInForce(version),
        TIMEOUT_MS,
      );
      expect(
        tookMs ?? Infinity,
        `${sinceSilenceMs} ms after the silence began`,
      ).toBeLessThanOrEqual(CONFIG_APPLY_MS);
    }
  });

  // Guards against nodes that start with a configuration from a stale read that was replaced long ago.
  it('never put an older configuration into force when all restart', async () => {
    const fleet = await startFleet(size, 1, READ_LAG_MS);
    const version = fleet.changeConfig();
    await fleet.run(CONFIG_APPLY_MS);
    for (let i = 0; i < size.nodes; i++) fleet.kill(i);
    await fleet.run(RESTART_MS);
    for (let i = 0; i < size.nodes; i++) fleet.boot(i);
    for (let ms = 0; ms < CONTACT_MS; ms += SAMPLE_MS) {
      await fleet.run(SAMPLE_MS);
      const inForce = fleet.liveNodes
        .map(node => node.control.configVersion)
        .filter(held => held > 0);
      expect(Math.min(...inForce), `${ms} ms`).toBeGreaterThanOrEqual(version);
    }
    expect(fleet.isInForce(version)).toBe(true);
  });

  // Guards against nodes that no longer hear of changes once the others count them as gone.
  it('apply changes in time on a node that is leaving', async () => {
    for (let index = 0; index < size.domains; index++) {
      const fleet = await startFleet(size, index);
      fleet.node(index).control.leave();
      await fleet.run(LEAVING_MS - CONFIG_APPLY_MS);
      const version = fleet.changeConfig();
      await fleet.run(CONFIG_APPLY_MS);
      expect(fleet.node(index).control.configVersion, `node ${index}`).toBe(
        version,
      );
    }
  });

  // Guards against a node that loses touch with changes because its peers cannot send it the configuration.
  it('apply a change in time when no configuration arrives from peers', async () => {
    const fleet = await startFleet(size, 1);
    fleet.losesConfigTransfers = true;
    const version = fleet.changeConfig();
    const tookMs = await fleet.runUntil(
      () => fleet.isInForce(version),
      TIMEOUT_MS,
    );
    expect(tookMs ?? Infinity).toBeLessThanOrEqual(CONFIG_APPLY_MS);
  });
});
