import {
  CLAIM_SHARD_COUNT,
  claimPath,
  SHARD_SWEEP_INTERVAL_MS,
} from '@goldcresthill/attempts';
import {ownerOf} from '@goldcresthill/membership';
import {ClaimSweeper} from '@goldcresthill/node';
import {
  MemoryPlatform,
  rethrow,
  seededRandom,
  VirtualClock,
  VirtualTimers,
} from '@goldcresthill/test-utils';
import {describe, expect, it} from 'vitest';
import {SimulatedStore} from './simulated_store';

const HOUR_MS = 3_600_000;
const RETENTION_MS = 24 * HOUR_MS;
const SWEEP_PASS_MS = CLAIM_SHARD_COUNT * SHARD_SWEEP_INTERVAL_MS;
const NODES = ['a', 'b', 'c'];

function claimCount(platform: MemoryPlatform): number {
  return platform.list('claims/').length;
}

function setUp() {
  const clock = new VirtualClock();
  const platform = new MemoryPlatform();
  const members = NODES.map(nodeId => ({nodeId}));
  const sweepers = NODES.map(nodeId => {
    const timers = new VirtualTimers(clock);
    const store = new SimulatedStore(
      clock,
      platform,
      seededRandom(1),
      () => 'up',
    );
    const isOwner = (shard: number): boolean =>
      ownerOf(`sweep|${shard}`, members) === nodeId;
    return new ClaimSweeper({
      onFault: rethrow,
      store,
      timers,
      retentionMs: RETENTION_MS,
      isOwner,
    });
  });
  const writeClaim = (key: string): void => {
    const value = JSON.stringify({claimedAtMs: clock.now});
    platform.put(claimPath('orders', key), value, 0);
  };
  return {clock, platform, sweepers, writeClaim};
}

describe('ClaimSweeper', () => {
  it('removes each claim within one sweep pass after its retention, and none before', async () => {
    const {clock, platform, sweepers, writeClaim} = setUp();
    for (let i = 0; i < 50; i++) writeClaim(`old-${i}`);
    await clock.runUntilSettled(RETENTION_MS - HOUR_MS);
    for (let i = 0; i < 50; i++) writeClaim(`new-${i}`);
    expect(claimCount(platform)).toBe(100);
    await clock.runUntilSettled(
      RETENTION_MS + SWEEP_PASS_MS + SHARD_SWEEP_INTERVAL_MS,
    );
    expect(claimCount(platform)).toBe(50);
    expect(sweepers.reduce((sum, s) => sum + s.claimsRemoved, 0)).toBe(50);
    expect(sweepers.every(s => s.claimsRemoved > 0)).toBe(true);
  });

  it('keeps a claim that was taken over in the meantime', async () => {
    const {clock, platform, writeClaim} = setUp();
    writeClaim('k');
    const path = claimPath('orders', 'k');
    await clock.runUntilSettled(RETENTION_MS);
    const version = platform.get(path)?.version ?? 0;
    platform.put(path, JSON.stringify({claimedAtMs: clock.now}), version);
    await clock.runUntilSettled(RETENTION_MS + SWEEP_PASS_MS);
    expect(claimCount(platform)).toBe(1);
  });
});
