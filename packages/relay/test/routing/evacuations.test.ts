import { Kernel, ManualClock } from "@zinniahill/kernel";
import { Refusal } from "@zinniahill/schema";
import { Result } from "true-myth";
import { describe, expect, it } from "vitest";
import type { FeedListener } from "../../src/feeds/feed-state.ts";
import type { Group } from "../../src/hosts/groups.ts";
import type { Instance } from "../../src/index.ts";
import { CurrentConfiguration } from "../../src/routing/current-configuration.ts";
import { selectOutsideEvacuations } from "../../src/routing/evacuation-filter.ts";
import { Evacuations } from "../../src/routing/evacuations.ts";
import type { RelayKernel, RelayServices } from "../../src/services.ts";

const BOUND_MS = 5000;
const LAST_RESORT_MS = BOUND_MS * 2 / 5;

/** Creates the evacuations of a node whose feed the test writes. */
async function create() {
  const clock = new ManualClock();
  const log: string[] = [];
  const listeners: FeedListener[] = [];
  const world = { ageMs: 0, departed: [] as Instance[], decoded: 0 };
  const record = (event: string) => log.push(event);
  const logger = { error: record, warn: record, info: record, debug: record };
  const decoder = {
    configurationKey: (key: string) =>
      key === "config"
        ? { kind: "configuration" }
        : key.startsWith("z")
        ? { kind: "evacuation", dataCentre: key }
        : undefined,
    configuration: () => {
      world.decoded++;
      return Result.err("unreadable");
    },
  };
  const feeds = {
    ageMs: () => world.ageMs,
    onChange: (_feed: string, listener: FeedListener) =>
      listeners.push(listener),
  };
  const settings = { evacuation: { boundMs: BOUND_MS } };
  const kernel: RelayKernel = new Kernel<RelayServices>();
  kernel
    .provide("clock", [], () => clock)
    .provide("logger", [], () => logger)
    .provide("settings", [], () => settings as never)
    .provide("decoder", [], () => decoder as never)
    .provide("feeds", [], () => feeds as never)
    .provide(
      "instances",
      [],
      () => ({ listDeparted: () => world.departed }) as never,
    );
  await kernel.start();
  new CurrentConfiguration(kernel);
  const evacuations = new Evacuations(kernel);
  const write = (key: string, value?: string) =>
    listeners.forEach((listener) => listener([{ key, offset: 1, value }]));
  const countLines = (event: string) =>
    log.filter((line) => line === event).length;
  return { clock, world, evacuations, write, countLines };
}

/** A group with a member in each of the data centres. */
function createGroup(...dataCentres: readonly string[]): Group {
  const members = dataCentres.map((dataCentre) => ({ dataCentre }));
  return { name: "g", epoch: 1, members } as unknown as Group;
}

describe("Evacuations", () => {
  describe("records of the configuration feed", () => {
    // Guards against evacuation records that are read as configurations.
    it("are no configurations but under the key of the configuration", async () => {
      const { world, write, evacuations, countLines } = await create();
      write("z1", "?");
      write("z1");
      ["other", "other"].forEach((key) => write(key, "{}"));
      expect([world.decoded, evacuations.size]).toEqual([0, 0]);
      expect(countLines("configuration_deleted")).toBe(0);
      expect(countLines("configuration_key_unknown")).toBe(1);
      write("config", "{}");
      expect(world.decoded).toBe(1);
    });
  });

  describe("an evacuated data centre", () => {
    it("is a last resort for the first part of the bound", async () => {
      const { clock, evacuations, write } = await create();
      write("z1", "{}");
      expect(evacuations.isEvacuated("z1")).toBe(true);
      expect(evacuations.acceptsRequests("z1")).toBe(true);
      await clock.advance(LAST_RESORT_MS);
      expect(evacuations.acceptsRequests("z1")).toBe(false);
      expect(evacuations.acceptsRequests("z2")).toBe(true);
    });

    // Guards against a node that was cut off and takes the record for new.
    it("is no last resort for a node that may hear of it late", async () => {
      const { world, evacuations, write } = await create();
      world.ageMs = BOUND_MS;
      write("z1", "{}");
      expect(evacuations.acceptsRequests("z1")).toBe(false);
    });

    it("tells listeners and the log once of its end and its return", async () => {
      const { clock, evacuations, write, countLines } = await create();
      const changed: string[] = [];
      evacuations.onChange((dataCentre) => changed.push(dataCentre));
      ["{}", "null"].forEach((value) => write("z1", value));
      expect(evacuations.endedAt("z1")).toBeUndefined();
      await clock.advance(BOUND_MS);
      [1, 2].forEach(() => write("z1"));
      expect(evacuations.endedAt("z1")).toBe(clock.now());
      expect(evacuations.acceptsRequests("z1")).toBe(true);
      expect(changed).toEqual(["z1", "z1"]);
      expect(countLines("evacuation_began")).toBe(1);
      expect(countLines("evacuation_ended")).toBe(1);
    });
  });

  describe("a group", () => {
    // Guards against a member that the store no longer lists but still works.
    it("is where its members are, and those that were listed lately", async () => {
      const { world, evacuations, write } = await create();
      write("z2", "{}");
      expect(evacuations.isEvacuatedGroup(createGroup("z1"))).toBe(false);
      expect(evacuations.getGroupUse(createGroup("z1", "z2")))
        .toBe("lastResort");
      world.departed = [{ dataCentre: "z2" } as Instance];
      expect(evacuations.isEvacuatedGroup(createGroup("z1"))).toBe(true);
    });
  });

  describe("the selection of an upstream", () => {
    it("takes a last resort only if no other has free capacity", async () => {
      const { clock, evacuations, write } = await create();
      const refusal = new Refusal("no-upstream", "not-run", "none is free");
      const select = (...free: readonly string[]) =>
        selectOutsideEvacuations<string>(evacuations, (test) => {
          const found = free.find((name) =>
            test.allowsGroup(createGroup(name))
          );
          return found === undefined ? Result.err(refusal) : Result.ok(found);
        }).unwrapOr("refused");
      expect(select("z1", "z2")).toBe("z1");
      write("z1", "{}");
      expect([select("z1", "z2"), select("z1")]).toEqual(["z2", "z1"]);
      await clock.advance(LAST_RESORT_MS);
      expect([select("z1", "z2"), select("z1")]).toEqual(["z2", "refused"]);
    });
  });
});
