/** Prints the share of requests within the cap that are refused, for docs/design/rate-caps.md. */
import {GossipedCounts, NodeLimiters} from './cap_scheme';
import {QUOTA_BOUNDS, runQuotaTrial} from './quota_trial';
import type {
  QuotaFault,
  QuotaTrialOptions,
  QuotaTrialResult,
} from './quota_trial';

const SEEDS = [1, 2, 3];
const AT_MS = 8_000;
const GOSSIP_MS = 500;
const CASES: readonly (readonly [string, readonly QuotaFault[]])[] = [
  ['normal operation', []],
  [
    'hot accounts of ranks 1, 6, 41, whose clients come back',
    [
      {type: 'hot', at: 2_000, forMs: 6_000, rank: 0, factor: 4},
      {type: 'hot', at: 10_000, forMs: 7_000, rank: 5, factor: 10},
      {type: 'hot', at: 15_000, forMs: 5_000, rank: 40, factor: 8},
    ],
  ],
  ['an allocator killed, back after 2 s', [fault('kill', 2_000)]],
  ['an allocator killed for good', [fault('kill', 60_000)]],
  ['an allocator frozen for 1 s', [fault('freeze', 1_000)]],
  ['an allocator frozen for 8 s', [fault('freeze', 8_000)]],
  ['a domain cut for 10 s', [cut(false)]],
  ['a domain cut for 10 s, from the store too', [cut(true)]],
  [
    'the store away for 5 s',
    [{type: 'storeCut', at: AT_MS, forMs: 5_000, domain: undefined}],
  ],
  ['the store restored', [{type: 'restoreStore', at: AT_MS, forMs: 0}]],
  ['the fleet restarted', [{type: 'restartFleet', at: AT_MS, forMs: 500}]],
];

function fault(type: 'kill' | 'freeze', forMs: number): QuotaFault {
  return {type, at: AT_MS, forMs, pick: 1, allocator: true};
}

function cut(fromStore: boolean): QuotaFault {
  return {type: 'cut', at: AT_MS, forMs: 10_000, domain: 1, fromStore};
}

async function measure(
  name: string,
  options: Omit<QuotaTrialOptions, 'seed'>,
): Promise<void> {
  const results: QuotaTrialResult[] = [];
  for (const seed of SEEDS)
    results.push(await runQuotaTrial({...options, seed}));
  const mean = (values: readonly number[]) =>
    (values.reduce((a, b) => a + b, 0) / values.length).toFixed(2);
  const columns = [0, 1, 2].map(index => {
    const sizes = results.flatMap(({sizes}) => sizes[index] ?? []);
    const overCap = mean(sizes.map(size => size.overCapPercent));
    const unavailable = mean(sizes.map(size => size.unavailablePercent));
    const shortfall = mean(sizes.map(size => size.shortfallPercent));
    return `${overCap} / ${unavailable} / ${shortfall}`;
  });
  const last = Math.max(0, ...results.flatMap(r => r.unavailableAt)) - AT_MS;
  const cells = [
    options.nodes,
    name,
    ...columns,
    results.flatMap(r => r.violations).length,
    mean(results.map(r => r.datagramsPerSecond)),
    mean(results.map(r => r.storeCallsPerSecond)),
    last > 0 ? (last / 1_000).toFixed(1) : '',
  ];
  console.log(`| ${cells.join(' | ')} |`);
}

const HOT = CASES[1]?.[1] ?? [];
for (const nodes of [9, 70, 195]) {
  const schemes: readonly (readonly [string, QuotaTrialOptions['scheme']])[] = [
    ['limiter at each node', (c, caps) => new NodeLimiters(c, caps, 1)],
    ['fixed shares', (c, caps) => new NodeLimiters(c, caps, 1 / nodes)],
    [
      'count gossiped in 0.5 s',
      (c, caps) =>
        new GossipedCounts(c, caps, GOSSIP_MS, QUOTA_BOUNDS.windowMs),
    ],
  ];
  for (const [name, scheme] of schemes)
    await measure(`${name}, hot accounts`, {nodes, faults: HOT, scheme});
  const returns = 2;
  for (const [name, faults] of CASES)
    await measure(name, {nodes, loss: 0.005, faults, returns});
}
