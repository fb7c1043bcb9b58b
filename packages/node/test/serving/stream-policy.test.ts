import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createWholeText, StreamWorld } from "./fixture.ts";
import { TestPermit } from "./test-permit.ts";

const TOKENS = 50;
const WHOLE_TEXT = createWholeText(TOKENS);
const TARGET_MS = 15_000;

describe("the policy of streams", () => {
  let world: StreamWorld;

  beforeEach(async () => {
    world = new StreamWorld();
    world.rules =
      `rank normal first-token=${TARGET_MS}ms floor=20% worth=3 # tests\n`;
    await world.start();
    expect(world.servable).toBe(2);
  });

  afterEach(() => world.stop());

  describe("routing", () => {
    it("gives equal prompts to the group that holds the prefix", async () => {
      for (let index = 0; index < 12; index++) {
        world.begin({ request: `same${index}` });
        await world.clock.advance(2000);
      }
      const addresses = new Set(world.asked.map(({ address }) => address));
      expect(world.asked).toHaveLength(12);
      expect(addresses.size).toBe(1);
    });

    it("hashes the prompt once for all attempts of a request", async () => {
      const hash = vi.spyOn(world.node.find("router"), "hashPrompt");
      world.tamper = cutFirstAttempts(3);
      const received = world.begin();
      await world.clock.advance(20_000);
      expect(received.text).toBe(WHOLE_TEXT);
      expect(world.asked.length).toBeGreaterThan(3);
      expect(hash).toHaveBeenCalledTimes(1);
    });

    it("reports gaps between tokens without the wait for the first", async () => {
      const note = vi.spyOn(world.node.find("router"), "noteTokenGap");
      world.tamper = async function* (events) {
        await world.clock.sleep(3000);
        yield* events;
      };
      const received = world.begin();
      await world.clock.advance(6000);
      expect(received.text).toBe(WHOLE_TEXT);
      expect(note).toHaveBeenCalledTimes(Math.floor((TOKENS - 1) / 8));
      for (const [, ms] of note.mock.calls) {
        expect(ms).toBeLessThanOrEqual(10);
      }
    });

    it("does not report a slow caller as a slow group", async () => {
      const note = vi.spyOn(world.node.find("router"), "noteTokenGap");
      const received = world.begin({
        sink: { write: () => world.clock.sleep(200) },
      });
      await world.clock.advance(20_000);
      expect(received.outcome).toBe("complete");
      for (const [, ms] of note.mock.calls) {
        expect(ms).toBeLessThanOrEqual(10);
      }
    });
  });

  describe("admission", () => {
    it("passes the permit's priority to the engine", async () => {
      world.permit = new TestPermit(0);
      world.begin({ rank: "batch" });
      await world.clock.advance(1000);
      expect(world.priorities).toEqual([0]);
    });

    it("notes the first token of each attempt, not each chunk", async () => {
      world.tamper = cutFirstAttempts(2);
      const received = world.begin();
      await world.clock.advance(20_000);
      expect(received.text).toBe(WHOLE_TEXT);
      expect(world.asked).toHaveLength(3);
      expect(world.permit.firstTokens).toBe(3);
    });

    it("reports the load of the admission to peers and lookup", () => {
      const admission = world.node.find("admission");
      vi.spyOn(admission, "load", "get").mockReturnValue(0.6);
      expect(world.node.find("peers").load).toBe(0.6);
    });
  });

  describe("retries", () => {
    it("takes one retry for each attempt after the first", async () => {
      const take = vi.spyOn(world.node.find("admission"), "mayRetry");
      world.tamper = cutFirstAttempts(2);
      world.begin();
      await world.clock.advance(20_000);
      expect(take.mock.calls).toEqual([["normal"], ["normal"]]);
    });

    it("pauses as the admission draws when an attempt brought nothing", async () => {
      const admission = world.node.find("admission");
      const draw = vi.spyOn(admission, "drawRetryPauseMs").mockReturnValue(700);
      for (const address of world.platform.engines.keys()) {
        world.platform.network.setMode("n1", address, "refuse");
      }
      world.begin();
      await world.clock.advance(600);
      expect(draw).toHaveBeenCalledWith(1);
      expect(world.asked).toHaveLength(1);
    });

    it("waits for the first token as long as the rank's target", async () => {
      world.tamper = async function* (events) {
        await world.clock.sleep(TARGET_MS - 1000);
        yield* events;
      };
      const received = world.begin();
      await world.clock.advance(TARGET_MS + 1000);
      expect(received.text).toBe(WHOLE_TEXT);
      expect(world.asked).toHaveLength(1);
    });
  });

  describe("a yield", () => {
    it("cancels on the engine and goes on from the last token", async () => {
      const { permit } = world;
      permit.next = new TestPermit(2);
      const take = vi.spyOn(world.node.find("admission"), "mayRetry");
      const received = world.begin({ rank: "batch" });
      await world.clock.advance(200);
      const { tokens } = received;
      permit.yielding.abort();
      await world.clock.advance(5000);
      expect(tokens).toBeGreaterThan(0);
      expect(tokens).toBeLessThan(TOKENS);
      expect(world.cancelled).toEqual(["req1"]);
      expect(world.asked[1]?.offset).toBe(tokens);
      expect(world.priorities).toEqual([1, 2]);
      expect(received.text).toBe(WHOLE_TEXT);
      expect(permit.released).toBe(tokens);
      expect(take).not.toHaveBeenCalled();
    });

    it("asks for a place again when an answer has begun", async () => {
      const { permit } = world;
      const received = world.begin({ rank: "batch" });
      await world.clock.advance(200);
      permit.yielding.abort();
      await world.clock.advance(1000);
      expect(permit.resumes).toBeGreaterThan(1);
      expect(permit.released).toBeUndefined();
      permit.next = new TestPermit();
      await world.clock.advance(10_000);
      expect(received.text).toBe(WHOLE_TEXT);
    });

    it("refuses a request without tokens that gets no new place", async () => {
      const { permit } = world;
      world.tamper = async function* (events) {
        await world.clock.sleep(3000);
        yield* events;
      };
      const received = world.begin({ rank: "batch" });
      await world.clock.advance(200);
      permit.yielding.abort();
      await world.clock.advance(1000);
      expect(permit.resumes).toBe(1);
      expect(received.outcome).toMatchObject({
        code: "overloaded",
        verdict: "may-have-run",
      });
    });
  });
});

/** Ends the first connections after ten tokens each. */
function cutFirstAttempts(attempts: number) {
  return async function* (events: AsyncIterable<Uint8Array>, attempt: number) {
    let sent = 0;
    for await (const event of events) {
      yield event;
      sent++;
      if (attempt <= attempts && sent === 10) {
        return;
      }
    }
  };
}
