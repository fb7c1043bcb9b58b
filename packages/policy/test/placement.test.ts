import { SeededRandom } from "@zinniahill/kernel";
import type { GroupState, Host, ModelRule } from "@zinniahill/schema";
import { describe, expect, it } from "vitest";
import {
  countStrandedAccelerators,
  listSurplusGroups,
  type PlacedGroup,
  placeGroup,
  planGroups,
} from "../src/index.ts";

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];
const SIZES = [4, 3, 2];

function createHosts(
  fabricDomain: string,
  count: number,
  dataCentre = "dc-1",
): Host[] {
  return Array.from({ length: count }, (_item, index) => ({
    host: `${fabricDomain}-h${index}`,
    address: "127.0.0.1:9000",
    dataCentre,
    fabricDomain,
    accelerators: 8,
    state: "live" as const,
  }));
}

function createModel(name: string, hosts: number, replicas = 1): ModelRule {
  return { name, version: "1", hosts, replicas, spares: 0 };
}

function createGroup(
  group: string,
  place: Partial<GroupState> = {},
): GroupState {
  return {
    group,
    scope: `placement/${place.dataCentre ?? "dc-1"}`,
    phase: "ready",
    model: "chat",
    version: "1",
    hosts: [`${group}-h1`],
    fabricDomain: "fd-1",
    dataCentre: "dc-1",
    fence: 1,
    since: 1,
    ...place,
  };
}

/** Takes the first fabric domain in list order that has enough hosts. */
function placeFirstFit(
  model: ModelRule,
  free: readonly Host[],
): readonly Host[] | undefined {
  const fabricDomains = new Set(free.map(({ fabricDomain }) => fabricDomain));
  for (const name of fabricDomains) {
    const hosts = free.filter(({ fabricDomain }) => fabricDomain === name);
    if (hosts.length >= model.hosts) {
      return hosts.slice(0, model.hosts);
    }
  }
  return undefined;
}

/** Places groups of mixed sizes and counts the stranded accelerators. */
function fill(
  seed: number,
  place: (model: ModelRule, free: Host[]) => readonly Host[] | undefined,
): { placed: number; stranded: number } {
  const random = new SeededRandom(seed);
  let free = Array.from({ length: 20 }, (_item, index) => index)
    .flatMap((index) => createHosts(`fd-${index}`, 2 + random.below(9)));
  let placed = 0;
  for (let round = 0; round < 60; round++) {
    const size = SIZES[random.below(SIZES.length)]!;
    const chosen = place(createModel("chat", size), free);
    if (chosen !== undefined) {
      const names = new Set(chosen.map(({ host }) => host));
      free = free.filter(({ host }) => !names.has(host));
      placed += size;
    }
  }
  return { placed, stranded: countStrandedAccelerators(free, [4]) };
}

describe("placeGroup", () => {
  describe("fabric domains", () => {
    it("never spreads a group over two fabric domains, which would be slow", () => {
      const free = [...createHosts("fd-1", 3), ...createHosts("fd-2", 3)];
      expect(placeGroup(createModel("chat", 4), free)).toBeUndefined();
    });

    it("chooses a fabric domain where no host becomes stranded", () => {
      const free = [...createHosts("fd-1", 5), ...createHosts("fd-2", 6)];
      const context = {
        groupSizes: [4, 2],
        replicaCounts: new Map<string, number>(),
      };
      const placed = placeGroup(createModel("chat", 2), free, context);
      expect(placed?.fabricDomain).toBe("fd-1");
      const next = placeGroup(createModel("chat", 4), free, context);
      expect(next?.fabricDomain).toBe("fd-1");
    });

    it("keeps replicas apart, so that one switch does not take them all", () => {
      const free = [...createHosts("fd-1", 4), ...createHosts("fd-2", 8)];
      const replicaCounts = new Map([["fd-1", 1]]);
      const placed = placeGroup(createModel("chat", 4), free, {
        groupSizes: [4],
        replicaCounts,
      });
      expect(placed?.fabricDomain).toBe("fd-2");
    });

    it("prefers a fabric domain where a spare remains", () => {
      const free = [...createHosts("fd-1", 4), ...createHosts("fd-2", 5)];
      const model = { ...createModel("chat", 4), spares: 1 };
      expect(placeGroup(model, free)?.fabricDomain).toBe("fd-2");
      expect(placeGroup({ ...model, spares: 0 }, free)?.fabricDomain)
        .toBe("fd-1");
    });
  });

  describe("stranded accelerators", () => {
    it("are fewer than with first fit, over all seeds together", () => {
      const total = { best: 0, first: 0, bestPlaced: 0, firstPlaced: 0 };
      for (const seed of SEEDS) {
        const best = fill(seed, (model, free) => {
          const context = { groupSizes: SIZES, replicaCounts: new Map() };
          return placeGroup(model, free, context)?.hosts;
        });
        const first = fill(seed, placeFirstFit);
        total.best += best.stranded;
        total.first += first.stranded;
        total.bestPlaced += best.placed;
        total.firstPlaced += first.placed;
      }
      console.info(
        `stranded accelerators: ${total.best}, first fit ${total.first}; ` +
          `hosts placed: ${total.bestPlaced}, first fit ${total.firstPlaced}`,
      );
      expect(total.best).toBeLessThan(total.first);
      expect(total.bestPlaced).toBeGreaterThanOrEqual(total.firstPlaced);
    });

    it("count only hosts that no size of group can use", () => {
      const free = [...createHosts("fd-1", 3), ...createHosts("fd-2", 5)];
      expect(countStrandedAccelerators(free, [4])).toBe(32);
      expect(countStrandedAccelerators(free, [4, 3])).toBe(8);
    });
  });
});

