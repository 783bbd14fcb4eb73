import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {runConfigSeries, SERIES_FAULTS} from './config_series';
import type {SeriesFaultType, SeriesPlan} from './config_series';

/** Series in CI; more are run by hand with SERIES_RUNS, from the seed SERIES_SEED. */
const RUNS = Number(process.env['SERIES_RUNS'] ?? 100);
const SEED = Number(process.env['SERIES_SEED'] ?? 39);
const TIMEOUT_MS = 3_600_000;
const SIZES = [
  {nodes: 9, domains: 3, runs: RUNS},
  {nodes: 12, domains: 3, runs: RUNS},
  {nodes: 75, domains: 4, runs: Math.floor(RUNS / 30)},
  {nodes: 195, domains: 5, runs: Math.floor(RUNS / 300)},
].filter(({runs}) => runs > 0);
const BOUNDS = [
  {configApplyMs: 2_000, contactMs: 3_000, maxStretchMs: 5_000},
  {configApplyMs: 2_500, contactMs: 3_000, maxStretchMs: 5_000},
  {configApplyMs: 3_000, contactMs: 4_000, maxStretchMs: 6_000},
];
const SERIES_MS = 10_000;
/** Disturbances of the whole fleet, during which no bound holds, are drawn less often. */
const FLEET_FAULTS: readonly SeriesFaultType[] = [
  'storeDown',
  'storeSlow',
  'connectionsSilent',
  'messagesLost',
];
const faultTypes = fc.oneof(
  ...SERIES_FAULTS.map(type => ({
    arbitrary: fc.constant(type),
    weight: FLEET_FAULTS.includes(type) ? 1 : 4,
  })),
);

function plans(size: {nodes: number; domains: number}) {
  const time = fc.nat({max: SERIES_MS});
  return fc.record<SeriesPlan>({
    seed: fc.nat({max: 1_000_000}),
    nodes: fc.constant(size.nodes),
    domains: fc.constant(size.domains),
    bounds: fc.constantFrom(...BOUNDS),
    readLagMs: fc.constantFrom(100, 3_000, 8_000),
    faults: fc.array(
      fc.record({
        type: faultTypes,
        atMs: time,
        durationMs: fc.integer({min: 100, max: SERIES_MS}),
        share: fc.constantFrom(0.1, 0.35, 0.5, 0.8, 0.9, 1),
        watchersFirst: fc.boolean(),
      }),
      {minLength: 1, maxLength: 5},
    ),
    changesAtMs: fc.array(time, {minLength: 2, maxLength: 6}),
  });
}

describe('series of disturbances and changes that overlap', () => {
  // Guards against changes that a node in touch with the store does not have in force in time, whatever happens around it.
  it.each(SIZES)(
    'delay no change beyond its bound with $nodes nodes in $domains domains, $runs series',
    async ({runs, ...size}) => {
      await fc.assert(
        fc.asyncProperty(plans(size), async plan => {
          expect(await runConfigSeries(plan)).toBeUndefined();
        }),
        {numRuns: runs, seed: SEED},
      );
    },
    TIMEOUT_MS,
  );
});
