import { spawnSync } from "node:child_process";
import {
  closeSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import {
  BoundedSink,
  LineLogger,
  ManualClock,
  SystemClock,
} from "../src/index.ts";

let folder = "";

beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), "zinniahill-log-"));
});

afterEach(() => rmSync(folder, { recursive: true }));

async function waitForWrites(): Promise<void> {
  await new SystemClock().sleep(100);
}

describe("LineLogger", () => {
  describe("volume", () => {
    it("leaves out lines of one event over the limit and logs how many", async () => {
      const file = join(folder, "log");
      const descriptor = openSync(file, "w");
      const clock = new ManualClock();
      const logger = new LineLogger({
        level: "info",
        fields: { node: "n1" },
        sink: new BoundedSink(descriptor),
        clock,
      });
      for (let line = 0; line < 1000; line++) {
        logger.info("flood", { line });
      }
      logger.info("other");
      await clock.advance(2000);
      logger.info("later");
      await waitForWrites();
      closeSync(descriptor);
      const lines = readFileSync(file, "utf8").trim().split("\n");
      expect(lines.filter((line) => line.includes("event=flood")).length)
        .toBeLessThan(1000);
      expect(lines.some((line) => line.includes("event=other"))).toBe(true);
      expect(
        lines.some((line) =>
          /event=log_lines_left_out node=n1 of=flood lines=\d+/.test(line)
        ),
      ).toBe(true);
    });
  });

  describe("a reader that stalls", () => {
    it("does not block the process", async () => {
      const pipe = join(folder, "pipe");
      spawnSync("mkfifo", [pipe]);
      // Opening for reading and writing does not block, and nothing reads.
      const descriptor = openSync(pipe, "r+");
      const sink = new BoundedSink(descriptor, 100_000);
      const clock = new SystemClock();
      const startedAt = clock.now();
      for (let line = 0; line < 10_000; line++) {
        sink.write(`${"x".repeat(100)}\n`);
      }
      expect(clock.now() - startedAt).toBeLessThan(2000);
      await waitForWrites();
      expect(sink.droppedLines).toBeGreaterThan(5000);
      // Reading the pipe completes the pending write.
      const drain = spawnSync("head", ["-c", "60000", pipe]);
      expect(drain.stdout.length).toBeGreaterThan(0);
      await waitForWrites();
      closeSync(descriptor);
    });
  });
});
