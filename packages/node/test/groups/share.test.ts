import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { findLease, Fleet, type FleetNode, listGroups } from "./fleet.ts";

const DATA_CENTRES = ["dc-1", "dc-2", "dc-3"];
const LIMIT_MS = 60_000;

describe("Shares of data centres", () => {
  let fleet: Fleet;
  let nodes: FleetNode[];

  beforeEach(async () => {
    fleet = new Fleet();
    nodes = [];
    for (const [index, dataCentre] of DATA_CENTRES.entries()) {
      const names = [1, 2, 3, 4].map((host) => `${dataCentre}-h${host}`);
      fleet.addHosts(names, `fd-${index}`, dataCentre);
      nodes.push(await fleet.start(`n${index}`, dataCentre));
    }
    await fleet.until(
      LIMIT_MS,
      () =>
        nodes.every((node, index) =>
          findLease(node, DATA_CENTRES[index]) !== undefined
        ),
    );
  });

  afterEach(() => fleet.stop());

  describe("with one holder for each data centre", () => {
    it("fill the rules together and assign no group too many", async () => {
      fleet.publish("model chat version=1 hosts=2 replicas=4");
      await fleet.untilServed(nodes[0]!, 4);
      await fleet.clock.advance(10_000);
      expect(fleet.records("group-assigned")).toHaveLength(4);
      const used = listGroups(nodes[0]!).map(({ dataCentre }) => dataCentre);
      expect(new Set(used).size).toBe(3);
    });

    it("make up for one lost group with one group", async () => {
      fleet.publish("model chat version=1 hosts=2 replicas=4");
      await fleet.untilServed(nodes[0]!, 4);
      const [lost] = listGroups(nodes[0]!);
      lost!.hosts.forEach((host) => fleet.setHost(host, "silent"));
      await fleet.clock.advance(5000);
      await fleet.untilServed(nodes[0]!, 4);
      await fleet.clock.advance(10_000);
      expect(fleet.records("group-assigned")).toHaveLength(5);
    });
  });
});
