import { Kernel, ManualClock, SeededRandom } from "@zinniahill/kernel";
import { Result } from "true-myth";
import { afterEach, describe, expect, it } from "vitest";
import type { ElectionStatus, HolderElection } from "../../src/index.ts";
import type { Mesh } from "../../src/peers/mesh.ts";
import type { Peer } from "../../src/peers/peer.ts";
import { HolderElector } from "../../src/placement/holder-elector.ts";
import type { RelayKernel, RelayServices } from "../../src/services.ts";

/** A membership that deals placement to this node whenever it joins. */
class CountedSeat implements HolderElection {
  renewals = 0;
  isMember = false;
  isHolder = true;
  isAway = false;

  renew(): Promise<
    Result<ElectionStatus, { verdict: "not-run"; message: string }>
  > {
    if (this.isAway) {
      return Promise.resolve(
        Result.err({ verdict: "not-run", message: "503" }),
      );
    }
    this.renewals++;
    this.isMember = true;
    return Promise.resolve(
      Result.ok({ generation: this.renewals, isHolder: this.isHolder }),
    );
  }

  leave(): Promise<Result<void, never>> {
    this.isMember = false;
    return Promise.resolve(Result.ok(undefined));
  }
}

function createPeer(
  holdsPlacement: boolean,
  capacity = 1,
  fields: Partial<Peer> = {},
): Peer {
  return {
    entry: {
      name: "n-2",
      incarnation: "x",
      dataCentre: "a",
      publicAddress: "10.0.1.1:80",
      peerAddress: "10.0.1.1:81",
    },
    isServing: true,
    holdsPlacement,
    seeksPlacement: false,
    capacity,
    silentMs: 0,
    ...fields,
  };
}

/** Changes what the node knows before it starts. */
type Preparation = (known: { nodes: number }, peers: Peer[]) => void;

async function start(
  isHeldByPeer: boolean,
  isHolder = true,
  capacity = 1,
  prepare: Preparation = () => {},
) {
  const clock = new ManualClock();
  const seat = new CountedSeat();
  seat.isHolder = isHolder;
  const peers = [createPeer(isHeldByPeer)];
  const lifecycle = { isDraining: false };
  const known = { nodes: 2 };
  const mesh = {
    list: () => peers,
    countNodes: () => known.nodes,
    broadcastHeartbeat: () => {},
    setPlacementSource: () => {},
  } satisfies Partial<Record<keyof Mesh, unknown>>;
  const silent = { error() {}, warn() {}, info() {}, debug() {} };
  const kernel: RelayKernel = new Kernel<RelayServices>();
  kernel
    .provide("clock", [], () => clock)
    .provide("random", [], () => new SeededRandom(1))
    .provide("logger", [], () => silent)
    .provide("settings", [], () => ({ node: { name: "n-1" } }) as never)
    .provide("lifecycle", [], () => lifecycle as never)
    .provide("mesh", [], () => mesh as unknown as Mesh)
    .provide("intake", [], () => ({ capacity }) as never)
    .provide(
      "feeds",
      [],
      () =>
        ({ readAtFullRateWhile: () => {}, isReachable: () => true }) as never,
    )
    .provide("seat", [], () => seat);
  await kernel.start();
  prepare(known, peers);
  const holder = new HolderElector(kernel);
  holder.start();
  await clock.advance(900);
  return { clock, seat, peers, known, lifecycle, holder };
}

/** A membership that is dealt anew with each change of the members. */
class SharedSeat {
  #clock: ManualClock;
  #members: string[] = [];
  #renewedAt = new Map<string, number>();
  /** Changes of the members. */
  generation = 0;

  constructor(clock: ManualClock) {
    this.#clock = clock;
  }

  /** The membership as one node reaches it. */
  of(node: { isCutOff: boolean }): HolderElection {
    return {
      renew: (member, _generation, termMs) => {
        if (node.isCutOff) {
          return Promise.resolve(
            Result.err({ verdict: "may-have-run", message: "no reply" }),
          );
        }
        this.#expire(termMs);
        this.#renewedAt.set(member, this.#clock.now());
        if (!this.#members.includes(member)) {
          this.#change([...this.#members, member]);
        }
        const holder = this.#members[this.generation % this.#members.length];
        return Promise.resolve(
          Result.ok({
            generation: this.generation,
            isHolder: holder === member,
          }),
        );
      },
      leave: (member) => {
        if (this.#members.includes(member)) {
          this.#change(this.#members.filter((other) => other !== member));
        }
        return Promise.resolve(Result.ok(undefined));
      },
    };
  }

