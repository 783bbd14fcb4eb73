/** Straight lines through measured points. */

/** base + slope × size, and how far the points lie from it. */
export interface Line {
  readonly base: number;
  readonly slope: number;
  /** Root of the mean squared distance. */
  readonly residual: number;
}

/** Least-squares line. */
export function fitLine(
  points: ReadonlyArray<readonly [number, number]>,
): Line {
  const n = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / n;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / n;
  const covariance = points.reduce(
    (sum, [x, y]) => sum + (x - meanX) * (y - meanY),
    0,
  );
  const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const slope = variance === 0 ? 0 : covariance / variance;
  const base = meanY - slope * meanX;
  const squares = points.reduce(
    (sum, [x, y]) => sum + (y - base - slope * x) ** 2,
    0,
  );
  return {base, slope, residual: Math.sqrt(squares / n)};
}

/** Value of a line at a size. */
export function valueAt(line: Line, size: number): number {
  return line.base + line.slope * size;
}
