/**
 * Straight lines through measured points.
 *
 * @module
 */

/** A measured value at a size. */
export interface Point {
  readonly size: number;
  readonly value: number;
}

/** A line `base + perUnit × size`. */
export interface Line {
  readonly base: number;
  readonly perUnit: number;
}

/** Fits a line by least squares; needs at least two sizes. */
export function fitLine(points: readonly Point[]): Line {
  const count = points.length;
  const meanSize = points.reduce((sum, { size }) => sum + size, 0) / count;
  const meanValue = points.reduce((sum, { value }) => sum + value, 0) / count;
  let covariance = 0;
  let variance = 0;
  for (const { size, value } of points) {
    covariance += (size - meanSize) * (value - meanValue);
    variance += (size - meanSize) ** 2;
  }
  const perUnit = covariance / variance;
  return { base: meanValue - perUnit * meanSize, perUnit };
}
