import {describe, expect, it} from 'vitest';
import {SidecarSimulation} from './sidecar_simulation';

const JOIN_MS = 12_000;
const CONTACT_MS = 3_000;
/** Longer than updates are sent again, and shorter than strikes count. */
const STRIKE_AGE_MS = 35_000;
/** More than the updates that are sent again. */
const OTHER_STRIKES = 30;
/** Length of the digests by which nodes recognize requests. */
const FINGERPRINT_LENGTH = 24;
const MAX_TABLE_BYTES = 65_536;

/** Starts a fleet in which one request has crashed two servers, and others have been at work at a crash since. */
async function startFleet(nodes: number): Promise<SidecarSimulation> {
  const fleet = new SidecarSimulation({seed: 1, nodes, domains: 3});
  fleet.changeConfig();
  fleet.startAll();
  await fleet.run(JOIN_MS);
  const strike = (fingerprint: string, instance: string): void =>
    fleet.node(1).control.spread({
      type: 'strike',
      fingerprint,
      instance,
      at: fleet.clock.now,
    });
  strike('crashing', 'i-3');
  strike('crashing', 'i-4');
  await fleet.run(CONTACT_MS);
  for (let i = 0; i < OTHER_STRIKES; i++) strike(`other-${i}`, 'i-5');
  return fleet;
}

describe('a node that has just started', () => {
  // Guards against a request that goes on to crash servers while nodes are restarted.
  it.each([9, 75, 195])(
    'knows the requests that crash servers, with %i nodes',
    async nodes => {
      const fleet = await startFleet(nodes);
      for (const [index, waitMs] of [
        [0, 0],
        [2, STRIKE_AGE_MS],
      ] as const) {
        await fleet.run(waitMs);
        fleet.kill(index);
        fleet.boot(index);
        await fleet.run(CONTACT_MS);
        const {quarantine} = fleet.node(index);
        expect(quarantine.statusOf(fleet.clock.now, 'crashing')).toBe(
          'quarantined',
        );
      }
    },
    60_000,
  );

  it('passes on a bounded number of strikes', async () => {
    const fleet = await startFleet(9);
    const {control, quarantine} = fleet.node(1);
    const emptyBytes = control.memberTableText.length;
    for (let i = 0; i < 10_000; i++) {
      quarantine.recordStrike({
        fingerprint: String(i).padStart(FINGERPRINT_LENGTH, '0'),
        instance: `i-${i}`,
        at: fleet.clock.now,
      });
    }
    const bytes = control.memberTableText.length - emptyBytes;
    expect(bytes).toBeLessThan(MAX_TABLE_BYTES);
  });
});
