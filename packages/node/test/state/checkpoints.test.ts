import { ManualClock, SeededRandom } from "@zinniahill/kernel";
import {
  computeCheckpointDelay,
  ControlReducer,
  findCheckpoint,
} from "@zinniahill/policy";
import { ControlRecord, type ControlSnapshot } from "@zinniahill/schema";
import { MemoryPlatform } from "@zinniahill/stand-ins";
import fc from "fast-check";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import {
  Cluster,
  createConfiguration,
  createControlState,
  createHostDrain,
} from "./cluster.ts";

const SEED = 20261204;
const SCOPE = "placement/dc-1";

function createCheckpoint(id: string, state: ControlSnapshot): ControlRecord {
  return { kind: "checkpoint", id, node: "test", state };
}

function listCheckpoints(platform: MemoryPlatform): ControlSnapshot[] {
  return platform.log.entries("control").flatMap(({ records }) =>
    records.map((record) => ControlRecord.parse(record))
      .flatMap((record) => record.kind === "checkpoint" ? [record.state] : [])
  );
}

describe("checkpoints", () => {
  describe("writing", () => {
    let cluster: Cluster;
    afterEach(() => cluster.stop());

    it("appends one per interval although no node holds a lease", async () => {
      cluster = new Cluster(4);
      cluster.platform.log.append("control", [
        createConfiguration("c", 0, "one"),
      ]);
      await cluster.startAll();
      await cluster.clock.advance(600_000);
      const { length } = listCheckpoints(cluster.platform);
      expect(length).toBeGreaterThanOrEqual(6);
      expect(length).toBeLessThanOrEqual(10);
    });

    it("has a lease holder append one once enough records have passed", async () => {
      cluster = new Cluster(4, () => ({ limits: ["checkpoint-records = 16"] }));
      await cluster.startAll();
      const { log } = cluster.platform;
      const id = "lease";
      log.append("control", [
        { kind: "lease", id, node: "n2", scope: SCOPE, fence: 0, basis: 0 },
      ]);
      for (let entry = 1; entry <= 20; entry++) {
        log.append("control", [createHostDrain(`d${entry}`, true)]);
      }
      await cluster.clock.advance(2500);
      const writers = log.entries("control")
        .flatMap(({ records }) => records)
        .map((record) => ControlRecord.parse(record))
        .filter(({ kind }) => kind === "checkpoint");
      expect(writers.map(({ node }) => node)).toEqual(["n2"]);
    });

    it("lets a new reader recover the state although the log retains few entries", async () => {
      cluster = new Cluster(3, () => ({ limits: ["checkpoint-records = 16"] }));
      cluster.platform.log.retention = { entries: 64 };
      await cluster.startAll();
      const { log } = cluster.platform;
      log.append("control", [createConfiguration("c", 0, "one")]);
      for (let entry = 1; entry <= 300; entry++) {
        log.append("control", [createHostDrain(`d${entry}`, entry % 2 === 0)]);
        await cluster.clock.advance(2000);
      }
      const lateReader = createControlState(
        cluster.clock,
        cluster.platform.createClients("late").log,
      );
      await cluster.clock.advance(100);
      expect(lateReader.rules?.models.has("one")).toBe(true);
      expect(lateReader.control.createSnapshot()).toEqual(
        cluster.nodes[0]!.find("state").control.createSnapshot(),
      );
      await lateReader.stop();
    });
  });

  describe("reading", () => {
    let clock: ManualClock;
    let platform: MemoryPlatform;

    beforeEach(() => {
      clock = new ManualClock();
      platform = new MemoryPlatform(clock);
    });

    function startReader(name: string) {
      return createControlState(clock, platform.createClients(name).log);
    }

    it("refuses a checkpoint with an older version of the configuration", async () => {
      const state = startReader("a");
      const reducer = new ControlReducer();
      const first = createConfiguration("c", 0, "one");
      reducer.apply(platform.log.append("control", [first]), first);
      const olderSnapshot = reducer.createSnapshot();
      platform.log.append("control", [createConfiguration("d", 1, "two")]);
      platform.log.append("control", [createCheckpoint("k", olderSnapshot)]);
      await clock.advance(100);
      expect(state.rules?.models.has("two")).toBe(true);
      expect(state.adopt(olderSnapshot, "checkpoint")).toBe(false);
      expect(state.control.configuration.version).toBe(2);
    });

    it("refuses an earlier state with the same version", async () => {
      const state = startReader("a");
      platform.log.append("control", [createConfiguration("c", 0, "one")]);
      await clock.advance(100);
      const olderSnapshot = state.control.createSnapshot();
      platform.log.append("control", [createHostDrain("x", true)]);
      await clock.advance(100);
      expect(state.adopt(olderSnapshot, "peer")).toBe(false);
      expect(state.control.drainedHosts.size).toBe(1);
    });

    it("brings a reader up to date whose next offset has expired", async () => {
      const [follower, lateReader] = [startReader("a"), startReader("b")];
      platform.log.append("control", [createConfiguration("c", 0, "one")]);
      await clock.advance(100);
      platform.network.setModeOfEnd("b", "refuse");
      await clock.advance(5000);
      platform.log.append("control", [createConfiguration("d", 1, "two")]);
      await clock.advance(100);
      const state = follower.control.createSnapshot();
      platform.log.append("control", [createCheckpoint("k", state)]);
      platform.log.append("control", [createHostDrain("x", true)]);
      platform.log.expire("control", 3);
      platform.network.setModeOfEnd("b", "pass");
      await clock.advance(1000);
      expect(lateReader.control.createSnapshot())
        .toEqual(follower.control.createSnapshot());
      expect(lateReader.control.asOf).toBe(4);
    });

    it("has no rules and reports why when it finds no checkpoint", async () => {
      platform.log.append("control", [createConfiguration("c", 0, "one")]);
      platform.log.append("control", [createConfiguration("d", 1, "two")]);
      platform.log.append("control", [createHostDrain("x", true)]);
      platform.log.expire("control", 2);
      const state = startReader("a");
      await clock.advance(10_000);
      expect(state.rules).toBeUndefined();
      expect(state.control.asOf).toBe(0);
      expect(state.dump()).toMatchObject({
        reading: "expired",
        obstacle: expect.stringContaining("expired"),
      });
    });

    it("ignores a checkpoint followed by expired entries", () => {
      const reducer = new ControlReducer();
      reducer.apply(1, createHostDrain("x", true));
      const record = createCheckpoint("k", reducer.createSnapshot());
      const entries = [{ offset: 5, records: [record] }];
      expect(findCheckpoint(entries, 2)?.asOf).toBe(1);
      expect(findCheckpoint(entries, 3)).toBeUndefined();
    });

    it("ignores a checkpoint that covers its own offset", () => {
      const reducer = new ControlReducer();
      reducer.apply(9, createHostDrain("x", true));
      const record = createCheckpoint("k", reducer.createSnapshot());
      const entries = [{ offset: 9, records: [record] }];
      expect(findCheckpoint(entries, 1)).toBeUndefined();
    });
  });

  describe("agreement", () => {
    /** Creates a record from small numbers, so that records often collide. */
    function createRecord(numbers: readonly number[]): unknown {
      const [kind = 0, a = 0, b = 0, c = 0] = numbers;
      const header = { id: `id-${b}-${c}`, node: `n${a}`, scope: SCOPE };
      const group = `g${a}`;
      const records = [
        createConfiguration(`c${b}-${c}`, c * 3, `m${a}`),
        createHostDrain(`d${b}-${c}`, a % 2 === 0),
        { kind: "lease", ...header, fence: 0, basis: c * 2 },
        { kind: "lease", ...header, fence: 1, basis: c },
        { kind: "group-loading", ...header, fence: 1, group },
        { kind: "group-retired", ...header, fence: 1, group, released: [] },
        { kind: "host-released", ...header, fence: 1, host: `h${b}` },
        {
          kind: "group-assigned",
          ...header,
          fence: 1,
          group,
          model: "m",
          version: "1",
          hosts: [`h${b}`, `h${b + 1}`],
          fabricDomain: "fd",
          dataCentre: "dc-1",
        },
        { kind: "unknown", ...header },
      ];
      return records[kind];
    }

    /**
     * Records of one entry, and what follows it: a checkpoint, an expiry or a new
     * reader if the number is 0.
     */
    const Step = fc.record({
      records: fc.array(
        fc.tuple(
          fc.nat({ max: 8 }),
          fc.nat({ max: 3 }),
          fc.nat({ max: 4 }),
          fc.nat({ max: 4 }),
        ),
        { minLength: 1, maxLength: 3 },
      ),
      checkpoint: fc.nat({ max: 4 }),
      expire: fc.nat({ max: 5 }),
      start: fc.nat({ max: 6 }),
    });

    it("gives all readers the same state at whichever offset they start", async () => {
      await fc.assert(
        fc.asyncProperty(
          fc.array(Step, { minLength: 4, maxLength: 30 }),
          async (steps) => {
            const clock = new ManualClock();
            const platform = new MemoryPlatform(clock);
            const { log } = platform;
            const startReader = (name: string) =>
              createControlState(clock, platform.createClients(name).log);
            const first = startReader("first");
            const readers = [first];
            let coveredOffset = 0;
            log.append("control", [{
              kind: "lease",
              id: "lease",
              node: "n0",
              scope: SCOPE,
              fence: 0,
              basis: 0,
            }]);
            for (const [index, step] of steps.entries()) {
              log.append("control", step.records.map(createRecord));
              await clock.advance(10);
              if (step.checkpoint === 0) {
                const state = first.control.createSnapshot();
                log.append("control", [createCheckpoint(`k${index}`, state)]);
                coveredOffset = state.asOf;
              }
              if (step.expire === 0 && coveredOffset > 0) {
                log.expire("control", coveredOffset + 1);
              }
              if (step.start === 0) {
                readers.push(startReader(`r${index}`));
              }
            }
            readers.push(startReader("last"));
            await clock.advance(5000);
            const expected = first.control.createSnapshot();
            for (const reader of readers) {
              expect(reader.control.createSnapshot()).toEqual(expected);
              expect(reader.rules).toEqual(first.rules);
              await reader.stop();
            }
          },
        ),
        { seed: SEED, numRuns: 150 },
      );
    });
  });

  describe("append delays", () => {
    // Guards against all nodes appending a checkpoint at once.
    it("orders lease holders first and delays all other nodes", () => {
      const random = new SeededRandom(SEED);
      const delaysMs = Array.from(
        { length: 50 },
        (_, index) =>
          computeCheckpointDelay({
            node: `n${index}`,
            holders: ["n3", "n1", "n3"],
            stepMs: 2000,
            spreadMs: 30_000,
          }, random),
      );
      expect(delaysMs[3]).toBe(0);
      expect(delaysMs[1]).toBe(2000);
      const others = delaysMs.filter((_, index) => index !== 1 && index !== 3);
      expect(Math.min(...others)).toBeGreaterThanOrEqual(4000);
    });
  });
});
