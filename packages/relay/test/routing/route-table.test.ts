import { SeededRandom } from "@zinniahill/kernel";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import type { Configuration, Route } from "../../src/index.ts";
import { RouteTable } from "../../src/routing/route-table.ts";

function createRoute(name: string, pathPrefix: string): Route {
  return {
    name,
    host: "Calls.Example",
    pathPrefix,
    kind: "idempotent",
    timeoutMs: 1000,
    targetMs: 100,
    rank: 0,
    maxAttempts: 2,
    isAnonymous: false,
    repetition: "repeat",
    destinations: [
      { service: "old", weight: 90 },
      { service: "new", weight: 10 },
    ],
  };
}

const CONFIGURATION: Configuration = {
  version: 1,
  routes: [createRoute("short", "/a/"), createRoute("long", "/a/b/")],
  services: [
    { name: "old", maxConnections: 1 },
    { name: "new", maxConnections: 1 },
  ],
  accounts: [{ name: "north", keys: ["k1", "k2"] }],
  limits: {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  },
};

describe("RouteTable", () => {
  const table = new RouteTable(CONFIGURATION);

  describe("findRoute", () => {
    it("selects the longest matching path prefix", () => {
      expect(table.findRoute("calls.example", "/a/b/c")?.name).toBe("long");
      expect(table.findRoute("calls.example", "/a/c")?.name).toBe("short");
    });

    it("ignores the case and the port of the host", () => {
      expect(table.findRoute("CALLS.example:8080", "/a/")?.name).toBe("short");
    });

    it("finds no route for a part of a prefix or for another host", () => {
      expect(table.findRoute("calls.example", "/a")).toBeUndefined();
      expect(table.findRoute("other.example", "/a/")).toBeUndefined();
    });
  });

  describe("many routes of a host", () => {
    const part = fc.constantFrom("a", "b", "cc");
    const path = fc.array(part, { maxLength: 5 })
      .map((parts) => `/${parts.map((name) => `${name}/`).join("")}`);
    const prefix = fc.oneof(path, path.map((text) => `${text}a`));

    it("are matched as by comparing every prefix", () => {
      fc.assert(
        fc.property(fc.array(prefix), path, (prefixes, requested) => {
          const routes = prefixes.map((text, index) =>
            createRoute(`${index}`, text)
          );
          const expected = [...routes]
            .sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
            .find(({ pathPrefix }) => requested.startsWith(pathPrefix));
          const found = new RouteTable({ ...CONFIGURATION, routes })
            .findRoute("calls.example", requested);
          expect(found?.name).toBe(expected?.name);
        }),
      );
    });
  });

  describe("pickService", () => {
    it("distributes requests by weight", () => {
      const random = new SeededRandom(7);
      const route = table.findRoute("calls.example", "/a/")!;
      const picked = Array.from(
        { length: 1000 },
        () => table.pickService(route, random)?.name,
      );
      const share = picked.filter((name) => name === "new").length / 1000;
      expect(share).toBeGreaterThan(0.05);
      expect(share).toBeLessThan(0.15);
    });
  });

  describe("findAccount", () => {
    it("finds an account by each of its keys and by no other key", () => {
      expect(table.findAccount("k2")?.name).toBe("north");
      expect(table.findAccount("k3")).toBeUndefined();
    });
  });
});
