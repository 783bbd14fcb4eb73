import {describe, expect, it} from 'vitest';
import {refusalKind, requestOutcome} from './server_refusals';

const load = (running: number) => ({
  running,
  waiting: 0,
  slots: 8,
  slowdown: 1,
});

describe('refusalKind', () => {
  it('distinguishes a full server from one that rejects with free slots', () => {
    expect(refusalKind('notRun', load(8))).toBe('shedByServer');
    expect(refusalKind('notRun', load(7))).toBe('rejectedByServer');
  });

  it('treats a refusal as shedding if the load is unknown', () => {
    expect(refusalKind('notRun', undefined)).toBe('shedByServer');
  });

  it('returns undefined for an answer', () => {
    expect(refusalKind('answer', load(8))).toBeUndefined();
  });
});

describe('requestOutcome', () => {
  it.each([
    ['shedByServer', 503, 'shed'],
    ['rejectedByServer', 503, 'rejected'],
    [undefined, 504, 'failed'],
    [undefined, 404, 'ok'],
  ] as const)('%s with %i is %s', (refusal, status, outcome) => {
    expect(requestOutcome(refusal, status)).toBe(outcome);
  });
});
