import {describe, expect, it} from 'vitest';
import {ReturningCallerDetector} from './returning_caller_detector';

function trainedDetector(): ReturningCallerDetector {
  const detector = new ReturningCallerDetector();
  for (let i = 0; i < 100; i++) detector.classify('a', 1_200);
  return detector;
}

describe('CallerPatience', () => {
  it('tells how long a caller that comes back has waited', () => {
    const detector = trainedDetector();
    const returning = (waitedMs: number) => ({type: 'returning', waitedMs});
    expect(detector.classify('a', 1_000)).toEqual(returning(200));
    expect(detector.classify('a', 1_190)).toEqual({type: 'new'});
    expect(detector.classify('a', 1_500)).toEqual({type: 'new'});
    expect(detector.classify('a', 1_200)).toEqual(returning(300));
  });

  it('takes all callers of a route for new while it knows few of them', () => {
    const detector = new ReturningCallerDetector();
    detector.classify('a', 1_200);
    expect(detector.classify('a', 900)).toEqual({type: 'new'});
  });

  it('takes callers for new where each starts with a time of its own', () => {
    const detector = new ReturningCallerDetector();
    const types = Array.from(
      {length: 300},
      (_, i) => detector.classify('nested', 200 + ((i * 37) % 900)).type,
    );
    expect(new Set(types.slice(50))).toEqual(new Set(['new']));
  });
});