  #expire(termMs: number): void {
    const least = this.#clock.now() - termMs;
    const living = this.#members.filter((member) =>
      this.#renewedAt.get(member)! > least
    );
    if (living.length < this.#members.length) {
      this.#change(living);
    }
  }

  #change(members: string[]): void {
    this.#members = members;
    this.generation++;
  }
}

/** Nodes that hear each other's beats, with those sent at once, after 1 ms. */
async function startMany(count: number) {
  const clock = new ManualClock();
  const random = new SeededRandom(5);
  const seat = new SharedSeat(clock);
  const nodes = await Promise.all(
    Array.from({ length: count }, async (_, index) => {
      const node = {
        said: createPeer(false),
        isHeard: false,
        readClaim: () => ({ isHolder: false, isCandidate: false }),
        holder: undefined as unknown as HolderElector,
        lifecycle: { isDraining: false },
        isCutOff: false,
      };
      const say = () => {
        const { isHolder, isCandidate } = node.readClaim();
        const said = createPeer(isHolder, 1, {
          seeksPlacement: isCandidate,
        });
        clock.schedule(1, () => {
          node.said = said;
          node.isHeard = true;
        });
      };
      const mesh = {
        list: (): Peer[] =>
          nodes.filter((other) => other !== node && other.isHeard)
            .map(({ said }) => said),
        countNodes: () => count,
        broadcastHeartbeat: say,
        setPlacementSource: (source: typeof node.readClaim) => {
          node.readClaim = source;
        },
      };
      const silent = { error() {}, warn() {}, info() {}, debug() {} };
      const kernel: RelayKernel = new Kernel<RelayServices>();
      kernel
        .provide("clock", [], () => clock)
        .provide("random", [], () => random)
        .provide("logger", [], () => silent)
        .provide(
          "settings",
          [],
          () => ({ node: { name: `n-${index}` } }) as never,
        )
        .provide("lifecycle", [], () => node.lifecycle as never)
        .provide("mesh", [], () => mesh as unknown as Mesh)
        .provide("intake", [], () => ({ capacity: 1 }) as never)
        .provide(
          "feeds",
          [],
          () =>
            ({
              readAtFullRateWhile: () => {},
              isReachable: () => true,
            }) as never,
        )
        .provide("seat", [], () => seat.of(node));
      await kernel.start();
      node.holder = new HolderElector(kernel);
      const beat = () => {
        say();
        clock.schedule(465, beat);
      };
      clock.schedule(index * 14, beat);
      return node;
    }),
  );
  nodes.forEach(({ holder }) => holder.start());
  return { clock, seat, nodes };
}

