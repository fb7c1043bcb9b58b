import {
  type Clock,
  Kernel,
  ManualClock,
  SeededRandom,
} from "@zinniahill/kernel";
import { MemoryNetwork, MemoryTransports } from "@zinniahill/stand-ins";
import { Result } from "true-myth";
import { afterEach, describe, expect, it } from "vitest";
import type { KeyRecord, NodeEntry } from "../../src/index.ts";
import { Lifecycle } from "../../src/lifecycle.ts";
import type { MessageOf } from "../../src/model/peer-message.ts";
import { Mesh } from "../../src/peers/mesh.ts";
import type { RelayKernel, RelayServices } from "../../src/services.ts";

const NODES = 60;
const DATA_CENTRES = 3;
const START_MS = 4000;
const SUSPECT: MessageOf<"suspect"> = {
  kind: "suspect",
  instance: "i-1",
  group: "g",
  epoch: 1,
};

/** Announcements of nodes, which every node reads at once. */
class Announcements {
  #entries: NodeEntry[] = [];
  #listeners = new Set<(records: readonly KeyRecord[]) => void>();

  /** Names of the nodes, once for each time that they were announced. */
  listNames(): string[] {
    return this.#entries.map(({ name }) => name);
  }

  add(entry: NodeEntry): void {
    this.#entries.push(entry);
    this.#listeners.forEach((listener) => listener([this.#encode(entry)]));
  }

  onChange(listener: (records: readonly KeyRecord[]) => void): void {
    this.#listeners.add(listener);
    listener(this.#entries.map((entry) => this.#encode(entry)));
  }

  #encode(entry: NodeEntry): KeyRecord {
    return { key: entry.name, offset: 0, value: JSON.stringify(entry) };
  }
}

interface Node {
  readonly name: string;
  readonly mesh: Mesh;
  readonly suspicions: string[];
  isPaused: (feed: "configuration" | "instances") => boolean;
}

interface Dump {
  readonly role: string;
  readonly links: readonly { readonly name: string }[];
}

class Cluster {
  readonly clock = new ManualClock();
  readonly network = new MemoryNetwork(this.clock);
  readonly transports = new MemoryTransports(this.network);
  readonly nodes: Node[] = [];
  readonly announcements = new Announcements();
  readonly restoreListeners: (() => void)[] = [];
  #messages = new Map<string, number>();

  constructor() {
    this.transports.onSend = (address) => {
      this.#messages.set(address, (this.#messages.get(address) ?? 0) + 1);
    };
  }

  async start(count: number): Promise<void> {
    for (let index = 0; index < count; index++) {
      this.nodes.push(await this.#createNode(index));
    }
    await this.clock.advance(START_MS);
  }

  async #createNode(index: number): Promise<Node> {
    const name = `n-${index}`;
    const peerAddress = `10.0.0.${index}:81`;
    let isPaused: Node["isPaused"] = () => false;
    const feeds = {
      onChange: (
        _feed: string,
        listener: (records: readonly KeyRecord[]) => void,
      ) => this.announcements.onChange(listener),
      shareReads: ({ isSupplied }: { isSupplied: Node["isPaused"] }) => {
        isPaused = isSupplied;
      },
      table: () => ({ next: 0, listFrom: () => [] }),
      ageMs: () => 5,
      markUpToDate: () => {},
      isReachable: () => true,
      isPaused: () => false,
      isUnconfirmed: () => false,
      isConfirmationDue: () => false,
      onRestore: (listener: () => void) => {
        this.restoreListeners.push(listener);
      },
      batchDelayMs: () => 0,
    };
    const logger = { error() {}, warn() {}, info() {}, debug() {} };
    const node = {
      name,
      dataCentre: `dc-${index % DATA_CENTRES}`,
      publicAddress: `10.0.0.${index}:80`,
      peerAddress,
    };
    const store = {
      announceNode: (entry: NodeEntry) => {
        this.announcements.add(entry);
        return Promise.resolve(Result.ok(undefined));
      },
    };
    const kernel: RelayKernel = new Kernel<RelayServices>();
    kernel
      .provide("clock", [], () => this.clock as Clock)
      .provide("random", [], () => new SeededRandom(index + 1))
      .provide("logger", [], () => logger)
      .provide("settings", [], () => ({ node }) as never)
      .provide("topics", [], () => store as never)
      .provide(
        "decoder",
        [],
        () =>
          ({ node: (value: string) => Result.ok(JSON.parse(value)) }) as never,
      )
      .provide("feeds", [], () => feeds as never)
      .provide("configuration", [], () => ({}) as never)
      .provide("lifecycle", [], () => new Lifecycle())
      .provide("intake", [], () => ({ capacity: 1 }) as never)
      .provide(
        "peerTransport",
        [],
        () => this.transports.create(peerAddress),
      );
    await kernel.start();
    const mesh = new Mesh(kernel);
    const suspicions: string[] = [];
    mesh.onMessage("suspect", (_message, { name }) => suspicions.push(name));
    await mesh.start();
    return { name, mesh, suspicions, isPaused: (feed) => isPaused(feed) };
  }

  async stop(): Promise<void> {
    await Promise.all(this.nodes.map(({ mesh }) => mesh.stop()));
  }

