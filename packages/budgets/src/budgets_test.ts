import {seededRandom} from '@goldcresthill/test-utils';
import {InvariantError} from '@goldcresthill/types';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {TokenBucket} from './token_bucket';
import {WindowBudget} from './window_budget';

describe('TokenBucket', () => {
  it('grants no more than its rate and burst over any period, with clock steps', () => {
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

  it('detects a grant beyond its budget', () => {
    const bucket = new TokenBucket(0, {perSecond: 1, burst: 1});
    bucket.take(0);
    // Simulates a fault in refilling.
    Object.assign(bucket, {tokens: 5});
    expect(() => bucket.take(0)).toThrow(InvariantError);
  });

  it('grants no extra tokens on a change of rate', () => {
    const bucket = new TokenBucket(0, {perSecond: 100, burst: 100});
    for (let i = 0; i < 50; i++)
      bucket.configure(0, {perSecond: 100, burst: 100});
    let granted = 0;
    while (bucket.take(0)) granted++;
    expect(granted).toBe(100);
  });
});

describe('WindowBudget', () => {
  it('grants a percentage of the traffic', () => {
    const budget = new WindowBudget({percent: 10, burst: 1});
    let granted = 0;
    for (let i = 0; i < 1_000; i++) {
      budget.record(i);
      if (budget.take(i)) granted++;
    }
    expect(granted).toBe(101);
  });

  it('grants nothing at 0 percent', () => {
    const budget = new WindowBudget({percent: 0});
    budget.record(0);
    expect(budget.take(0)).toBe(false);
  });

  it('detects a grant beyond its budget', () => {
    const budget = new WindowBudget({percent: 10, burst: 1});
    // Simulates a fault in counting.
    Object.defineProperty(budget, 'spent', {
      get: function (this: {reads: number}) {
        this.reads = (this.reads ?? 0) + 1;
        return this.reads === 1 ? 0 : 2;
      },
    });
    expect(() => budget.take(0)).toThrow(InvariantError);
  });

  it.each([
    {nodes: 9, pool: 64},
    {nodes: 75, pool: 190},
    {nodes: 195, pool: 430},
    {nodes: 920, pool: 2_000},
  ])(
    'grants of $nodes nodes stay within percentage and pool in every window',
    ({nodes, pool}) => {
      const windowMs = 10_000;
      const seeds = fc.integer({min: 1, max: 1_000_000});
      fc.assert(
        fc.property(seeds, seed => {
          const random = seededRandom(seed);
          const budgets = Array.from(
            {length: nodes},
            () =>
              new WindowBudget({percent: 10, burst: pool / nodes, windowMs}),
          );
          const traffic: number[] = [];
          const granted: number[] = [];
          for (let now = 0; now < 3.5 * windowMs; now += 5) {
            const budget = budgets[Math.floor(random() * nodes)];
            // The load varies; a resend is attempted at every step, as when nearly all requests fail.
            if (random() < 0.5 + 0.5 * Math.sin(now / 3_000)) {
              budget?.record(now);
              traffic.push(now);
            }
            if (budget?.take(now)) granted.push(now);
          }
          return granted.every(end => {
            const within = (at: number) => at > end - windowMs && at <= end;
            const resends = granted.filter(within).length;
            return resends <= 0.1 * traffic.filter(within).length + pool;
          });
        }),
        {seed: 15, numRuns: 3},
      );
    },
  );
});
