import { describe, expect, it } from "vitest";
import type { FaultName } from "../src/matrix/faults.ts";
import type { Guarantee } from "../src/matrix/judgements.ts";
import { type MechanismName, MECHANISMS } from "../src/matrix/mechanisms.ts";
import { ROWS } from "../src/matrix/rows.ts";
import { type RowResult, runRow } from "../src/matrix/scenario.ts";
import type { StepName } from "../src/matrix/steps.ts";

const SEED = 20_261_204;

interface Example {
  readonly without: MechanismName;
  readonly fault: FaultName;
  readonly step: StepName;
  readonly guarantee: Guarantee;
}

/** For each guarantee, a row that only its mechanism keeps green. */
const EXAMPLES: readonly Example[] = [
  {
    without: "evidence",
    fault: "host-lost",
    step: "serve",
    guarantee: "P1",
  },
  {
    without: "agreement",
    fault: "node-returns",
    step: "claim",
    guarantee: "P2",
  },
  {
    without: "resume",
    fault: "engine-silent",
    step: "stream",
    guarantee: "P3",
  },
  {
    without: "token-index",
    fault: "answer-repeated",
    step: "stream",
    guarantee: "P3",
  },
  {
    without: "verdict",
    fault: "reply-lost",
    step: "dispatch",
    guarantee: "P4",
  },
  { without: "intent", fault: "flood", step: "stream", guarantee: "P5" },
  {
    without: "drain",
    fault: "host-maintenance",
    step: "stream",
    guarantee: "P6",
  },
  {
    without: "planned-stop",
    fault: "answer-late",
    step: "stop",
    guarantee: "P7",
  },
  {
    without: "configuration",
    fault: "log-slow",
    step: "claim",
    guarantee: "P8",
  },
];

function run(
  fault: FaultName,
  step: StepName,
  without: MechanismName,
): Promise<RowResult> {
  const row = { id: `${fault}@${step}`, injections: [{ fault, step }] };
  return runRow(row, MECHANISMS[without], SEED);
}

describe("rows of the matrix", () => {
  describe("with a mechanism taken away", () => {
    for (const { without, fault, step, guarantee } of EXAMPLES) {
      it(`breaks ${guarantee} without ${without}, so that it can fail`, async () => {
        const { isReached, findings } = await run(fault, step, without);
        expect(isReached).toBe(true);
        expect(findings[guarantee].state).toBe("broken");
      });
    }
  });

  describe("with every mechanism", () => {
    for (const { fault, step, guarantee } of EXAMPLES) {
      it(`keeps ${guarantee} at ${fault}@${step}, so that red means a fault`, async () => {
        const { findings } = await run(fault, step, "nothing");
        expect(findings[guarantee].state).not.toBe("broken");
      });
    }

    it("gives the same findings twice, so that a verdict can be repeated", async () => {
      const first = await run("node-paused", "assign", "nothing");
      const second = await run("node-paused", "assign", "nothing");
      expect(second).toEqual(first);
    });
  });

  describe("as a list", () => {
    it("names each row once, so that a known row is one row", () => {
      const ids = ROWS.map(({ id }) => id);
      expect(new Set(ids).size).toBe(ids.length);
    });
  });
});
