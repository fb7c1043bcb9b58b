/**
 * What the matrix prints.
 *
 * @module
 */
import { existsSync, readFileSync } from "node:fs";
import type { Finding, Guarantee } from "./judgements.ts";
import { GUARANTEES, type RowResult } from "./scenario.ts";

const KNOWN_RED_FILE = new URL("../../../KNOWN-RED.txt", import.meta.url);
const KNOWN_ROW = /^matrix ([^\s:]+):/;

const MARKS: { readonly [State in Finding["state"]]: string } = {
  "kept": "kept",
  "not exercised": "-",
  "broken": "BROKEN",
};

/** Reads the ids of rows that are known to be red. */
export function readKnownRows(file: URL = KNOWN_RED_FILE): Set<string> {
  const lines = existsSync(file) ? readFileSync(file, "utf8").split("\n") : [];
  const ids = lines.map((line) => KNOWN_ROW.exec(line)?.[1]);
  return new Set(ids.filter((id) => id !== undefined));
}

/** Prints rows as they come and counts them. */
export class Report {
  #known: ReadonlySet<string>;
  #results: RowResult[] = [];

  constructor(known: ReadonlySet<string>) {
    this.#known = known;
  }

  /** 1 when a guarantee broke in a row that is not known, or a step never came. */
  get exitCode(): number {
    return this.#listNew().length > 0 ? 1 : 0;
  }

  /** Prints one row. */
  add(result: RowResult): void {
    this.#results.push(result);
    const { row, isReached, findings } = result;
    const marks = GUARANTEES.map((guarantee) =>
      `${guarantee}=${MARKS[findings[guarantee].state]}`
    ).join(" ");
    const flags = [
      isReached ? "" : " step-not-reached",
      isRed(result) && this.#known.has(row.id) ? " known" : "",
    ].join("");
    console.log(`${row.id} ${marks}${flags}`);
    for (const guarantee of GUARANTEES) {
      const finding = findings[guarantee];
      if (finding.state === "broken") {
        console.log(`  ${guarantee}: ${finding.reason}`);
      }
    }
  }

  /** Prints the counts by fault and by guarantee. */
  summarize(): void {
    const faults = new Set(
      this.#results.map(({ row }) =>
        row.injections.map(({ fault }) => fault).join("+")
      ),
    );
    for (const fault of faults) {
      const own = this.#results.filter(({ row }) =>
        row.injections.map((injection) => injection.fault).join("+") === fault
      );
      console.log(
        `fault ${fault}: ${own.length} rows, ${own.filter(isRed).length} red`,
      );
    }
    for (const guarantee of GUARANTEES) {
      const { kept, broken, untested } = this.#count(guarantee);
      console.log(
        `${guarantee}: ${kept} kept, ${broken} broken, ` +
          `${untested} not exercised`,
      );
    }
    console.log(JSON.stringify({
      rows: this.#results.length,
      red: this.#results.filter(isRed).length,
      newRed: this.#listNew().length,
      notReached: this.#results.filter(({ isReached }) => !isReached).length,
    }));
  }

  #count(guarantee: Guarantee) {
    const states = this.#results.map(({ findings }) =>
      findings[guarantee].state
    );
    const count = (state: Finding["state"]) =>
      states.filter((other) => other === state).length;
    return {
      kept: count("kept"),
      broken: count("broken"),
      untested: count("not exercised"),
    };
  }

  #listNew(): RowResult[] {
    return this.#results.filter((result) =>
      (isRed(result) || !result.isReached) && !this.#known.has(result.row.id)
    );
  }
}

function isRed({ findings }: RowResult): boolean {
  return GUARANTEES.some((guarantee) => findings[guarantee].state === "broken");
}
