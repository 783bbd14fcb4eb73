import {describe, expect, it} from 'vitest';
import {fitLine, valueAt} from './fit';

describe('fitLine', () => {
  it('finds base and slope', () => {
    const line = fitLine([
      [1, 5],
      [2, 7],
      [4, 11],
    ]);
    expect(line.base).toBeCloseTo(3);
    expect(line.slope).toBeCloseTo(2);
    expect(line.residual).toBeCloseTo(0);
    expect(valueAt(line, 10)).toBeCloseTo(23);
  });
});
