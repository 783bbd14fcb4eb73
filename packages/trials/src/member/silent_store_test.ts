import {describe, expect, it} from 'vitest';
import {SidecarSimulation} from './sidecar_simulation';

const CONFIG_APPLY_MS = 2_000;
const CONTACT_MS = 3_000;
const JOIN_MS = 12_000;
const TIMEOUT_MS = 20_000;

/** Milliseconds until a change is in force everywhere that is made `CONTACT_MS` after all watches have gone silent. */
async function timeToApply(
  nodes: number,
  domains: number,
  sinceChangeMs: number,
): Promise<number | undefined> {
  const fleet = new SidecarSimulation({
    seed: 1,
    nodes,
    domains,
    configApplyMs: CONFIG_APPLY_MS,
  });
  fleet.changeConfig();
  fleet.startAll();
  await fleet.run(JOIN_MS);
  // All watches end with a change.
  fleet.changeConfig();
  await fleet.run(sinceChangeMs);
  fleet.nodes.forEach(node => node.store.silenceWatches());
  await fleet.run(CONTACT_MS);
  const version = fleet.changeConfig();
  return fleet.runUntil(() => fleet.isInForce(version), TIMEOUT_MS);
}

describe('a store whose open connections go silent', () => {
  // Guards against watches that renew together, so that none notices for seconds that nothing is reported any more.
  it.each([
    [9, 3],
    [3, 3],
    [1, 1],
    [75, 3],
  ])(
    'delays a change within the bound at most, with %i nodes in %i domains',
    async (nodes, domains) => {
      for (const sinceChangeMs of [100, 1_100, 2_300, 3_700, 6_400, 9_800]) {
        const elapsedMs = await timeToApply(nodes, domains, sinceChangeMs);
        expect(
          elapsedMs ?? Infinity,
          `silent ${sinceChangeMs} ms after a change`,
        ).toBeLessThanOrEqual(CONFIG_APPLY_MS);
      }
    },
  );
});
