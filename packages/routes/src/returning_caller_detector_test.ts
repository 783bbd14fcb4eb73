import {describe, expect, it} from 'vitest';
import {ReturningCallerDetector} from './returning_caller_detector';

function trainedDetector(): ReturningCallerDetector {
  const detector = new ReturningCallerDetector();
  for (let i = 0; i < 100; i++) detector.classify('a', 1_200);
  return detector;
}

describe('ReturningCallerDetector', () => {
  it('reports how long a returning caller has waited', () => {
    const detector = trainedDetector();
    const returning = (waitedMs: number) => ({type: 'returning', waitedMs});
    expect(detector.classify('a', 1_000)).toEqual(returning(200));
    expect(detector.classify('a', 1_190)).toEqual({type: 'new'});
    expect(detector.classify('a', 1_500)).toEqual({type: 'new'});
    expect(detector.classify('a', 1_200)).toEqual(returning(300));
  });

  it('classifies all callers of a route as new after few requests', () => {
    const detector = new ReturningCallerDetector();
    detector.classify('a', 1_200);
    expect(detector.classify('a', 900)).toEqual({type: 'new'});
  });

  it('classifies callers as new where each starts with a different timeout', () => {
    const detector = new ReturningCallerDetector();
    const types = Array.from(
      {length: 300},
      (_, i) => detector.classify('nested', 200 + ((i * 37) % 900)).type,
    );
    expect(new Set(types.slice(50))).toEqual(new Set(['new']));
  });
});
