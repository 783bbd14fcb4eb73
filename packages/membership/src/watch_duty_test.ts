import {describe, expect, it} from 'vitest';
import {WatchDuty} from './watch_duty';

const newDuty = () => new WatchDuty(0, {timeoutMs: 1_000});

describe('WatchDuty', () => {
  it('a chosen node watches and reports an age of zero', () => {
    const duty = newDuty();
    duty.setChosen(0, true);
    expect([duty.isDue(5_000), duty.age(5_000)]).toEqual([true, 0]);
  });

  it('a node with recent evidence of watchers does not watch', () => {
    const duty = newDuty();
    for (let now = 0; now < 10_000; now += 500)
      duty.recordWatcherSeen(now, 300);
    expect([duty.isDue(10_000), duty.age(10_000)]).toEqual([false, 800]);
  });

  it('a node that is cut off watches by itself until a watcher is seen again', () => {
    const duty = newDuty();
    duty.recordWatcherSeen(2_000, 100);
    expect([duty.isDue(2_800), duty.isDue(3_000)]).toEqual([false, true]);
    duty.recordWatcherSeen(4_000, 50);
    expect(duty.isDue(4_000)).toBe(false);
  });

  it('a node that has just started does not claim to have seen a watcher', () => {
    const duty = new WatchDuty(0, {
      timeoutMs: 1_000,
      startupGraceMs: 3_000,
    });
    expect(duty.age(10)).toBeGreaterThan(1_000_000);
    expect([duty.isDue(3_900), duty.isDue(4_100)]).toEqual([false, true]);
  });

  it('a chosen node that the store does not answer is no live watcher', () => {
    const duty = newDuty();
    duty.setChosen(0, true);
    duty.recordStoreCall(5_000, false);
    expect([duty.isDue(6_000), duty.age(6_000)]).toEqual([true, 1_000]);
    duty.recordStoreCall(7_000, true);
    expect(duty.age(7_500)).toBe(0);
  });

  it('a node replaces the chosen watchers after its delay, once the store answers it, for a while', () => {
    const duty = newDuty();
    duty.setStandbyDelay(500);
    const hearAgeOf = (now: number) => duty.recordWatcherSeen(now, now);
    for (const now of [500, 1_000, 1_400]) hearAgeOf(now);
    expect([duty.isDue(1_400), duty.isDue(1_600)]).toEqual([false, true]);
    duty.recordStoreCall(1_600, false);
    expect(duty.age(1_600)).toBe(1_600);
    duty.recordStoreCall(1_700, true);
    // Other nodes report the evidence that this one gives them.
    duty.recordWatcherSeen(11_600, 100);
    expect([duty.isDue(11_600), duty.age(11_600)]).toEqual([true, 0]);
    expect([duty.isDue(11_800), duty.age(11_800)]).toEqual([false, 300]);
  });

  it('older evidence does not replace newer evidence', () => {
    const duty = newDuty();
    duty.recordWatcherSeen(2_000, 0);
    duty.recordWatcherSeen(2_900, 5_000);
    expect(duty.age(3_000)).toBe(1_000);
  });

  it('a node that is no longer chosen first waits for evidence of others', () => {
    const duty = newDuty();
    duty.setChosen(0, true);
    duty.setChosen(60_000, false);
    expect([duty.isDue(60_500), duty.isDue(61_500)]).toEqual([false, true]);
  });
});
