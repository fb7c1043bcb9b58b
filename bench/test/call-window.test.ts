import { describe, expect, it } from "vitest";
import { requestCallAt } from "../src/matrix/callers.ts";
import { expireSteadily } from "../src/matrix/faults.ts";
import { publish } from "../src/matrix/operators.ts";
import { World } from "../src/matrix/world.ts";

const SEED = 20_261_204;
const KEY = "key-window";
const PUBLISH_AT_MS = 500;
const CALL_AT_MS = 3000;
const RETENTION = { control: 8000, calls: 20_000 };
/** More than the interval at which records expire. */
const MARGIN_MS = 1500;
/** A started node has read the log by then. */
const READY_MS = 300;

/** Repeats a call at its node, which has lost its memory; returns its runs. */
async function countRuns(afterMs: number): Promise<number> {
  const world = new World(SEED, {});
  const node = world.node("node-1");
  const call = () => world.run(requestCallAt(node, KEY));
  world.onEvent = (event) => {
    if (event.kind === "call" && node.starts === 1) {
      node.kill();
    }
  };
  await world.start();
  expireSteadily(world, RETENTION);
  await world.runUntil(PUBLISH_AT_MS);
  world.run(publish(world, ["north"]));
  await world.runUntil(CALL_AT_MS);
  call();
  await world.runUntil(CALL_AT_MS + afterMs);
  const { log } = world.platform;
  expect(log.entries("control")[0]!.offset).toBeGreaterThan(1);
  expect(log.entries("calls").length > 0).toBe(afterMs < RETENTION.calls);
  await node.start();
  await world.runUntil(CALL_AT_MS + afterMs + READY_MS);
  call();
  await world.runUntil(CALL_AT_MS + afterMs + RETENTION.calls);
  await world.stop();
  return world.recordServices
    .reduce((sum, service) => sum + service.countRuns(KEY), 0);
}

describe("window in which a key is remembered", () => {
  describe("with a node of empty memory", () => {
    it("runs a call once when control has expired but calls has not, so that one stream's expiry forgets no key", async () => {
      expect(await countRuns(RETENTION.calls - MARGIN_MS)).toBe(1);
    });

    it("runs a call again after the window, so that its stated end is the real one", async () => {
      expect(await countRuns(RETENTION.calls + MARGIN_MS)).toBe(2);
    });
  });
});
