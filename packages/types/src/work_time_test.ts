import {describe, expect, it} from 'vitest';
import {expectedWorkTime} from './work_time';

describe('expectedWorkTime', () => {
  it.each([
    [100, 1, 100],
    [100, 0.5, 50],
    // Short work starts at once, long work after the slowdown.
    [20, 4, 80],
    [400, 4, 700],
  ])('%i ms of work at slowdown %d takes %i ms', (work, slowdown, expected) => {
    expect(expectedWorkTime(work, slowdown)).toBe(expected);
  });
});
