import { afterEach, describe, expect, it } from "vitest";
import { Cluster, createConfiguration } from "./cluster.ts";

/** An accepted change is in force everywhere within this time. */
const TARGET_MS = 7000;
const GIVE_UP_MS = 60_000;

describe("configuration in force everywhere", () => {
  let cluster: Cluster;
  afterEach(() => cluster.stop());

  for (const size of [4, 20]) {
    describe(`with ${size} nodes`, () => {
      async function startWithConfiguration(): Promise<void> {
        cluster = new Cluster(size);
        await cluster.startAll();
        cluster.platform.log.append("control", [
          createConfiguration("c", 0, "one"),
        ]);
        await cluster.clock.advance(5000);
        expect(new Set(cluster.activeVersions)).toEqual(new Set([1]));
      }

      /** Publishes at node 0 and measures until every node has the version. */
      async function publish(): Promise<number> {
        const { signal } = new AbortController();
        const basis = cluster.nodes[0]!.find("state").control.configuration;
        const id = `edit-${basis.version}`;
        void cluster.nodes[0]!.find("state").propose(
          createConfiguration(id, basis.version, "two"),
          signal,
        );
        return await cluster.advanceUntil(
          GIVE_UP_MS,
          () =>
            cluster.activeVersions.every((version) => version > basis.version),
        );
      }

      it("takes effect in time while the log is well", async () => {
        await startWithConfiguration();
        expect(await publish()).toBeLessThanOrEqual(TARGET_MS);
      });

      it("takes effect in time while the log is slow", async () => {
        await startWithConfiguration();
        cluster.platform.log.faults.delayMs = 1000;
        await cluster.clock.advance(10_000);
        expect(await publish()).toBeLessThanOrEqual(TARGET_MS);
      });

      it("takes effect in time once the log is back", async () => {
        await startWithConfiguration();
        cluster.platform.log.faults.isDown = true;
        await cluster.clock.advance(60_000);
        cluster.platform.log.faults.isDown = false;
        expect(await publish()).toBeLessThanOrEqual(TARGET_MS);
      });

      it("takes effect in time where only peers can be reached", async () => {
        await startWithConfiguration();
        for (let index = 1; index < size; index += 2) {
          cluster.platform.network.setModeOfEnd(`n${index}`, "silent");
        }
        await cluster.clock.advance(10_000);
        expect(await publish()).toBeLessThanOrEqual(TARGET_MS);
      });
    });
  }
});
