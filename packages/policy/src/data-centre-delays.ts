/**
 * Network delays between data centres.
 *
 * @module
 */

/** One-way delay between two data centres, or between their regions. */
export interface DelayRow {
  readonly from: string;
  readonly to: string;
  readonly delayMs: number;
}

/** Assumed between data centres for which no delay is configured. */
const DEFAULT_DELAY_MS = 1;

/** Delays from one data centre to the others. */
export class DataCentreDelays {
  #own: string;
  #regions: Readonly<Record<string, string>>;
  #rows: readonly DelayRow[];
  #cache = new Map<string, number>();

  /** `regions` gives the region of each data centre. */
  constructor(
    own: string,
    regions: Readonly<Record<string, string>>,
    rows: readonly DelayRow[],
  ) {
    this.#own = own;
    this.#regions = regions;
    this.#rows = rows;
  }

  /** The one-way delay to a data centre; a row of either direction applies. */
  find(dataCentre: string): number {
    const known = this.#cache.get(dataCentre);
    if (known !== undefined) {
      return known;
    }
    const delayMs = dataCentre === this.#own
      ? 0
      : this.#findRow(this.#own, dataCentre) ??
        this.#findRow(
          this.#regions[this.#own],
          this.#regions[dataCentre],
        ) ?? DEFAULT_DELAY_MS;
    this.#cache.set(dataCentre, delayMs);
    return delayMs;
  }

  #findRow(a: string | undefined, b: string | undefined): number | undefined {
    const row = this.#rows.find(({ from, to }) => from === a && to === b) ??
      this.#rows.find(({ from, to }) => from === b && to === a);
    return row?.delayMs;
  }
}
