import { describe, expect, it } from "vitest";
import { FAULTS } from "../src/matrix/faults.ts";
import { publish } from "../src/matrix/operators.ts";
import { StepWatch } from "../src/matrix/steps.ts";
import { World } from "../src/matrix/world.ts";
import { parseRecord } from "../src/matrix/log-records.ts";

const SEED = 20_261_204;
const PUBLISH_AT_MS = 500;
const END_MS = 20_000;

/** Orders that arrived after another node had claimed the lease. */
async function countLateOrders(): Promise<number> {
  const world = new World(SEED, {});
  const watch = new StepWatch(
    world,
    "load",
    (subject) => FAULTS["order-late"](world, subject),
  );
  world.onEvent = (event) => watch.note(event);
  await world.start();
  await world.runUntil(PUBLISH_AT_MS);
  world.run(publish(world, ["north"]));
  await world.runUntil(END_MS);
  await world.stop();
  const claims = world.platform.log.history.flatMap(({ records, offset, at }) =>
    records.map(parseRecord)
      .filter((record) => record?.kind === "lease" && record.fence === 0)
      .map(() => ({ fence: offset, at }))
  );
  const last = claims.at(-1)!;
  return [...world.platform.engines.values()]
    .flatMap(({ receivedOrders }) => receivedOrders)
    .filter(({ fence, at }) => fence < last.fence && at > last.at).length;
}

describe("fault order-late", () => {
  describe("while the lease changes hands", () => {
    it("lets orders of the old holder arrive, so that the row tests what it names", async () => {
      expect(await countLateOrders()).toBeGreaterThan(0);
    });
  });
});
