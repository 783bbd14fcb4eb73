import {describe, expect, it} from 'vitest';
import {WorkClock} from './work_clock';

describe('WorkClock', () => {
  it('runs as fast as the server works', () => {
    const clock = new WorkClock(100);
    expect(clock.at(140)).toBe(40);
    clock.setSlowdown(140, 4);
    expect(clock.at(180)).toBe(50);
    clock.setSlowdown(180, 1);
    expect(clock.at(200)).toBe(70);
  });

  it('goes on under a slowdown that cannot be', () => {
    const clock = new WorkClock(0);
    clock.setSlowdown(0, 0);
    expect(clock.at(1)).toBe(10);
  });
});
