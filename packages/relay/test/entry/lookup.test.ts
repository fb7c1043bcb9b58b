import { Kernel, SeededRandom } from "@zinniahill/kernel";
import { describe, expect, it } from "vitest";
import { Lookup } from "../../src/entry/lookup.ts";
import type { NodeEntry } from "../../src/model/peer-message.ts";
import type { RelayKernel, RelayServices } from "../../src/services.ts";

const LOOKUPS = 400;

function createEntry(name: string, dataCentre: string): NodeEntry {
  return {
    name,
    incarnation: "x",
    dataCentre,
    publicAddress: name,
    peerAddress: `${name}-peer`,
  };
}

/** A node of data centre "a" with peers, by data centre and capacity. */
async function create(
  own: { readonly isServing?: boolean; readonly capacity?: number },
  peers: readonly (readonly [string, number])[],
): Promise<Lookup> {
  const mesh = {
    ownEntry: createEntry("own", "a"),
    list: () =>
      peers.map(([dataCentre, capacity], index) => ({
        entry: createEntry(`peer-${index}`, dataCentre),
        isServing: true,
        capacity,
      })),
  };
  const kernel: RelayKernel = new Kernel<RelayServices>();
  kernel
    .provide("random", [], () => new SeededRandom(3))
    .provide("mesh", [], () => mesh as never)
    .provide(
      "lifecycle",
      [],
      () => ({ isServing: own.isServing ?? true }) as never,
    )
    .provide("intake", [], () => ({ capacity: own.capacity ?? 1 }) as never)
    .provide(
      "settings",
      [],
      () => ({ limits: { lookupValidityMs: 1000 } }) as never,
    );
  await kernel.start();
  return new Lookup(kernel);
}

/** How often each address is in an answer. */
function countAddresses(lookup: Lookup): Map<string, number> {
  const counts = new Map<string, number>();
  for (let index = 0; index < LOOKUPS; index++) {
    for (const address of lookup.find(undefined).addresses) {
      counts.set(address, (counts.get(address) ?? 0) + 1);
    }
  }
  return counts;
}

describe("Lookup", () => {
  describe("order", () => {
    it("puts nodes of the caller's data centre first", async () => {
      const lookup = await create({}, [["b", 1], ["c", 1]]);
      expect(lookup.find("c").addresses).toEqual(["peer-1", "own", "peer-0"]);
    });
  });

  describe("membership", () => {
    it("leaves out this node while it does not serve", async () => {
      const lookup = await create({ isServing: false }, [["b", 1]]);
      expect(lookup.find("a").addresses).toEqual(["peer-0"]);
    });

    it("is empty where no node serves", async () => {
      const lookup = await create({ isServing: false }, []);
      expect(lookup.find("a").addresses).toEqual([]);
    });
  });

  describe("capacity", () => {
    it("keeps nodes of about equal capacity in every answer", async () => {
      const lookup = await create({ capacity: 0.6 }, [["a", 0.5], ["a", 1]]);
      expect([...countAddresses(lookup).values()])
        .toEqual([LOOKUPS, LOOKUPS, LOOKUPS]);
    });

    it("gives a node of a tenth few callers, not as many as the others", async () => {
      const lookup = await create({ capacity: 1 }, [["a", 0.1], ["a", 1]]);
      const counts = countAddresses(lookup);
      expect(counts.get("own")).toBe(LOOKUPS);
      expect(counts.get("peer-0")).toBeGreaterThan(0.1 * LOOKUPS);
      expect(counts.get("peer-0")).toBeLessThan(0.3 * LOOKUPS);
    });

    it("lists a node that runs late where no other serves", async () => {
      const lookup = await create({ capacity: 0.05 }, []);
      expect(lookup.find("a").addresses).toEqual(["own"]);
    });
  });
});
