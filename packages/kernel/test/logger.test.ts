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

async function settle(): Promise<void> {
  await new SystemClock().sleep(100);
}

describe("LineLogger", () => {
  describe("volume", () => {
    it("leaves out lines of one event beyond the bound and says how many", async () => {
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
      await settle();
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
    it("does not hold the process up", async () => {
      const pipe = join(folder, "pipe");
      spawnSync("mkfifo", [pipe]);
      // Opened for both directions, so that nothing reads and nothing blocks.
      const descriptor = openSync(pipe, "r+");
      const sink = new BoundedSink(descriptor, 100_000);
      const clock = new SystemClock();
      const began = clock.now();
      for (let line = 0; line < 10_000; line++) {
        sink.write(`${"x".repeat(100)}\n`);
      }
      expect(clock.now() - began).toBeLessThan(2000);
      await settle();
      expect(sink.droppedLines).toBeGreaterThan(5000);
      // Reading the pipe lets the write that still waits end.
      const drain = spawnSync("head", ["-c", "60000", pipe]);
      expect(drain.stdout.length).toBeGreaterThan(0);
      await settle();
      closeSync(descriptor);
    });
  });
});
