import { Buffer } from "node:buffer";
import type { Log } from "@zinniahill/clients";
import { ServiceRule } from "@zinniahill/schema";
import { beforeEach, describe, expect, it } from "vitest";
import {
  CallCluster,
  type CallNode,
  type PausableClock,
  RECORDS_ADDRESS,
  SECOND_RECORDS_ADDRESS,
} from "./fixture.ts";

describe("Calls", () => {
  let cluster: CallCluster;
  let nodeA: CallNode;
  let nodeB: CallNode;

  beforeEach(async () => {
    cluster = new CallCluster();
    nodeA = await cluster.startNode("a", 1);
    nodeB = await cluster.startNode("b", 2);
  });

  describe("repeats", () => {
    it("answers a repeat at another node with the first reply", async () => {
      const first = await cluster.completeCall(nodeA, "k");
      const second = await cluster.completeCall(nodeB, "k");
      expect(first).toMatchObject({ status: 201 });
      expect(second).toEqual(first);
      expect(cluster.recordService.countRuns("k")).toBe(1);
    });

    it("makes a repeat wait for the outcome of the running call", async () => {
      cluster.recordService.delayMs = 3000;
      const first = cluster.startCall(nodeA, "k");
      await cluster.clock.advance(100);
      const second = cluster.startCall(nodeB, "k");
      await cluster.clock.advance(2000);
      expect(second.result).toBeUndefined();
      await cluster.clock.advance(2000);
      expect(second.result).toEqual(first.result);
      expect(second.result?.status).toBe(201);
      expect(cluster.recordService.countRuns("k")).toBe(1);
    });

    it("answers may-have-run when the running call outlasts the repeat", async () => {
      cluster.recordService.delayMs = 30_000;
      cluster.startCall(nodeA, "k");
      await cluster.clock.advance(5000);
      cluster.platform.network.setModeOfEnd("a", "silent");
      const result = await cluster.completeCall(nodeB, "k");
      expect(result).toEqual({
        verdict: "may-have-run",
        code: "call-in-progress",
      });
      expect(cluster.recordService.countRuns("k")).toBe(1);
    });

    it("runs one of two calls that start at the same time on two nodes", async () => {
      const pendingCalls = [
        cluster.startCall(nodeA, "k"),
        cluster.startCall(nodeB, "k"),
      ];
      await cluster.clock.advance(1000);
      expect(pendingCalls[0]!.result?.status).toBe(201);
      expect(pendingCalls[1]!.result).toEqual(pendingCalls[0]!.result);
      expect(cluster.recordService.countRuns("k")).toBe(1);
    });

    it("refuses a key that is reused with a different body", async () => {
      await cluster.completeCall(nodeA, "k");
      const result = await cluster.completeCall(nodeB, "k", {
        body: Buffer.from("other"),
      });
      expect(result).toEqual({ verdict: "not-run", code: "key-reused" });
      expect(cluster.recordService.countRuns("k")).toBe(1);
    });

    it("keeps the keys of two client accounts apart", async () => {
      await cluster.completeCall(nodeA, "k");
      const result = await cluster.completeCall(nodeB, "k", {
        account: "south",
      });
      expect(result.status).toBe(201);
      expect(cluster.recordService.countRuns("k")).toBe(2);
    });

    it("runs a repeat after an upstream refused the first call", async () => {
      cluster.recordService.refuses = true;
      const first = await cluster.completeCall(nodeA, "k");
      cluster.recordService.refuses = false;
      const second = await cluster.completeCall(nodeB, "k");
      expect(first.verdict).toBe("not-run");
      expect(second.status).toBe(201);
      expect(cluster.recordService.countRuns("k")).toBe(1);
    });

    it("answers ran to a repeat when the reply is too large to keep", async () => {
      const large = Buffer.alloc(20_000);
      const handle = cluster.recordService.handle.bind(cluster.recordService);
      cluster.recordService.handle = async (call) =>
        (await handle(call)).map((reply) => ({ ...reply, body: large }));
      const first = await cluster.completeCall(nodeA, "k");
      const second = await cluster.completeCall(nodeB, "k");
      expect(first.body?.length).toBe(large.length);
      expect(second).toEqual({ verdict: "ran", code: "reply-not-kept" });
      expect(cluster.recordService.countRuns("k")).toBe(1);
    });
  });

  describe("the log", () => {
    it("runs once when the reply to the append of the intent is lost", async () => {
      cluster.platform.log.faults.repliesToLose = 1;
      const result = await cluster.completeCall(nodeA, "k");
      await cluster.completeCall(nodeB, "k");
      expect(result.status).toBe(201);
      expect(cluster.recordService.countRuns("k")).toBe(1);
    });

    it("refuses immediately, before dispatch, when the log is down", async () => {
      cluster.platform.log.faults.isDown = true;
      await cluster.clock.advance(2000);
      const pendingCall = cluster.startCall(nodeA, "k");
      await cluster.clock.advance(1);
      expect(pendingCall.result).toEqual({
        verdict: "not-run",
        code: "log-unavailable",
      });
      expect(cluster.recordService.countRuns("k")).toBe(0);
    });

    it("never runs a call whose intent is read after its caller was refused", async () => {
      cluster.platform.log.faults.delayMs = 20_000;
      const result = await cluster.completeCall(nodeA, "k");
      expect(result.verdict).toBe("not-run");
      cluster.platform.log.faults.delayMs = 0;
      await cluster.clock.advance(60_000);
      expect(cluster.recordService.countRuns("k")).toBe(0);
      const again = await cluster.completeCall(nodeB, "k");
      expect(again.status).toBe(201);
      expect(cluster.recordService.countRuns("k")).toBe(1);
    });

    it("keeps an outcome during a log outage and appends it afterwards", async () => {
      cluster.recordService.delayMs = 1000;
      const first = cluster.startCall(nodeA, "k");
      await cluster.clock.advance(500);
      cluster.platform.log.faults.isDown = true;
      await cluster.clock.advance(1000);
      expect(first.result?.status).toBe(201);
      const repeat = await cluster.completeCall(nodeA, "k");
      expect(repeat).toEqual(first.result);
      cluster.platform.log.faults.isDown = false;
      await cluster.clock.advance(2000);
      expect(await cluster.completeCall(nodeB, "k")).toEqual(first.result);
      expect(cluster.recordService.countRuns("k")).toBe(1);
    });

    it("batches the records of concurrent calls", async () => {
      cluster.platform.log.faults.delayMs = 50;
      const initialCount = cluster.platform.log.entries("calls").length;
      const pendingCalls = Array.from(
        { length: 100 },
        (_, index) => cluster.startCall(nodeA, `k${index}`),
      );
      await cluster.clock.advance(2000);
      const appends = cluster.platform.log.entries("calls").length -
        initialCount;
      expect(pendingCalls.every(({ result }) => result?.status === 201)).toBe(
        true,
      );
      expect(appends).toBeLessThanOrEqual(5);
    });
  });

  describe("expiry", () => {
    it("abandons a claim when records expired before they were read", async () => {
      // The blocked node appends its intent. Both that intent and the earlier
      // one of node a, whose call ran, expire before the node reads them. Its
      // intent is then appended again, so it looks like the first for the key.
      let isReadBlocked = false;
      const blockedNode = await cluster.startNode("cut", 4, (log): Log => ({
        ...log,
        read: async (stream, range, signal) => {
          const page = await log.read(stream, range, signal);
          while (isReadBlocked) {
            await cluster.clock.sleep(10, signal);
          }
          return isReadBlocked ? page : log.read(stream, range, signal);
        },
      }));
      isReadBlocked = true;
      await cluster.clock.advance(1100);
      const first = cluster.startCall(nodeA, "k");
      await cluster.clock.advance(100);
      const second = cluster.startCall(blockedNode, "k");
      await cluster.clock.advance(100);
      const intents = cluster.platform.log.entries("calls")
        .filter(({ records }) => JSON.stringify(records).includes("intent"));
      const ownIntent = intents.at(-1)!;
      cluster.platform.log.expire("calls", ownIntent.offset);
      cluster.platform.log.append("calls", ownIntent.records);
      isReadBlocked = false;
      await cluster.clock.advance(11_000);
      expect(first.result?.status).toBe(201);
      expect(second.result?.verdict).toBe("not-run");
      expect(cluster.recordService.countRuns("k")).toBe(1);
    });
  });

  describe("pauses and lost nodes", () => {
    it("does not dispatch after a pause that outlasts the deadline", async () => {
      const paused = await cluster.startNode("paused", 5, createPausingLog);
      const result = await cluster.completeCall(paused, "k");
      expect(result).toEqual({ verdict: "not-run", code: "deadline" });
      expect(cluster.recordService.countRuns("k")).toBe(0);
      expect((await cluster.completeCall(nodeB, "k")).status).toBe(201);
    });

    const CUT_OFF_TIMES_MS = [0, 0.25, 0.5, 0.75, 1, 1.25, 1.5, 1.75, 2];
    it.each(CUT_OFF_TIMES_MS)(
      "runs at most once when the node is cut off %d ms into the call",
      async (cutOffMs) => {
        cluster.startCall(nodeA, "k");
        await cluster.clock.advance(cutOffMs);
        cluster.platform.network.setModeOfEnd("a", "silent");
        const result = await cluster.completeCall(nodeB, "k");
        const runs = cluster.recordService.countRuns("k");
        expect(runs).toBeLessThanOrEqual(1);
        expect(result.status === 201 || result.verdict === "may-have-run")
          .toBe(true);
      },
    );
  });

  describe("upstreams", () => {
    it("tries the next upstream only after a refused connection", async () => {
      const second = cluster.platform.addRecordService(SECOND_RECORDS_ADDRESS);
      const service = createServiceWithTwoUpstreams();
      cluster.platform.network.setMode("a", RECORDS_ADDRESS, "refuse");
      const result = await cluster.completeCall(nodeA, "k", { service });
      expect(result.status).toBe(201);
      expect(second.countRuns("k") + cluster.recordService.countRuns("k")).toBe(
        1,
      );
    });

    it("never tries the next upstream after a lost reply", async () => {
      const second = cluster.platform.addRecordService(SECOND_RECORDS_ADDRESS);
      const service = createServiceWithTwoUpstreams();
      cluster.platform.network.setMode("a", RECORDS_ADDRESS, "reply-lost");
      const result = await cluster.completeCall(nodeA, "k", { service });
      expect(result.verdict).toBe("may-have-run");
      expect(second.countRuns("k")).toBe(0);
      const repeat = await cluster.completeCall(nodeB, "k", { service });
      expect(repeat.verdict).toBe("may-have-run");
      expect(cluster.recordService.countRuns("k")).toBe(1);
    });

    it("does not report not-run when an earlier attempt may have run", async () => {
      const service = createServiceWithTwoUpstreams();
      cluster.platform.network.setMode("a", RECORDS_ADDRESS, "reply-lost");
      cluster.platform.network.setMode("a", SECOND_RECORDS_ADDRESS, "refuse");
      const result = await cluster.completeCall(nodeA, "k", {
        service,
        method: "GET",
      });
      expect(result.verdict).toBe("may-have-run");
    });
  });
});

function createServiceWithTwoUpstreams(): ServiceRule {
  const upstreams = `${RECORDS_ADDRESS},${SECOND_RECORDS_ADDRESS}`;
  return ServiceRule.parse({ name: "records", upstreams });
}

/** Pauses the node for a minute after it first reads an intent. */
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
