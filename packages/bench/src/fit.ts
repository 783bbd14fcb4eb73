/** Linear regression on measured points. */

/** The line base + slope × size, and the distance of the points from it. */
export interface Line {
  readonly base: number;
  readonly slope: number;
  /** Root mean square of the vertical distances. */
  readonly residual: number;
}

/** Fits a line to points (size, value) by least squares; its slope is 0 if all sizes are equal. */
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
