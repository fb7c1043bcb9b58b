import { spawn, spawnSync } from "node:child_process";
import { once } from "node:events";
import {
  closeSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
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

  describe("the end of the process", () => {
    const MODULE = new URL("../dist/index.js", import.meta.url);

    /** Logs more than a pipe holds, and ends after `stop`. */
    function spawnLogger() {
      const script = `
        const { LineLogger } = await import("${MODULE}");
        const logger = new LineLogger({ level: "info", fields: {} });
        for (let line = 0; line < 250; line++) {
          logger.info("long", { text: "x".repeat(2000) });
        }
        logger.info("last");
        await logger.stop();
        process.exit(0);
      `;
      return spawn(process.execPath, ["--input-type=module", "-e", script], {
        stdio: ["ignore", "pipe", "inherit"],
      });
    }

    // Guards against a process that ends before its last lines are written.
    it("waits until its reader has all lines", async () => {
      const child = spawnLogger();
      let read = "";
      child.stdout.on("data", (data) => read += data);
      await once(child, "close");
      expect(read).toContain("event=last");
    });

    it("does not wait long for a reader that stalls", async () => {
      const child = spawnLogger();
      await once(child.stdout, "readable");
      const [code] = await once(child, "exit");
      expect(code).toBe(0);
      child.stdout.destroy();
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