  find(name: string): Node {
    return this.nodes.find((node) => node.name === name)!;
  }

  listByRole(role: string): Node[] {
    return this.nodes.filter(({ mesh }) => dump(mesh).role === role);
  }

  /** Counts the messages that each node sends in a time. */
  async countMessages(ms: number): Promise<Map<string, number>> {
    this.#messages.clear();
    await this.clock.advance(ms);
    return new Map(this.#messages);
  }

  /** Ends a node without a word. */
  async cutOff(node: Node): Promise<void> {
    this.network.setModeOfEnd(node.mesh.ownEntry.peerAddress, "silent");
    this.nodes.splice(this.nodes.indexOf(node), 1);
    await Promise.resolve();
  }
}

function dump(mesh: Mesh): Dump {
  return mesh.dump() as Dump;
}

let cluster: Cluster | undefined;

async function start(count: number): Promise<Cluster> {
  cluster = new Cluster();
  await cluster.start(count);
  return cluster;
}

afterEach(async () => {
  await cluster?.stop();
  cluster = undefined;
});

describe("Mesh", () => {
  describe.each([4, NODES])("of %i nodes", (count) => {
    it("knows every other node", async () => {
      const { nodes } = await start(count);
      for (const { mesh } of nodes) {
        expect(mesh.list()).toHaveLength(count - 1);
        const oldest = Math.max(...mesh.list().map(({ silentMs }) => silentMs));
        expect(oldest).toBeLessThan(1000);
      }
    });

    it("delivers a message to every other node once", async () => {
      const { nodes, clock } = await start(count);
      for (const { mesh } of nodes) {
        mesh.broadcast(SUSPECT);
      }
      await clock.advance(100);
      for (const { name, suspicions } of nodes) {
        const others = nodes.map((node) => node.name)
          .filter((other) => other !== name);
        expect([...suspicions].sort()).toEqual(others.sort());
      }
    });

    it("delivers a message for one node to it alone", async () => {
      const { nodes, clock } = await start(count);
      const target = nodes.at(-1)!;
      for (const { mesh, name } of nodes) {
        if (name !== target.name) {
          mesh.sendTo(target.mesh.ownEntry, SUSPECT);
        }
      }
      await clock.advance(100);
      expect(new Set(target.suspicions).size).toBe(count - 1);
      for (const { suspicions } of nodes.slice(0, -1)) {
        expect(suspicions).toEqual([]);
      }
    });
  });

  describe("after a restore of the store", () => {
    // Guards against nodes that a later one never hears of, as the copy from
    // which the store was restored lacks their entries.
    it("announces each node once more", async () => {
      const { nodes, announcements, restoreListeners, clock } = await start(4);
      const names = nodes.map(({ name }) => name);
      expect(announcements.listNames()).toEqual(names);
      restoreListeners.forEach((listener) => listener());
      await clock.advance(100);
      expect(announcements.listNames().slice(4).sort()).toEqual(names);
    });
  });

  describe("of many nodes", () => {
    it("sends few messages a second from all but the hubs", async () => {
      const created = await start(NODES);
      const hubs = created.listByRole("hub");
      expect(hubs).toHaveLength(DATA_CENTRES);
      const sent = await created.countMessages(3000);
      for (const { mesh } of created.listByRole("spoke")) {
        expect(sent.get(mesh.ownEntry.peerAddress)! / 3).toBeLessThan(5);
      }
    });

    it("lets spokes replace their reads of the store by their hub's", async () => {
      const created = await start(NODES);
      expect(
        created.listByRole("spoke").every(({ isPaused }) =>
          isPaused("configuration")
        ),
      ).toBe(true);
      expect(
        created.listByRole("hub").some(({ isPaused }) =>
          isPaused("configuration")
        ),
      ).toBe(false);
    });

    it("replaces a hub that falls silent by another node", async () => {
      const created = await start(NODES);
      const [hub] = created.listByRole("hub");
      await created.cutOff(hub!);
      await created.clock.advance(8000);
      for (const { mesh } of created.nodes) {
        const names = mesh.list().map(({ entry }) => entry.name);
        expect(names).toHaveLength(NODES - 2);
        expect(names).not.toContain(hub!.name);
      }
    });

    it("replaces all hubs that are lost together", async () => {
      const created = await start(NODES);
      for (const hub of created.listByRole("hub")) {
        await created.cutOff(hub);
      }
      await created.clock.advance(10_000);
      const expected = NODES - 1 - DATA_CENTRES;
      for (const { mesh } of created.nodes) {
        expect(mesh.list()).toHaveLength(expected);
      }
    });

    it("connects each half if the data centres are cut in two", async () => {
      const created = await start(NODES);
      const halves = [0, 1].map((half) =>
        created.nodes.filter((_, index) => index % 2 === half)
      );
      for (const a of halves[0]!) {
        for (const b of halves[1]!) {
          const [near, far] = [a, b].map(({ mesh }) =>
            mesh.ownEntry.peerAddress
          );
          created.network.setMode(near!, far!, "silent");
          created.network.setMode(far!, near!, "silent");
        }
      }
      await created.clock.advance(12_000);
      for (const { mesh } of created.nodes) {
        expect(mesh.list()).toHaveLength(NODES / 2 - 1);
      }
    });
  });
});
