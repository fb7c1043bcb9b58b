import { Buffer } from "node:buffer";
import type { Log } from "@zinniahill/clients";
import { ServiceRule } from "@zinniahill/schema";
import { beforeEach, describe, expect, it } from "vitest";
import {
  type CallNode,
  CallWorld,
  type PausableClock,
  RECORDS,
  SECOND_RECORDS,
} from "./fixture.ts";

describe("Calls", () => {
  let world: CallWorld;
  let a: CallNode;
  let b: CallNode;

  beforeEach(async () => {
    world = new CallWorld();
    a = await world.startNode("a", 1);
    b = await world.startNode("b", 2);
  });

  describe("repeats", () => {
    it("answers a repeat at another node with the first reply", async () => {
      const first = await world.call(a, "k");
      const second = await world.call(b, "k");
      expect(first).toMatchObject({ status: 201 });
      expect(second).toEqual(first);
      expect(world.records.countRuns("k")).toBe(1);
    });

    it("makes a repeat wait for the outcome of a call that runs", async () => {
      world.records.delayMs = 3000;
      const first = world.begin(a, "k");
      await world.clock.advance(100);
      const second = world.begin(b, "k");
      await world.clock.advance(2000);
      expect(second.told).toBeUndefined();
      await world.clock.advance(2000);
      expect(second.told).toEqual(first.told);
      expect(second.told?.status).toBe(201);
      expect(world.records.countRuns("k")).toBe(1);
    });

    it("answers may-have-run when the running call outlasts the repeat", async () => {
      world.records.delayMs = 30_000;
      world.begin(a, "k");
      await world.clock.advance(5000);
      world.platform.network.setModeOfEnd("a", "silent");
      const told = await world.call(b, "k");
      expect(told).toEqual({
        verdict: "may-have-run",
        code: "call-in-progress",
      });
      expect(world.records.countRuns("k")).toBe(1);
    });

    it("runs one of two that begin at the same moment on two nodes", async () => {
      const answers = [world.begin(a, "k"), world.begin(b, "k")];
      await world.clock.advance(1000);
      expect(answers[0]!.told?.status).toBe(201);
      expect(answers[1]!.told).toEqual(answers[0]!.told);
      expect(world.records.countRuns("k")).toBe(1);
    });

    it("refuses a key that is used again with another body", async () => {
      await world.call(a, "k");
      const told = await world.call(b, "k", { body: Buffer.from("other") });
      expect(told).toEqual({ verdict: "not-run", code: "key-reused" });
      expect(world.records.countRuns("k")).toBe(1);
    });

    it("keeps the keys of two client accounts apart", async () => {
      await world.call(a, "k");
      const told = await world.call(b, "k", { account: "south" });
      expect(told.status).toBe(201);
      expect(world.records.countRuns("k")).toBe(2);
    });

    it("lets a key run after an explicit refusal of its first call", async () => {
      world.records.refuses = true;
      const first = await world.call(a, "k");
      world.records.refuses = false;
      const second = await world.call(b, "k");
      expect(first.verdict).toBe("not-run");
      expect(second.status).toBe(201);
      expect(world.records.countRuns("k")).toBe(1);
    });

    it("tells a repeat that a reply too large to keep has run", async () => {
      const large = Buffer.alloc(20_000);
      const handle = world.records.handle.bind(world.records);
      world.records.handle = async (call) =>
        (await handle(call)).map((reply) => ({ ...reply, body: large }));
      const first = await world.call(a, "k");
      const second = await world.call(b, "k");
      expect(first.body?.length).toBe(large.length);
      expect(second).toEqual({ verdict: "ran", code: "reply-not-kept" });
      expect(world.records.countRuns("k")).toBe(1);
    });
  });

  describe("the log", () => {
    it("runs once when the reply to the append of the intent is lost", async () => {
      world.platform.log.faults.repliesToLose = 1;
      const told = await world.call(a, "k");
      await world.call(b, "k");
      expect(told.status).toBe(201);
      expect(world.records.countRuns("k")).toBe(1);
    });

    it("refuses at once and before dispatch when the log is down", async () => {
      world.platform.log.faults.isDown = true;
      await world.clock.advance(2000);
      const answer = world.begin(a, "k");
      await world.clock.advance(1);
      expect(answer.told).toEqual({
        verdict: "not-run",
        code: "log-unavailable",
      });
      expect(world.records.countRuns("k")).toBe(0);
    });

    it("never runs an intent that is read after its caller was refused", async () => {
      world.platform.log.faults.delayMs = 20_000;
      const told = await world.call(a, "k");
      expect(told.verdict).toBe("not-run");
      world.platform.log.faults.delayMs = 0;
      await world.clock.advance(60_000);
      expect(world.records.countRuns("k")).toBe(0);
      const again = await world.call(b, "k");
      expect(again.status).toBe(201);
      expect(world.records.countRuns("k")).toBe(1);
    });

    it("keeps an outcome through an outage and appends it afterwards", async () => {
      world.records.delayMs = 1000;
      const first = world.begin(a, "k");
      await world.clock.advance(500);
      world.platform.log.faults.isDown = true;
      await world.clock.advance(1000);
      expect(first.told?.status).toBe(201);
      const repeat = await world.call(a, "k");
      expect(repeat).toEqual(first.told);
      world.platform.log.faults.isDown = false;
      await world.clock.advance(2000);
      expect(await world.call(b, "k")).toEqual(first.told);
      expect(world.records.countRuns("k")).toBe(1);
    });

    it("puts the records of calls that wait into one append", async () => {
      world.platform.log.faults.delayMs = 50;
      const before = world.platform.log.entries("calls").length;
      const answers = Array.from(
        { length: 100 },
        (_, index) => world.begin(a, `k${index}`),
      );
      await world.clock.advance(2000);
      const appends = world.platform.log.entries("calls").length - before;
      expect(answers.every(({ told }) => told?.status === 201)).toBe(true);
      expect(appends).toBeLessThanOrEqual(5);
    });
  });

  describe("expiry", () => {
    it("gives up a claim when records expired before they were read", async () => {
      // The cut node appends its intent, but reads neither the intent of the
      // other node, which ran, nor its own, before both expire.
      let isCut = false;
      const cut = await world.startNode("cut", 4, (log): Log => ({
        ...log,
        read: async (stream, range, signal) => {
          const page = await log.read(stream, range, signal);
          while (isCut) {
            await world.clock.sleep(10, signal);
          }
          return isCut ? page : log.read(stream, range, signal);
        },
      }));
      isCut = true;
      await world.clock.advance(1100);
      const first = world.begin(a, "k");
      await world.clock.advance(100);
      const second = world.begin(cut, "k");
      await world.clock.advance(100);
      const intents = world.platform.log.entries("calls")
        .filter(({ records }) => JSON.stringify(records).includes("intent"));
      const own = intents.at(-1)!;
      world.platform.log.expire("calls", own.offset);
      world.platform.log.append("calls", own.records);
      isCut = false;
      await world.clock.advance(11_000);
      expect(first.told?.status).toBe(201);
      expect(second.told?.verdict).toBe("not-run");
      expect(world.records.countRuns("k")).toBe(1);
    });
  });

  describe("pauses and deaths", () => {
    it("does not dispatch after a pause past the deadline", async () => {
      const paused = await world.startNode("paused", 5, createPausingLog);
      const told = await world.call(paused, "k");
      expect(told).toEqual({ verdict: "not-run", code: "deadline" });
      expect(world.records.countRuns("k")).toBe(0);
      expect((await world.call(b, "k")).status).toBe(201);
    });

    const STEPS_MS = [0, 0.25, 0.5, 0.75, 1, 1.25, 1.5, 1.75, 2];
    it.each(STEPS_MS)(
      "runs at most once when the node dies %d ms into the call",
      async (stepMs) => {
        world.begin(a, "k");
        await world.clock.advance(stepMs);
        world.platform.network.setModeOfEnd("a", "silent");
        const told = await world.call(b, "k");
        const runs = world.records.countRuns("k");
        expect(runs).toBeLessThanOrEqual(1);
        expect(told.status === 201 || told.verdict === "may-have-run")
          .toBe(true);
      },
    );
  });

  describe("upstreams", () => {
    it("tries the next upstream only after a refused connection", async () => {
      const second = world.platform.addRecordService(SECOND_RECORDS);
      const service = createTwoUpstreams();
      world.platform.network.setMode("a", RECORDS, "refuse");
      const told = await world.call(a, "k", { service });
      expect(told.status).toBe(201);
      expect(second.countRuns("k") + world.records.countRuns("k")).toBe(1);
    });

    it("never tries the next upstream after a lost reply", async () => {
      const second = world.platform.addRecordService(SECOND_RECORDS);
      const service = createTwoUpstreams();
      world.platform.network.setMode("a", RECORDS, "reply-lost");
      const told = await world.call(a, "k", { service });
      expect(told.verdict).toBe("may-have-run");
      expect(second.countRuns("k")).toBe(0);
      const repeat = await world.call(b, "k", { service });
      expect(repeat.verdict).toBe("may-have-run");
      expect(world.records.countRuns("k")).toBe(1);
    });

    it("does not report not-run when an earlier attempt may have run", async () => {
      const service = createTwoUpstreams();
      world.platform.network.setMode("a", RECORDS, "reply-lost");
      world.platform.network.setMode("a", SECOND_RECORDS, "refuse");
      const told = await world.call(a, "k", { service, method: "GET" });
      expect(told.verdict).toBe("may-have-run");
    });
  });
});

function createTwoUpstreams(): ServiceRule {
  const upstreams = `${RECORDS},${SECOND_RECORDS}`;
  return ServiceRule.parse({ name: "records", upstreams });
}

/** Pauses the node for a minute once it has received its own intent. */
function createPausingLog(log: Log, clock: PausableClock): Log {
  return {
    ...log,
    read: async (stream, range, signal) => {
      const page = await log.read(stream, range, signal);
      const hasIntent = page.isOk &&
        page.value.entries.some(({ records }) =>
          JSON.stringify(records).includes('"kind":"intent"')
        );
      if (hasIntent && clock.pausedMs === 0) {
        clock.pausedMs = 60_000;
      }
      return page;
    },
  };
}
