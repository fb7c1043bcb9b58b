import { ManualClock } from "@zinniahill/kernel";
import { LOG_END, MemoryPlatform } from "@zinniahill/stand-ins";
import { beforeEach, describe, expect, it } from "vitest";
import type { ControlState } from "../../src/state/control-state.ts";
import {
  createConfiguration,
  createControlState,
  createHostDrain,
  RecordingLogger,
} from "./cluster.ts";

const TIMEOUT_MS = 20_000;

describe("ControlState", () => {
  let clock: ManualClock;
  let platform: MemoryPlatform;
  let logger: RecordingLogger;
  let signal: AbortSignal;

  beforeEach(() => {
    clock = new ManualClock();
    platform = new MemoryPlatform(clock);
    logger = new RecordingLogger();
    signal = new AbortController().signal;
  });

  function startState(name: string): ControlState {
    return createControlState(clock, platform.createClients(name).log, logger);
  }

  /** Advances the clock until a promise has settled. */
  async function advanceUntilSettled<Value>(
    work: Promise<Value>,
  ): Promise<Value> {
    let isDone = false;
    void work.finally(() => {
      isDone = true;
    });
    for (let ms = 0; ms < TIMEOUT_MS && !isDone; ms += 100) {
      await clock.advance(100);
    }
    return await work;
  }

  describe("reading", () => {
    it("applies more entries than fit in one page", async () => {
      for (let entry = 1; entry <= 1200; entry++) {
        const records = [createHostDrain(`${entry}`, entry % 2 === 0)];
        platform.log.append("control", records);
      }
      const state = startState("a");
      await clock.advance(100);
      expect(state.control.asOf).toBe(1200);
      expect([...state.control.drainedHosts]).toEqual(["h1"]);
    });

    it("skips and counts unknown and invalid records", async () => {
      const known = createConfiguration("c", 0, "one");
      const broken = { ...known, id: "d", basis: "one" };
      platform.log.append("control", [{ kind: "later" }, null, 7, known]);
      platform.log.append("control", [broken]);
      platform.log.append("control", []);
      const readers = [startState("a"), startState("b")];
      await clock.advance(100);
      for (const reader of readers) {
        expect(reader.control.asOf).toBe(3);
        expect(reader.control.configuration.version).toBe(1);
        expect(reader.dump()).toMatchObject({ unknownRecords: 4 });
      }
      expect(logger.count("record_unknown")).toBe(8);
    });

    it("continues from its offset after an outage of the log", async () => {
      const state = startState("a");
      platform.log.append("control", [createConfiguration("c", 0, "one")]);
      await clock.advance(100);
      platform.log.faults.isDown = true;
      await clock.advance(30_000);
      expect(state.isLogReachable).toBe(false);
      expect(state.rules?.models.has("one")).toBe(true);
      platform.log.append("control", [createConfiguration("d", 1, "two")]);
      platform.log.faults.isDown = false;
      await clock.advance(1000);
      expect(state.isLogReachable).toBe(true);
      expect(state.rules?.models.has("two")).toBe(true);
    });

    it("keeps its state when the log ends before its offset", async () => {
      const state = startState("a");
      platform.log.append("control", [createConfiguration("c", 0, "one")]);
      platform.log.append("control", [createConfiguration("d", 1, "two")]);
      await clock.advance(100);
      platform.log.faults.isDown = true;
      await clock.advance(5000);
      const emptied = new MemoryPlatform(clock);
      platform.log.handleRead = (stream, query) =>
        emptied.log.handleRead(stream, query);
      await clock.advance(5000);
      expect(state.control.configuration.version).toBe(2);
      expect(state.dump()).toMatchObject({ reading: "truncated" });
    });
  });

  describe("proposals", () => {
    it("returns the decision when the reply to the append is lost", async () => {
      const state = startState("a");
      await clock.advance(100);
      platform.network.setMode("a", LOG_END, "reply-lost");
      const proposal = state.propose(
        createConfiguration("c", 0, "one"),
        signal,
      );
      await clock.advance(500);
      platform.network.setMode("a", LOG_END, "pass");
      const decision = await advanceUntilSettled(proposal);
      expect(decision.isOk && decision.value.accepted).toBe(true);
    });

    it("repeats an append that never reached the log, with the same id", async () => {
      const state = startState("a");
      await clock.advance(100);
      platform.network.setMode("a", LOG_END, "silent");
      const proposal = state.propose(
        createConfiguration("c", 0, "one"),
        signal,
      );
      await clock.advance(2500);
      platform.network.setMode("a", LOG_END, "pass");
      const decision = await advanceUntilSettled(proposal);
      expect(decision.isOk && decision.value.accepted).toBe(true);
      expect(platform.log.entries("control").length).toBe(1);
    });

    it("refuses with not-run only when nothing was sent", async () => {
      const state = startState("a");
      await clock.advance(100);
      platform.network.setMode("a", LOG_END, "refuse");
      const refused = await advanceUntilSettled(
        state.propose(createHostDrain("x", true), signal),
      );
      expect(refused.isErr && refused.error.verdict).toBe("not-run");
      expect(platform.log.entries("control").length).toBe(0);
    });

    it("refuses with may-have-run when the record is not read back", async () => {
      const state = startState("a");
      await clock.advance(100);
      platform.network.setMode("a", LOG_END, "reply-lost");
      const unknown = await advanceUntilSettled(
        state.propose(createHostDrain("x", true), signal),
      );
      expect(unknown.isErr && unknown.error.verdict).toBe("may-have-run");
      expect(platform.log.entries("control").length).toBeGreaterThan(0);
    });

    it("returns the decision while the log is slow", async () => {
      const state = startState("a");
      await clock.advance(100);
      platform.log.faults.delayMs = 1500;
      const decision = await advanceUntilSettled(
        state.propose(createConfiguration("c", 0, "one"), signal),
      );
      expect(decision.isOk && decision.value.accepted).toBe(true);
    });

    it("accepts one of two concurrent edits and refuses the other", async () => {
      const [first, second] = [startState("a"), startState("b")];
      await clock.advance(100);
      const proposals = [
        first.propose(createConfiguration("c", 0, "one"), signal),
        second.propose(createConfiguration("d", 0, "two"), signal),
      ];
      const decisions = await advanceUntilSettled(Promise.all(proposals));
      const accepted = decisions.map((decision) =>
        decision.isOk && decision.value.accepted
      );
      expect(accepted.filter(Boolean).length).toBe(1);
      expect(first.control.createSnapshot())
        .toEqual(second.control.createSnapshot());
    });

    it("returns the first decision for a repeat with the same id", async () => {
      const state = startState("a");
      await clock.advance(100);
      const record = createConfiguration("c", 0, "one");
      await advanceUntilSettled(state.propose(record, signal));
      const repeat = await advanceUntilSettled(state.propose(record, signal));
      expect(repeat.isOk && repeat.value.accepted).toBe(true);
      expect(state.control.configuration.version).toBe(1);
    });
  });
});
