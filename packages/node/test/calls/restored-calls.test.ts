import type { LogCopy } from "@zinniahill/stand-ins";
import { beforeEach, describe, expect, it } from "vitest";
import { CallCluster, type CallNode } from "./fixture.ts";

describe("Calls and a log that was restored from a copy", () => {
  let cluster: CallCluster;
  let nodeA: CallNode;
  let nodeB: CallNode;
  let copy: LogCopy;

  beforeEach(async () => {
    cluster = new CallCluster();
    nodeA = await cluster.startNode("a", 1);
    nodeB = await cluster.startNode("b", 2);
    await cluster.completeCall(nodeA, "earlier");
    copy = cluster.platform.log.copy();
  });

  /** Makes calls with other keys until the log ends above what was lost. */
  async function passLostOffsets(node: CallNode): Promise<void> {
    for (let call = 0; call < 4; call++) {
      await cluster.completeCall(node, `filler-${call}`);
    }
  }

  describe("records that took the place of lost ones", () => {
    // Guards against a second run at a node that never reads the first intent,
    // as it reads on from the offset that it had reached before the restore.
    it("are read, so a repeat of their call does not run", async () => {
      await cluster.completeCall(nodeA, "lost-1");
      await cluster.completeCall(nodeA, "lost-2");
      cluster.platform.log.restore(copy);
      const nodeC = await cluster.startNode("c", 3);
      await cluster.clock.advance(10_000);
      const first = await cluster.completeCall(nodeC, "k");
      await passLostOffsets(nodeC);
      const repeat = await cluster.completeCall(nodeB, "k");
      expect(first.status).toBe(201);
      expect(repeat).toEqual(first);
      expect(cluster.recordService.countRuns("k")).toBe(1);
    });
  });

  describe("a call whose records were lost", () => {
    // Guards against a node that drops what it knows of the lost records.
    it.each(["a", "b"])("does not run again at node %s", async (name) => {
      const first = await cluster.completeCall(nodeA, "k");
      cluster.platform.log.restore(copy);
      await cluster.clock.advance(10_000);
      const node = name === "a" ? nodeA : nodeB;
      await passLostOffsets(node);
      expect(await cluster.completeCall(node, "k")).toEqual(first);
      expect(cluster.recordService.countRuns("k")).toBe(1);
    });

    // Guards against a second run at a node that never read the lost records.
    it("does not run again at a node that starts later", async () => {
      const first = await cluster.completeCall(nodeA, "k");
      cluster.platform.log.restore(copy);
      await cluster.clock.advance(5000);
      const nodeC = await cluster.startNode("c", 3);
      await cluster.clock.advance(10_000);
      expect(await cluster.completeCall(nodeC, "k")).toEqual(first);
      expect(cluster.recordService.countRuns("k")).toBe(1);
    });

    // Guards against a second run while the node that dispatched the call has
    // not yet appended its intent again.
    it("does not run at a node that starts as the log is restored", async () => {
      await cluster.completeCall(nodeA, "k");
      cluster.platform.network.setModeOfEnd("a", "silent");
      await cluster.clock.advance(3100);
      cluster.platform.log.restore(copy);
      const nodeC = await cluster.startNode("c", 3);
      const repeat = cluster.startCall(nodeC, "k");
      await cluster.clock.advance(100);
      expect(repeat.result?.verdict).toBe("not-run");
      cluster.platform.network.setModeOfEnd("a", "pass");
      await cluster.clock.advance(10_000);
      expect((await cluster.completeCall(nodeC, "k")).status).toBe(201);
      expect(cluster.recordService.countRuns("k")).toBe(1);
    });

    // Guards against a second run of a call that is under way at the restore.
    it("is answered as may-have-run while its outcome is unknown", async () => {
      cluster.recordService.delayMs = 60_000;
      cluster.startCall(nodeA, "k");
      await cluster.clock.advance(500);
      cluster.platform.log.restore(copy);
      await cluster.clock.advance(10_000);
      cluster.recordService.delayMs = 0;
      for (const node of [nodeA, nodeB, await cluster.startNode("c", 3)]) {
        await cluster.clock.advance(10_000);
        const repeat = await cluster.completeCall(node, "k");
        expect(repeat.verdict).toBe("may-have-run");
      }
      expect(cluster.recordService.countRuns("k")).toBe(1);
    });
  });

  describe("an open claim", () => {
    // Guards against a dispatch by a node whose intent is the first only
    // because the records of an earlier call were lost.
    it("ends as not-run", async () => {
      cluster.platform.log.faults.delayMs = 500;
      cluster.startCall(nodeA, "k");
      await cluster.clock.advance(400);
      const claim = cluster.startCall(nodeB, "k");
      await cluster.clock.advance(200);
      cluster.platform.log.restore(copy);
      await cluster.clock.advance(11_000);
      expect(claim.result?.verdict).toBe("not-run");
      expect(cluster.recordService.countRuns("k")).toBe(1);
    });
  });
});
