import {describe, expect, it} from 'vitest';
import {CallerPatience} from './caller_patience';

function learnt(): CallerPatience {
  const patience = new CallerPatience();
  for (let i = 0; i < 100; i++) patience.historyOf('a', 1_200);
  return patience;
}

describe('CallerPatience', () => {
  it('tells how long a caller that comes back has waited', () => {
    const patience = learnt();
    const returning = (waitedMs: number) => ({type: 'returning', waitedMs});
    expect(patience.historyOf('a', 1_000)).toEqual(returning(200));
    expect(patience.historyOf('a', 1_190)).toEqual({type: 'new'});
    expect(patience.historyOf('a', 1_500)).toEqual({type: 'new'});
    expect(patience.historyOf('a', 1_200)).toEqual(returning(300));
  });

  it('takes all callers of a route for new while it knows few of them', () => {
    const patience = new CallerPatience();
    patience.historyOf('a', 1_200);
    expect(patience.historyOf('a', 900)).toEqual({type: 'new'});
  });

  it('takes callers for new where each starts with a time of its own', () => {
    const patience = new CallerPatience();
    const types = Array.from(
      {length: 300},
      (_, i) => patience.historyOf('nested', 200 + ((i * 37) % 900)).type,
    );
    expect(new Set(types.slice(50))).toEqual(new Set(['new']));
  });
});
