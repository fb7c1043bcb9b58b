import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { FleetStore, type StoreMode } from "../src/index.ts";

const TOPIC = "keyed.op";
const LONG_WAIT_MS = 30_000;

let store: FleetStore;
let address: string;

function call(path: string, body?: object): Promise<Response> {
  return fetch(`http://${address}/zinniahill/${path}`, {
    method: body === undefined ? "GET" : "POST",
    // A restore closes kept connections.
    headers: { connection: "close" },
    ...(body === undefined ? {} : { body: JSON.stringify(body) }),
  });
}

function read(from: number, waitMs = 0): Promise<Response> {
  return call(`log-read?Topic=${TOPIC}&part=0&From=${from}&WaitMs=${waitMs}`);
}

async function listNewest(): Promise<Record<string, string>> {
  const response = await call(`log-newest?Topic=${TOPIC}&part=0`);
  const { Items } = await response.json() as {
    Items: { Key: string; Value: string }[];
  };
  return Object.fromEntries(
    Items.map(({ Key, Value }) => [Key, atob(Value)]),
  );
}

async function join(Member: string): Promise<number> {
  const response = await call("log-join", {
    group: "g",
    Member,
    Topics: ["t"],
    TtlMs: LONG_WAIT_MS,
    Generation: 0,
  });
  return (await response.json() as { Generation: number }).Generation;
}

beforeEach(async () => {
  store = new FleetStore();
  address = await store.start();
});

afterEach(() => store.stop());

describe("FleetStore", () => {
  describe("its era", () => {
    const modes: StoreMode[] = ["busy", "well"];
    const getEra = (response: Response) => response.headers.get("store-era");

    // Guards against answers by which a caller can't tell that the store has
    // lost something.
    it("is in every answer and rises by one with each restore", async () => {
      store.put(TOPIC, "a", "1");
      const copy = store.takeCopy();
      for (const era of ["1", "2", "3"]) {
        store.topic(TOPIC).compact();
        for (const mode of modes) {
          store.mode = mode;
          const answers = await Promise.all([
            call("none"),
            read(0),
            call(`log-newest?Topic=${TOPIC}&part=0`),
          ]);
          expect(answers.map(getEra)).toEqual([era, era, era]);
          expect(answers.map(({ status }) => status))
            .toEqual(mode === "busy" ? [503, 503, 503] : [404, 410, 200]);
        }
        store.restore(copy);
      }
    });
  });

  describe("a restore", () => {
    // Guards against tests of restores that lose nothing.
    it("loses what was written since the copy, and gives its offsets out again", async () => {
      store.put(TOPIC, "kept", "1");
      store.put(TOPIC, "removed", "1");
      const copy = store.takeCopy();
      store.put(TOPIC, "kept", "2");
      store.put(TOPIC, "removed", undefined);
      store.put(TOPIC, "lost", "1");
      store.restore(copy);
      expect(await listNewest()).toEqual({ kept: "1", removed: "1" });
      expect((await read(5)).status).toBe(410);
      expect((await read(2)).status).toBe(200);
      store.put(TOPIC, "later", "1");
      expect(store.topic(TOPIC).end).toBe(3);
    });

    // Guards against tests of fencing numbers that never go back.
    it("sets the generation of members back", async () => {
      await join("a");
      const copy = store.takeCopy();
      expect(await join("b")).toBe(2);
      expect(await join("c")).toBe(3);
      store.restore(copy);
      expect(await join("a")).toBe(1);
      expect(await join("c")).toBe(2);
    });

    // Guards against a copy that changes with the store, so that a second restore
    // loses nothing.
    it("leaves its copy as it is, also for a second restore", async () => {
      store.put(TOPIC, "a", "1");
      const copy = store.takeCopy();
      for (const value of ["2", "3"]) {
        store.put(TOPIC, "a", value);
        store.restore(copy);
        expect(await listNewest()).toEqual({ a: "1" });
      }
    });

    // Guards against reads that go on in what the store had before.
    it("ends the reads that wait", async () => {
      const copy = store.takeCopy();
      let isEnded = false;
      read(0, LONG_WAIT_MS).catch(() => isEnded = true);
      await vi.waitFor(() => {
        store.restore(copy);
        expect(isEnded).toBe(true);
      }, { timeout: 10_000 });
    });
  });
});
