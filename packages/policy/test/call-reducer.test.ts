import { CallReducer } from "@zinniahill/policy";
import type { CallRecord } from "@zinniahill/schema";
import { describe, expect, it } from "vitest";

function createIntent(id: string, key = "k"): CallRecord {
  return { kind: "intent", id, node: "a", key, bodyHash: "body" };
}

function createOutcome(
  intent: string,
  verdict: "ran" | "not-run" | "may-have-run",
  body = "",
  key = "k",
): CallRecord {
  return {
    kind: "outcome",
    id: `outcome-of-${intent}`,
    node: "a",
    key,
    intent,
    verdict,
    status: 201,
    contentType: "",
    body,
  };
}

function applyAll(reducer: CallReducer, records: readonly CallRecord[]): void {
  for (const record of records) {
    reducer.apply(record);
  }
}

describe("CallReducer", () => {
  describe("the first intent for a key", () => {
    it("does not give the key to an intent read after its own outcome", () => {
      const reducer = new CallReducer(10);
      applyAll(reducer, [createOutcome("x", "not-run"), createIntent("x")]);
      expect(reducer.find("k")).toBeUndefined();
      expect(reducer.hasEnded("x")).toBe(true);
    });

    it("does not give a freed key to a second copy of a later intent", () => {
      const reducer = new CallReducer(10);
      applyAll(reducer, [
        createIntent("x"),
        createIntent("y"),
        createOutcome("x", "not-run"),
        createIntent("y"),
      ]);
      expect(reducer.find("k")).toBeUndefined();
      reducer.apply(createIntent("z"));
      expect(reducer.find("k")?.intent).toBe("z");
    });

    it("keeps the first intent when it is read twice", () => {
      const reducer = new CallReducer(10);
      applyAll(reducer, [createIntent("x"), createIntent("x")]);
      expect(reducer.hasEnded("x")).toBe(false);
      expect(reducer.find("k")?.intent).toBe("x");
    });
  });

  describe("outcomes", () => {
    it("does not free a key that has run when a late not-run is read", () => {
      const reducer = new CallReducer(10);
      applyAll(reducer, [
        createIntent("x"),
        createOutcome("x", "ran"),
        createOutcome("x", "not-run"),
      ]);
      expect(reducer.find("k")?.outcome?.verdict).toBe("ran");
    });

    it("ignores the outcome of an intent that was not the first", () => {
      const reducer = new CallReducer(10);
      applyAll(reducer, [
        createIntent("x"),
        createIntent("y"),
        createOutcome("y", "not-run"),
      ]);
      expect(reducer.find("k")).toMatchObject({ intent: "x" });
      expect(reducer.find("k")?.outcome).toBeUndefined();
    });
  });

  describe("a restored log", () => {
    // Guards against a key that is free although its call ran, as only the
    // outcome was appended after the restore.
    it("holds a key by an outcome whose intent was lost", () => {
      const reducer = new CallReducer(10);
      applyAll(reducer, [createOutcome("x", "ran"), createIntent("y")]);
      expect(reducer.find("k")).toMatchObject({ intent: "x", bodyHash: "" });
      reducer.apply(createIntent("x"));
      expect(reducer.find("k")).toMatchObject({
        intent: "x",
        bodyHash: "body",
        outcome: { verdict: "ran" },
      });
    });

    // Guards against a second run where a later intent seems to be the first.
    it("gives a lost call its key back", () => {
      const [earlier, restored] = [new CallReducer(10), new CallReducer(10)];
      applyAll(earlier, [createIntent("x"), createOutcome("x", "ran", "1234")]);
      applyAll(restored, [
        createIntent("y"),
        createOutcome("y", "ran", "12345678"),
      ]);
      expect([...restored.adoptLost(earlier).keys()]).toEqual(["k"]);
      applyAll(restored, [createOutcome("y", "not-run"), createIntent("z")]);
      expect(restored.find("k")).toEqual(earlier.find("k"));
      expect(restored.bodyBytes).toBe(4);
    });

    // Guards against a lock on a key whose claim was abandoned at the restore.
    it("does not bring back an intent that has ended as not-run", () => {
      const [earlier, restored] = [new CallReducer(10), new CallReducer(10)];
      earlier.apply(createIntent("x"));
      restored.apply(createOutcome("x", "not-run"));
      expect(restored.adoptLost(earlier).size).toBe(0);
      expect(restored.find("k")).toBeUndefined();
    });

    it("keeps the outcome that only the restored log has", () => {
      const [earlier, restored] = [new CallReducer(10), new CallReducer(10)];
      earlier.apply(createIntent("x"));
      restored.apply(createOutcome("x", "ran", "1234"));
      restored.adoptLost(earlier);
      expect(restored.find("k")).toMatchObject({
        bodyHash: "body",
        outcome: { verdict: "ran", body: "1234" },
      });
    });
  });

  describe("memory", () => {
    it("forgets the oldest keys beyond the limit, with their replies", () => {
      const reducer = new CallReducer(2);
      for (const key of ["k1", "k2", "k3"]) {
        applyAll(reducer, [
          createIntent(key, key),
          createOutcome(key, "ran", "1234", key),
        ]);
      }
      expect(reducer.size).toBe(2);
      expect(reducer.find("k1")).toBeUndefined();
      expect(reducer.bodyBytes).toBe(8);
    });

    it("drops the oldest replies beyond the byte limit, not the outcomes", () => {
      const reducer = new CallReducer(10, 6);
      for (const key of ["k1", "k2"]) {
        applyAll(reducer, [
          createIntent(key, key),
          createOutcome(key, "ran", "1234", key),
        ]);
      }
      expect(reducer.find("k1")?.outcome).toMatchObject({
        verdict: "ran",
        body: undefined,
      });
      expect(reducer.find("k2")?.outcome?.body).toBe("1234");
    });
  });
});
