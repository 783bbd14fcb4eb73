import {readFileSync} from 'node:fs';
import {describe, expect, it} from 'vitest';
import {planSoak} from './soak_plan';
import {parseSoakBounds} from './soak_bounds';
import {runProcessSoak} from './soak';

const DURATION_MS = 12_000;
const INTERVAL_MS = 700;
const VMS = 6;

describe('a soak of real processes', () => {
  // Seed 3 lost requests when a second SIGTERM ended a stopping process; on seed 12 SIGHUP ended one after its start.
  it.each([
    [3, 'planned'],
    [12, 'mixed'],
  ] as const)(
    'keeps what callers and servers rely on (seed %i, %s)',
    async (seed, profile) => {
      const {failures, requests} = await runProcessSoak({
        root: '.',
        bounds: parseSoakBounds(readFileSync('deploy/soak.toml', 'utf8')),
        seed,
        profile,
        vms: VMS,
        clientsPerVm: 3,
        durationMs: DURATION_MS,
        intervalMs: INTERVAL_MS,
        keepsLogs: true,
      });
      expect(failures).toEqual([]);
      expect(requests).toBeGreaterThan(0);
    },
  );

  it('draws the same actions from a seed', () => {
    const options = {
      seed: 1,
      profile: 'mixed',
      vms: VMS,
      durationMs: DURATION_MS,
      intervalMs: INTERVAL_MS,
    } as const;
    expect(planSoak(options)).toEqual(planSoak(options));
    expect(planSoak({...options, seed: 2})).not.toEqual(planSoak(options));
  });
});
