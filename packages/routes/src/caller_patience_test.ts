import {describe, expect, it} from 'vitest';
import {CallerPatience} from './caller_patience';

function learnt(): CallerPatience {
  const patience = new CallerPatience();
  for (let i = 0; i < 100; i++) patience.waitedMs('a', 1_200);
  return patience;
}

describe('CallerPatience', () => {
  it('tells how long a caller that comes back has waited', () => {
    const patience = learnt();
    expect(patience.waitedMs('a', 1_000)).toBe(200);
    expect(patience.waitedMs('a', 1_190)).toBe(0);
    expect(patience.waitedMs('a', 1_500)).toBe(0);
    expect(patience.waitedMs('a', 1_200)).toBe(300);
  });

  it('takes all callers of a route for new while it knows few of them', () => {
    const patience = new CallerPatience();
    patience.waitedMs('a', 1_200);
    expect(patience.waitedMs('a', 900)).toBe(0);
  });

  it('takes callers for new where each starts with a time of its own', () => {
    const patience = new CallerPatience();
    const waited = Array.from({length: 300}, (_, i) =>
      patience.waitedMs('nested', 200 + ((i * 37) % 900)),
    );
    expect(waited.slice(50).every(ms => ms === 0)).toBe(true);
  });
});
