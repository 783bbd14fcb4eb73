import {describe, expect, it} from 'vitest';
import {WatchDuty} from './watch_duty';

const REVISION = 5;

function newDuty(): WatchDuty {
  const duty = new WatchDuty(0, {maxAgeMs: 1_000});
  duty.setHeldRevision(REVISION);
  return duty;
}

function hear(duty: WatchDuty, now: number, ageMs: number): void {
  duty.recordConfirmation(now, {revision: REVISION, ageMs});
}

function ageOf(duty: WatchDuty, now: number): number {
  return duty.confirmation(now).ageMs;
}

describe('WatchDuty', () => {
  // Guards against watchers that vouch for a watch that is open but silent.
  it('a chosen node watches, and confirms the configuration only as of the last answer', () => {
    const duty = newDuty();
    duty.setChosen(true);
    duty.recordAnswer(1_000, 990);
    expect([duty.isWatcher(1_800), ageOf(duty, 1_800)]).toEqual([true, 810]);
    expect([duty.msUntilRead(1_800), duty.msUntilRead(2_000)]).toEqual([
      190, 0,
    ]);
  });

  it('a chosen node that the store does not answer confirms nothing and goes on reading', () => {
    const duty = newDuty();
    duty.setChosen(true);
    duty.recordAnswer(4_000, 4_000);
    duty.recordFailure(5_500);
    expect([
      duty.isWatcher(6_000),
      ageOf(duty, 6_000),
      duty.msUntilRead(6_000),
    ]).toEqual([true, 2_000, 0]);
    duty.recordAnswer(7_000, 7_000);
    expect(ageOf(duty, 7_500)).toBe(500);
  });

  it('a node with recent confirmations of others neither watches nor reads', () => {
    const duty = newDuty();
    for (let now = 0; now <= 10_000; now += 500) hear(duty, now, 300);
    expect(duty.confirmation(10_000)).toEqual({
      revision: REVISION,
      ageMs: 300,
    });
    expect([duty.isWatcher(10_000), duty.msUntilRead(10_000)]).toEqual([
      false,
      700,
    ]);
  });

  it('a node that hears of no confirmation reads by itself until it hears of one', () => {
    const duty = newDuty();
    hear(duty, 2_000, 100);
    expect([duty.msUntilRead(2_800), duty.msUntilRead(2_900)]).toEqual([
      100, 0,
    ]);
    hear(duty, 4_000, 50);
    expect(duty.msUntilRead(4_000)).toBe(950);
  });

  it('a node that has just started claims no confirmation, and may leave it to others to read at first', () => {
    const duty = new WatchDuty(0, {maxAgeMs: 1_000, startupGraceMs: 3_000});
    expect(ageOf(duty, 10)).toBeGreaterThan(1_000_000);
    expect([duty.msUntilRead(3_900), duty.msUntilRead(4_000)]).toEqual([
      100, 0,
    ]);
  });

  // Guards against nodes that take part in a read of each restart although others watch.
  it('the first answer after a start makes no watcher', () => {
    const duty = newDuty();
    duty.recordAnswer(100, 90);
    expect(duty.isWatcher(200)).toBe(false);
  });

  it('a node replaces the chosen watchers after its turn, once the store answers it, for a while', () => {
    const duty = newDuty();
    duty.setTurnDelay(500);
    hear(duty, 0, 0);
    expect([duty.msUntilRead(1_000), duty.msUntilRead(1_500)]).toEqual([
      500, 0,
    ]);
    duty.recordFailure(1_500);
    expect([duty.isWatcher(1_500), duty.msUntilRead(1_500)]).toEqual([
      false,
      1_000,
    ]);
    duty.recordAnswer(2_500, 2_490);
    expect(duty.isWatcher(2_500)).toBe(false);
    // It is the first to read again, as the store has answered it.
    expect(duty.msUntilRead(3_490)).toBe(0);
    duty.recordAnswer(3_500, 3_490);
    expect([duty.isWatcher(3_500), duty.isWatcher(13_499)]).toEqual([
      true,
      true,
    ]);
    expect(duty.isWatcher(13_500)).toBe(false);
  });

  // Guards against nodes that all keep watching after each had to read by itself once.
  it('a node that replaces the watchers stops when another node confirms', () => {
    const duty = newDuty();
    hear(duty, 0, 0);
    duty.recordAnswer(1_000, 1_000);
    duty.recordAnswer(2_000, 2_000);
    // Its own confirmation comes back from another node.
    hear(duty, 2_100, 50);
    expect(duty.isWatcher(2_100)).toBe(true);
    hear(duty, 2_600, 100);
    expect(duty.isWatcher(2_600)).toBe(false);
  });

  it('an older confirmation does not replace a newer one', () => {
    const duty = newDuty();
    hear(duty, 2_000, 0);
    hear(duty, 2_900, 5_000);
    expect(ageOf(duty, 3_000)).toBe(1_000);
  });

  // Guards against nodes that hold an older revision and take a confirmation of the newer one for theirs.
  it('a confirmation of a newer revision counts once that revision is in force here', () => {
    const duty = newDuty();
    hear(duty, 1_000, 0);
    duty.recordConfirmation(1_500, {revision: REVISION + 1, ageMs: 100});
    expect(duty.confirmation(1_600)).toEqual({revision: REVISION, ageMs: 600});
    duty.setHeldRevision(REVISION + 1);
    expect(duty.confirmation(1_600)).toEqual({
      revision: REVISION + 1,
      ageMs: 200,
    });
  });

  it('a confirmation of an older revision does not count', () => {
    const duty = newDuty();
    hear(duty, 1_000, 0);
    duty.recordConfirmation(2_000, {revision: REVISION - 1, ageMs: 0});
    expect(ageOf(duty, 2_000)).toBe(1_000);
  });

  it('a node that is no longer chosen reads only once the confirmations of others are missing', () => {
    const duty = newDuty();
    duty.setChosen(true);
    duty.recordAnswer(60_000, 60_000);
    duty.setChosen(false);
    expect([duty.msUntilRead(60_500), duty.msUntilRead(61_000)]).toEqual([
      500, 0,
    ]);
  });

  // Guards against a node that hears of no change any more once the others count it as gone.
  it('a node that leaves watches', () => {
    const duty = newDuty();
    duty.setLeaving();
    expect(duty.isWatcher(0)).toBe(true);
  });
});
