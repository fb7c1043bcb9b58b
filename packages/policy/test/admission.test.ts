import { ManualClock } from "@zinniahill/kernel";
import { parseRules, type Rank, type Rules } from "@zinniahill/schema";
import { describe, expect, it } from "vitest";
import { Admission, type Permit } from "../src/index.ts";

const RULES = [
  "rank urgent first-token=750ms floor=20% worth=10 # test",
  "rank normal first-token=3s floor=20% worth=3 # test",
  "rank batch first-token=10s token-gap=1s floor=10% worth=1 # test",
].join("\n");

function createRules(): Rules {
  return parseRules(RULES).unwrapOr(undefined as never);
}

function createAdmission(capacity: number) {
  const clock = new ManualClock();
  const rules = createRules();
  const admission = new Admission({
    clock,
    rules: () => rules,
    capacity: () => capacity,
  });
  const admit = (rank: Rank, account = "a", signal = createSignal()) =>
    admission.admit({ account, rank, tokens: 100 }, signal);
  const acquire = async (rank: Rank, account = "a"): Promise<Permit> => {
    const permit = await admit(rank, account);
    if (permit.isErr) {
      throw permit.error;
    }
    return permit.value;
  };
  return { clock, admission, admit, acquire };
}

function createSignal(): AbortSignal {
  return new AbortController().signal;
}

describe("Admission", () => {
  describe("ranks", () => {
    it("does not let a flood of batch requests delay urgent ones", async () => {
      const { admit, acquire } = createAdmission(10);
      const permits = await Promise.all(
        Array.from({ length: 10 }, () => acquire("batch")),
      );
      const order: Rank[] = [];
      void admit("batch").then(() => order.push("batch"));
      const urgent = admit("urgent").then(() => order.push("urgent"));
      permits[0]!.release(100);
      await urgent;
      expect(order).toEqual(["urgent"]);
    });

    it("does not let a flood of urgent requests take batch below its floor", async () => {
      const { admission, admit, acquire } = createAdmission(10);
      const permits = await Promise.all(
        Array.from({ length: 10 }, () => acquire("urgent")),
      );
      void admit("urgent");
      const batch = admit("batch");
      permits[0]!.release(100);
      expect((await batch).isOk).toBe(true);
      expect(admission.countWaiting("urgent")).toBe(1);
    });
  });

  describe("capacity", () => {
    it("leaves slots free, so that uneven groups have no queues", async () => {
      const { admission, admit, acquire } = createAdmission(100);
      await Promise.all(Array.from({ length: 92 }, () => acquire("urgent")));
      void admit("urgent");
      expect(admission.inFlight).toBe(92);
      expect(admission.countWaiting("urgent")).toBe(1);
    });
  });

  describe("refusals", () => {
    it("leaves no request in a queue beyond its rank's target", async () => {
      const { clock, admit, acquire } = createAdmission(1);
      await acquire("urgent");
      const waiting = admit("urgent");
      await clock.advance(750);
      const refused = await waiting;
      expect(refused.isErr && refused.error).toMatchObject({
        code: "overloaded",
        verdict: "not-run",
      });
    });

    it("refuses at once when the expected wait exceeds the target", async () => {
      const { clock, admission, admit, acquire } = createAdmission(1);
      for (let served = 0; served < 5; served++) {
        const permit = await acquire("urgent");
        await clock.advance(1000);
        permit.release(100);
      }
      await acquire("urgent");
      const refused = await admit("urgent");
      expect(refused.isErr && refused.error.verdict).toBe("not-run");
      expect(refused.isErr && refused.error.retryAfterMs).toBeGreaterThan(0);
      expect(admission.countWaiting("urgent")).toBe(0);
    });

    it("admits again after a time in which every request was refused", async () => {
      const { clock, admit, acquire } = createAdmission(1);
      let permit = await acquire("urgent");
      await clock.advance(20_000);
      expect((await admit("urgent")).isErr).toBe(true);
      permit.release(100);
      for (let served = 0; served < 20; served++) {
        permit = await acquire("urgent");
        await clock.advance(100);
        permit.release(100);
      }
      await acquire("urgent");
      const waiting = admit("urgent");
      await clock.advance(1);
      const state = await Promise.race([waiting, Promise.resolve("waiting")]);
      expect(state).toBe("waiting");
    });

    it("removes a cancelled request from the queue", async () => {
      const { admission, admit, acquire } = createAdmission(1);
      await acquire("normal");
      const controller = new AbortController();
      const waiting = admit("normal", "a", controller.signal);
      controller.abort();
      expect((await waiting).isErr).toBe(true);
      expect(admission.countWaiting("normal")).toBe(0);
    });
  });

  describe("yields", () => {
    it("makes the latest batch request yield to an urgent one", async () => {
      const { admission, admit, acquire } = createAdmission(4);
      const batch = [];
      for (let index = 0; index < 4; index++) {
        batch.push(await acquire("batch"));
      }
      const signals = batch.map(({ yieldSignal }) => yieldSignal);
      expect((await admit("urgent")).isOk).toBe(true);
      expect(signals.map(({ aborted }) => aborted))
        .toEqual([false, false, false, true]);
      expect(admission.inFlight).toBe(4);
    });

    it("grants a yielded request a new permit, and counts it once", async () => {
      const { admission, acquire } = createAdmission(2);
      await acquire("batch");
      const batch = await acquire("batch");
      expect(batch.yieldSignal.aborted).toBe(false);
      const urgent = await acquire("urgent");
      const resumed = batch.resume(createSignal());
      batch.release(10);
      urgent.release(100);
      expect((await resumed).isOk).toBe(true);
      expect(admission.inFlight).toBe(2);
    });

    it("revokes no permit whose yield signal was never read", async () => {
      const { admission, admit, acquire } = createAdmission(2);
      await acquire("batch");
      await acquire("batch");
      void admit("urgent");
      expect(admission.countWaiting("urgent")).toBe(1);
    });

    it("does not claim that a resumed request was not run", async () => {
      const { clock, acquire } = createAdmission(2);
      await acquire("batch");
      const batch = await acquire("batch");
      expect(batch.yieldSignal.aborted).toBe(false);
      await acquire("urgent");
      const resumed = batch.resume(createSignal());
      await clock.advance(10_000);
      const refused = await resumed;
      expect(refused.isErr && refused.error.verdict).toBe("may-have-run");
    });
  });
});
