import {
  MemoryPlatform,
  rethrow,
  StaleStore,
  VirtualClock,
  VirtualTimers,
} from '@goldcresthill/test-utils';
import {beforeEach, expect, it} from 'vitest';
import {RecentClaims} from './recent_claims';

const STEP_MS = 10;

let clock: VirtualClock;
let platform: MemoryPlatform;
let store: StaleStore;
let claims: RecentClaims;
let taken: string[];
let isUp: boolean;

beforeEach(() => {
  clock = new VirtualClock();
  platform = new MemoryPlatform();
  isUp = true;
  store = new StaleStore({
    clock,
    platform,
    lagMs: 0,
    pageSize: 10,
    availability: () => (isUp ? 'up' : 'refusing'),
  });
  taken = [];
  claims = new RecentClaims({
    store,
    timers: new VirtualTimers(clock),
    random: () => 0.5,
    onFault: rethrow,
    onTaken: path => taken.push(path),
  });
});

async function run(ms: number): Promise<void> {
  const end = clock.now + ms;
  while (clock.now < end) await clock.runUntilSettled(clock.now + STEP_MS);
}

async function claim(path: string): Promise<void> {
  platform.put(path, `"${path}"`, 0);
  claims.add(path, `"${path}"`);
  await run(STEP_MS);
}

/** Lets the client learn the current era. */
async function callStore(): Promise<void> {
  void store.get('other');
  await run(STEP_MS);
}

// A key whose claim was lost could be claimed again, and its work ran twice.
it('claims that a restored store has lost are written again, also if it fails at first', async () => {
  await callStore();
  const copy = platform.copy();
  await claim('claims/1/a');
  await claim('claims/1/b');
  platform.restore(copy);
  await callStore();
  isUp = false;
  await run(1_000);
  isUp = true;
  await run(1_000);
  expect(
    platform
      .list('claims/')
      .map(({path}) => path)
      .sort(),
  ).toEqual(['claims/1/a', 'claims/1/b']);
  expect(taken).toEqual([]);
});

it('a key that another call has claimed since the restore is reported, and its claim is kept', async () => {
  await callStore();
  const copy = platform.copy();
  await claim('claims/1/a');
  platform.restore(copy);
  platform.put('claims/1/a', '"another"', 0);
  await callStore();
  await run(1_000);
  expect(platform.get('claims/1/a')?.value).toBe('"another"');
  expect(taken).toEqual(['claims/1/a']);
});

it('old claims are not written again, nor any after the end', async () => {
  await callStore();
  const copy = platform.copy();
  await claim('claims/1/a');
  await run(60_000);
  await claim('claims/1/b');
  platform.restore(copy);
  await callStore();
  await run(1_000);
  expect(platform.list('claims/').map(({path}) => path)).toEqual([
    'claims/1/b',
  ]);
  platform.restore(copy);
  claims.close();
  await callStore();
  await run(1_000);
  expect(platform.list('claims/')).toEqual([]);
});
