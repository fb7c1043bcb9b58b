import { afterEach, describe, expect, it } from "vitest";
import { Cluster } from "../state/cluster.ts";

const SIZE = 40;
const REPORT_MS = 1000;
/** Bytes a second that control may cost a node, in both directions. */
const BYTES_PER_SECOND = 5000;

describe("Evidence where not every node is connected to each other", () => {
  let cluster: Cluster;
  afterEach(() => cluster.stop());

  /** All nodes find the same groups missing within a second, each in turn. */
  async function loseGroups(groups: number, hosts: number): Promise<void> {
    for (const node of cluster.nodes) {
      for (let group = 0; group < groups; group++) {
        node.find("peers").broadcast({
          kind: "evidence",
          hosts: Array.from({ length: hosts }, (_, host) => ({
            host: `fd-1-h${group}-${host}`,
            missing: true,
            ageMs: 0,
          })),
        });
      }
      await cluster.clock.advance(REPORT_MS / SIZE);
    }
  }

  describe("bytes in the second after a loss", () => {
    it.each([["a host", 1, 1], ["a rack of 16 hosts", 4, 4]])(
      "stay within the allowance on average over nodes with %s",
      async (name, groups, hosts) => {
        cluster = new Cluster(SIZE);
        await cluster.startAll(15_000);
        const sent = new Map<string, number>();
        const heard = new Set<string>();
        cluster.transports.onSend = (address, { length }) => {
          sent.set(address, (sent.get(address) ?? 0) + length);
        };
        for (const [index, node] of cluster.nodes.entries()) {
          node.find("peers").onMessage("evidence", (_origin, message) => {
            message.hosts.forEach(({ host }) => heard.add(`${index} ${host}`));
          });
        }
        await loseGroups(groups, hosts);
        const rates = [...sent.values()];
        const mean = rates.reduce((sum, rate) => sum + rate, 0) / SIZE;
        console.log(`${name}: mean ${mean}, highest ${Math.max(...rates)}`);
        expect(heard.size).toBeGreaterThanOrEqual((SIZE - 1) * groups * hosts);
        expect(2 * mean).toBeLessThan(BYTES_PER_SECOND);
      },
    );
  });
});
