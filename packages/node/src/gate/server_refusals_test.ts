import {describe, expect, it} from 'vitest';
import {requestOutcome, refusalKind} from './server_refusals';

const load = (running: number) => ({
  running,
  waiting: 0,
  slots: 8,
  slowdown: 1,
});

describe('refusalKind', () => {
  it('tells a server without room from one that rejects with room', () => {
    expect(refusalKind('notRun', load(8))).toBe('shedByServer');
    expect(refusalKind('notRun', load(7))).toBe('rejectedByServer');
  });

  it('takes a refusal for a lack of room where the load is not known', () => {
    expect(refusalKind('notRun', undefined)).toBe('shedByServer');
  });

  it('finds no refusal in an answer', () => {
    expect(refusalKind('answer', load(8))).toBeUndefined();
  });
});

describe('outcomeOf', () => {
  it.each([
    ['shedByServer', 503, 'shed'],
    ['rejectedByServer', 503, 'rejected'],
    [undefined, 504, 'failed'],
    [undefined, 404, 'ok'],
  ] as const)('%s with %i is %s', (refusal, status, outcome) => {
    expect(requestOutcome(refusal, status)).toBe(outcome);
  });
});
