import {InvariantError} from '@goldcresthill/types';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {RatioBudget} from './ratio_budget';
import {TokenBucket} from './token_bucket';

describe('TokenBucket', () => {
  it('grants no more than its rate and burst over any stretch, with clock steps', () => {
    const step = fc.record({
      advance: fc.integer({min: -500, max: 900}),
      take: fc.nat({max: 4}),
    });
    fc.assert(
      fc.property(fc.array(step, {maxLength: 100}), steps => {
        const bucket = new TokenBucket(0, {perSecond: 10, burst: 5});
        let now = 0;
        let latest = 0;
        let granted = 0;
        for (const {advance, take} of steps) {
          now += advance;
          latest = Math.max(latest, now);
          for (let i = 0; i < take; i++) if (bucket.take(now)) granted++;
        }
        return granted <= 5 + (latest / 1_000) * 10 + 1e-6;
      }),
      {seed: 3, numRuns: 1_000},
    );
  });

  it('is seen to find a grant beyond its budget', () => {
    const bucket = new TokenBucket(0, {perSecond: 1, burst: 1});
    bucket.take(0);
    // What a fault in refilling would do.
    Object.assign(bucket, {tokens: 5});
    expect(() => bucket.take(0)).toThrow(InvariantError);
    const ratio = new RatioBudget({percent: 10, burst: 1});
    ratio.take();
    Object.assign(ratio, {saved: 5});
    expect(() => ratio.take()).toThrow(InvariantError);
  });

  it('grants nothing more for a change of rate', () => {
    const bucket = new TokenBucket(0, {perSecond: 100, burst: 100});
    for (let i = 0; i < 50; i++)
      bucket.configure(0, {perSecond: 100, burst: 100});
    let granted = 0;
    while (bucket.take(0)) granted++;
    expect(granted).toBe(100);
  });
});

describe('RatioBudget', () => {
  it('grants a share of the traffic', () => {
    const budget = new RatioBudget({percent: 10, burst: 1});
    let granted = 0;
    for (let i = 0; i < 1_000; i++) {
      budget.record();
      if (budget.take()) granted++;
    }
    expect(granted).toBe(100);
  });

  it('grants nothing at 0 percent', () => {
    const budget = new RatioBudget({percent: 0});
    budget.record();
    expect(budget.take()).toBe(false);
  });
});
