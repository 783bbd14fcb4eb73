import {StoreBreaker} from '@goldcresthill/object-store';
import {
  MemoryPlatform,
  StaleStore,
  VirtualClock,
  VirtualTimers,
} from '@goldcresthill/test-utils';
import {ok} from 'neverthrow';
import {expect, it} from 'vitest';
import {ConfigFollower} from './config_follower';

const PATH = 'config/main';
const STEP_MS = 100;

// Guards against a watch that ends for good because one object in the store cannot be handled.
it('follows later configurations after one that fails to be decoded', async () => {
  const clock = new VirtualClock();
  const platform = new MemoryPlatform();
  const faults: string[] = [];
  const versions: number[] = [];
  const follower = new ConfigFollower<number>({
    timers: new VirtualTimers(clock),
    store: new StaleStore({clock, platform, lagMs: 0, pageSize: 10}),
    breaker: new StoreBreaker({random: () => 0.5}),
    path: PATH,
    decode: text => {
      if (text === 'odd') throw new RangeError('too deep');
      return ok(Number(text));
    },
    acceptsStale: false,
    isWatcher: () => true,
    msUntilRead: () => Infinity,
    watchers: () => ({count: 1, rank: 0}),
    renewalMs: 1_000,
    confirmedMs: () => 1_000,
    versionOf: version => version,
    onConfig: version => versions.push(version),
    onAnswer: () => undefined,
    onNoAnswer: () => undefined,
    onStoreReachable: () => undefined,
    onInvalid: () => undefined,
    onFault: err => faults.push(String(err)),
  });
  const following = follower.start();
  for (const value of ['1', 'odd', '2']) {
    platform.put(PATH, value, platform.get(PATH)?.version ?? 0);
    for (let i = 0; i < 30; i++)
      await clock.runUntilSettled(clock.now + STEP_MS);
  }
  follower.close();
  await Promise.race([following, undefined]);
  expect({versions, faults: [...new Set(faults)]}).toEqual({
    versions: [1, 2],
    faults: ['RangeError: too deep'],
  });
});
