/**
 * Times in a histogram.
 *
 * @module
 */
import { build, type Histogram } from "hdr-histogram-js";

const UNITS_PER_MS = 10;
const MAX_MS = 600_000;

/** Times in milliseconds with a resolution of 0.1 ms. */
export class Times {
  #histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_MS * UNITS_PER_MS,
    numberOfSignificantValueDigits: 3,
  });

  get count(): number {
    return this.#histogram.totalCount;
  }

  record(ms: number): void {
    this.#histogram.recordValue(Math.max(1, Math.round(ms * UNITS_PER_MS)));
  }

  at(percentile: number): number {
    return this.#histogram.getValueAtPercentile(percentile) / UNITS_PER_MS;
  }
}
