import { Kernel, ManualClock } from "@zinniahill/kernel";
import { Result } from "true-myth";
import { describe, expect, it } from "vitest";
import type { Instance } from "../../src/index.ts";
import { ProcessExaminer } from "../../src/routing/process-examiner.ts";
import type { RelayKernel, RelayServices } from "../../src/services.ts";

const INSTANCE = { id: "i-1", bornAt: 1, address: "10.0.0.1:80" } as Instance;

type Answer = "running" | "gone" | "another" | "reset" | "silent";

const REPLIES: Readonly<Record<Answer, unknown>> = {
  running: Result.ok({ bornAt: 1 }),
  another: Result.ok({ bornAt: 2 }),
  gone: Result.err({ isGone: true }),
  reset: Result.err({ message: "reset" }),
  silent: Result.err({ message: "timeout" }),
};

/** Creates an examiner; each report is answered as the next one of these. */
async function create(...answers: Answer[]) {
  const clock = new ManualClock();
  let reports = 0;
  const kernel: RelayKernel = new Kernel<RelayServices>();
  kernel
    .provide("clock", [], () => clock)
    .provide(
      "logger",
      [],
      () => ({ error() {}, warn() {}, info() {}, debug() {} }),
    )
    .provide("engines", [], () =>
      ({
        requestReport: async (
          _target: unknown,
          timeoutMs: number,
          signal: AbortSignal,
        ) => {
          const answer = answers[Math.min(reports++, answers.length - 1)]!;
          await clock.sleep(answer === "silent" ? timeoutMs : 5, signal);
          return REPLIES[answer];
        },
      }) as never);
  await kernel.start();
  return { clock, examiner: new ProcessExaminer(kernel), count: () => reports };
}

async function ask(...answers: Answer[]): Promise<boolean | undefined> {
  const { clock, examiner } = await create(...answers);
  let hasEnded: boolean | undefined;
  void examiner.hasEndedByNow(INSTANCE).then((result) => hasEnded = result);
  await clock.advance(1000);
  return hasEnded;
}

describe("ProcessExaminer", () => {
  describe("the end of a process by now", () => {
    it("is seen at its port and by its start", async () => {
      expect(await ask("gone")).toBe(true);
      expect(await ask("another")).toBe(true);
      expect(await ask("running")).toBe(false);
    });

    // Guards against a killed process whose port is closed after its
    // connections.
    it("is asked again if the call is reset", async () => {
      expect(await ask("reset", "gone")).toBe(true);
      expect(await ask("reset", "running")).toBe(false);
    });

    it("is not assumed of a silent process", async () => {
      expect(await ask("silent")).toBe(false);
    });

    // Guards against an answer of the process from before it ended.
    it("is not read from an examination that began before", async () => {
      const { clock, examiner, count } = await create("running", "gone");
      void examiner.examine(INSTANCE);
      const asked = [1, 2, 3].map(() => examiner.hasEndedByNow(INSTANCE));
      await clock.advance(1000);
      expect(await Promise.all(asked)).toEqual([true, true, true]);
      expect(count()).toBe(2);
    });
  });
});
