import { ManualClock } from "@zinniahill/kernel";
import { Result } from "true-myth";
import { describe, expect, it } from "vitest";
import { MemoryNetwork } from "../src/index.ts";

const TIMEOUT_MS = 1000;

describe("MemoryNetwork", () => {
  describe("a call that its caller gives up", () => {
    it("ends with a fault like a real client, and does not throw", async () => {
      const clock = new ManualClock();
      const network = new MemoryNetwork(clock);
      const caller = new AbortController();
      const reply = network.call(
        "node",
        "engine",
        TIMEOUT_MS,
        () => Result.ok("reply"),
        caller.signal,
      );
      caller.abort();
      await clock.advance(TIMEOUT_MS);
      await expect(reply).resolves.toMatchObject({ isErr: true });
    });
  });
});
