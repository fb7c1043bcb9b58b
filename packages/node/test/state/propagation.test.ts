import { afterEach, describe, expect, it } from "vitest";
import { Cluster, createConfiguration } from "./cluster.ts";

/** An accepted configuration must be in force at all nodes by then. */
const TARGET_MS = 7000;
const TIMEOUT_MS = 60_000;

describe("propagation of a configuration", () => {
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

      /** Publishes at node 0; returns the ms until all nodes have it. */
      async function measurePublication(): Promise<number> {
        const { signal } = new AbortController();
        const previous = cluster.nodes[0]!.find("state").control.configuration;
        const id = `edit-${previous.version}`;
        void cluster.nodes[0]!.find("state").propose(
          createConfiguration(id, previous.version, "two"),
          signal,
        );
        return await cluster.advanceUntil(
          TIMEOUT_MS,
          () =>
            cluster.activeVersions.every((version) =>
              version > previous.version
            ),
        );
      }

      it("is in time while the log is healthy", async () => {
        await startWithConfiguration();
        expect(await measurePublication()).toBeLessThanOrEqual(TARGET_MS);
      });

      it("is in time while the log is slow", async () => {
        await startWithConfiguration();
        cluster.platform.log.faults.delayMs = 1000;
        await cluster.clock.advance(10_000);
        expect(await measurePublication()).toBeLessThanOrEqual(TARGET_MS);
      });

      it("is in time once the log is reachable again", async () => {
        await startWithConfiguration();
        cluster.platform.log.faults.isDown = true;
        await cluster.clock.advance(60_000);
        cluster.platform.log.faults.isDown = false;
        expect(await measurePublication()).toBeLessThanOrEqual(TARGET_MS);
      });

      it("is in time at nodes that can reach only their peers", async () => {
        await startWithConfiguration();
        for (let index = 1; index < size; index += 2) {
          cluster.platform.network.setModeOfEnd(`n${index}`, "silent");
        }
        await cluster.clock.advance(10_000);
        expect(await measurePublication()).toBeLessThanOrEqual(TARGET_MS);
      });
    });
  }
});