describe("Holder", () => {
  let holder: HolderElector | undefined;

  afterEach(() => holder?.stop());

  async function startHolder(
    isHeldByPeer: boolean,
    isHolder = true,
    capacity = 1,
    prepare?: Preparation,
  ) {
    const started = await start(isHeldByPeer, isHolder, capacity, prepare);
    holder = started.holder;
    return started;
  }

  describe("beside a peer that holds placement", () => {
    it("does not join, so that a restart moves placement nowhere", async () => {
      const { seat } = await startHolder(true);
      expect(seat.renewals).toBe(0);
    });

    it("joins once the peer no longer says so", async () => {
      const { clock, peers, holder } = await startHolder(true);
      peers[0] = createPeer(false);
      await clock.advance(300);
      expect(holder.isHolder).toBe(true);
    });

    it("joins once the peer is lost", async () => {
      const { clock, peers, holder } = await startHolder(true);
      peers.pop();
      await clock.advance(300);
      expect(holder.isHolder).toBe(true);
    });

    it("leaves when it had joined without holding placement", async () => {
      const { clock, seat, peers } = await startHolder(false, false);
      expect(seat.isMember).toBe(true);
      peers[0] = createPeer(true);
      await clock.advance(600);
      expect(seat.isMember).toBe(false);
    });

    it("goes on where it holds placement itself", async () => {
      const { clock, seat, peers, holder } = await startHolder(false);
      peers[0] = createPeer(true);
      await clock.advance(1000);
      expect(seat.isMember).toBe(true);
      expect(holder.isHolder).toBe(true);
    });
  });

  describe("a node that has just started", () => {
    // Guards against the incident SHORT: each restart of a node took placement
    // away from the node that held it, and formations in progress ended.
    it("does not join before it has heard the nodes that it knows", async () => {
      const started = await startHolder(false, true, 1, (known, peers) => {
        known.nodes = 3;
        peers.pop();
      });
      expect(started.seat.renewals).toBe(0);
    });

    it("joins when nodes that it knows stay silent", async () => {
      const { clock, holder } = await startHolder(false, true, 1, (known) => {
        known.nodes = 3;
      });
      await clock.advance(1000);
      expect(holder.isHolder).toBe(true);
    });
  });

  describe("a holder that falls silent", () => {
    it("counts as gone after its term, before its connection is given up", async () => {
      const { clock, peers, holder } = await startHolder(true);
      peers[0] = createPeer(true, 1, { silentMs: 1600 });
      await clock.advance(300);
      expect(holder.isHolder).toBe(true);
    });
  });

  describe("many nodes", () => {
    // Guards against the incident SHORT: all nodes joined when one holder ended,
    // and placement moved with each of them that came or left.
    it.each([4, 32])(
      "of %i, few join when the holder ends, as each one moves placement",
      async (count) => {
        const { clock, seat, nodes } = await startMany(count);
        await clock.advance(3000);
        const isHeld = () => nodes.filter(({ holder }) => holder.isHolder);
        expect(isHeld()).toHaveLength(1);
        const before = seat.generation;
        const [first] = isHeld();
        first!.lifecycle.isDraining = true;
        await clock.advance(1500);
        expect(isHeld()).toHaveLength(1);
        expect(isHeld()[0]).not.toBe(first);
        expect(seat.generation - before).toBeLessThanOrEqual(4);
        await Promise.all(nodes.map(({ holder }) => holder.stop()));
      },
    );
  });

  describe("a holder that is cut off from the store", () => {
    // Guards against the incident SHORT: it went on to say that it sought
    // placement, and its peers waited for it for 3 s.
    it("is followed by a peer as soon as its term has ended", async () => {
      const { clock, nodes } = await startMany(32);
      await clock.advance(3000);
      const first = nodes.find(({ holder }) => holder.isHolder)!;
      first.isCutOff = true;
      await clock.advance(2500);
      const held = nodes.filter(({ holder }) => holder.isHolder);
      expect(held).toHaveLength(1);
      expect(held[0]).not.toBe(first);
      await Promise.all(nodes.map(({ holder }) => holder.stop()));
    });
  });

  describe("a slow node", () => {
    it("leaves placement to a faster peer", async () => {
      const { clock, seat, peers } = await startHolder(false, true, 0.1);
      await clock.advance(1000);
      expect(seat.renewals).toBe(0);
      peers[0] = createPeer(true);
      await clock.advance(5000);
      expect(seat.renewals).toBe(0);
    });

    it("takes placement when no faster peer does", async () => {
      const { clock, holder } = await startHolder(false, true, 0.1);
      await clock.advance(3000);
      expect(holder.isHolder).toBe(true);
    });

    it("waits for faster peers at its start before it knows one", async () => {
      const { clock, seat, peers } = await startHolder(false, true, 0.1);
      peers.pop();
      await clock.advance(1000);
      expect(seat.renewals).toBe(0);
    });

    it("does not wait for peers that are as slow", async () => {
      const { clock, peers, holder } = await startHolder(false, true, 0.1);
      peers[0] = createPeer(false, 0.15);
      await clock.advance(300);
      expect(holder.isHolder).toBe(true);
    });
  });

  describe("without the store", () => {
    it("stops giving orders before its term ends", async () => {
      const { clock, seat, holder } = await startHolder(false);
      expect(holder.isHolder).toBe(true);
      seat.isAway = true;
      await clock.advance(1400);
      expect(holder.isHolder).toBe(false);
    });
  });

  describe("a planned stop", () => {
    it("leaves, so that placement moves at once", async () => {
      const { clock, seat, lifecycle, holder } = await startHolder(false);
      lifecycle.isDraining = true;
      await clock.advance(600);
      expect(holder.isHolder).toBe(false);
      expect(seat.isMember).toBe(false);
    });
  });
});