describe("planGroups", () => {
  const dc1 = createHosts("fd-1", 8);
  const dc2 = createHosts("fd-2", 8, "dc-2");
  const dc3 = createHosts("fd-3", 8, "dc-3");

  function listPlaces(planned: readonly { placed: PlacedGroup }[]): string[] {
    return planned.map(({ placed }) => placed.dataCentre).sort();
  }

  describe("data centres", () => {
    it("share the replicas, so that the loss of one leaves the others", () => {
      const planned = planGroups({
        models: [createModel("chat", 4, 3)],
        groups: [],
        freeHosts: [...dc3, ...dc1, ...dc2],
      });
      expect(listPlaces(planned)).toEqual(["dc-1", "dc-2", "dc-3"]);
    });

    it("place one missing replica in the same one, whatever the list order", () => {
      const groups = [createGroup("a", { dataCentre: "dc-1" })];
      const plan = (freeHosts: Host[]) =>
        listPlaces(planGroups({
          models: [createModel("chat", 4, 2)],
          groups,
          freeHosts,
        }));
      expect(plan([...dc2, ...dc3])).toEqual(["dc-2"]);
      expect(plan([...dc3, ...dc2])).toEqual(["dc-2"]);
    });

    it("replace the replicas of a data centre without hosts", () => {
      const planned = planGroups({
        models: [createModel("chat", 4, 2)],
        groups: [createGroup("a", { dataCentre: "dc-2" })],
        freeHosts: createHosts("fd-9", 4, "dc-2"),
      });
      expect(listPlaces(planned)).toEqual(["dc-2"]);
    });

    it("keep the rest of the plan when one part of it is carried out", () => {
      const models = [createModel("chat", 4, 4)];
      const freeHosts = [...dc1, ...dc2, ...dc3];
      const planned = planGroups({ models, groups: [], freeHosts });
      const [first, ...rest] = planned;
      const taken = new Set(first!.placed.hosts.map(({ host }) => host));
      const { fabricDomain, dataCentre } = first!.placed;
      const again = planGroups({
        models,
        groups: [createGroup("a", { fabricDomain, dataCentre })],
        freeHosts: freeHosts.filter(({ host }) => !taken.has(host)),
      });
      expect(again.map(({ placed }) => placed)).toEqual(
        rest.map(({ placed }) => placed),
      );
    });
  });

  describe("replacements", () => {
    it("do not count beside the group that they replace", () => {
      const groups = [createGroup("a"), createGroup("b", { replaces: "a" })];
      const models = [createModel("chat", 4, 1)];
      expect(planGroups({ models, groups, freeHosts: dc1 })).toEqual([]);
      expect(listSurplusGroups(models, groups)).toEqual([]);
    });

    it("count once the group that they replace drains", () => {
      const groups = [
        createGroup("a", { phase: "draining" }),
        createGroup("b", { replaces: "a" }),
      ];
      const models = [createModel("chat", 4, 1)];
      expect(planGroups({ models, groups, freeHosts: dc1 })).toEqual([]);
    });
  });
});

describe("listSurplusGroups", () => {
  describe("fewer replicas", () => {
    it("drains groups that do not serve before groups that do", () => {
      const groups = [createGroup("a"), createGroup("b", { phase: "loading" })];
      const surplus = listSurplusGroups([createModel("chat", 4, 1)], groups);
      expect(surplus.map(({ group }) => group)).toEqual(["b"]);
    });

    it("drains in the data centre that has the most", () => {
      const groups = [
        createGroup("a", { dataCentre: "dc-2" }),
        createGroup("b"),
        createGroup("c"),
      ];
      const surplus = listSurplusGroups([createModel("chat", 4, 2)], groups);
      expect(surplus.map(({ group }) => group)).toEqual(["b"]);
    });

    it("drains every group of a model that the rules no longer have", () => {
      const surplus = listSurplusGroups([], [
        createGroup("a"),
        createGroup("b"),
      ]);
      expect(surplus).toHaveLength(2);
    });
  });
});
