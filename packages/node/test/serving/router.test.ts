import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { StreamWorld } from "./fixture.ts";

const MODEL = "chat";
const NONE: ReadonlySet<string> = new Set();
const EVIDENCE_VALIDITY_MS = 3000;
const STEP_MS = 50;
const HOSTS = 6;

describe("Router", () => {
  let world: StreamWorld;

  beforeEach(async () => {
    world = new StreamWorld();
    await world.start();
  });

  afterEach(() => world.stop());

  function choose(): string | undefined {
    return world.node.find("router").choose(MODEL, NONE)?.group;
  }

  describe("evidence", () => {
    it("never chooses a group whose evidence is stale", async () => {
      const evidence = world.node.find("evidence");
      const group = world.node.find("router").choose(MODEL, NONE)!;
      for (let index = 0; index < HOSTS; index++) {
        world.platform.network.setModeOfEnd(
          `10.0.0.${index + 1}:8000`,
          "silent",
        );
      }
      for (let ms = 0; ms < 2 * EVIDENCE_VALIDITY_MS; ms += STEP_MS) {
        await world.clock.advance(STEP_MS);
        const chosen = world.node.find("router").choose(MODEL, NONE);
        expect(chosen && evidence.findObstacle(chosen)).toBeUndefined();
      }
      expect(evidence.findObstacle(group)).toBeDefined();
      expect(choose()).toBeUndefined();
    });

    it("chooses again once hosts are heard again", async () => {
      for (const mode of ["silent", "pass"] as const) {
        for (let index = 0; index < HOSTS; index++) {
          world.platform.network.setModeOfEnd(`10.0.0.${index + 1}:8000`, mode);
        }
        await world.clock.advance(EVIDENCE_VALIDITY_MS + 1000);
        expect(choose() === undefined).toBe(mode === "silent");
      }
    });
  });

  describe("exclusion", () => {
    it("does not return a group that has failed the request", () => {
      const router = world.node.find("router");
      const first = choose()!;
      const other = router.choose(MODEL, new Set([first]))!;
      expect(other.group).not.toBe(first);
      const all = new Set([first, other.group]);
      expect(router.choose(MODEL, all)).toBeUndefined();
    });
  });
});
