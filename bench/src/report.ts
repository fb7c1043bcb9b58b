/**
 * Figures as JSON, one object a line.
 *
 * @module
 */

/** One figure, with its baseline where there is one. */
export interface Figure {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
  readonly baseline?: number;
  readonly seed: number;
}

const DIGITS = 4;

/** Prints one figure. */
export function writeFigure({ name, value, unit, baseline, seed }: Figure) {
  console.log(JSON.stringify({
    name,
    value: round(value),
    unit,
    baseline: baseline === undefined ? null : round(baseline),
    ratio: baseline === undefined || baseline === 0
      ? null
      : round(value / baseline),
    seed,
  }));
}

function round(value: number): number {
  return Number(value.toPrecision(DIGITS));
}
