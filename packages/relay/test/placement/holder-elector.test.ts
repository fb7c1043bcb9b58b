import { Kernel, ManualClock, SeededRandom } from "@zinniahill/kernel";
import { Result } from "true-myth";
import { afterEach, describe, expect, it } from "vitest";
import type { ElectionStatus, HolderElection } from "../../src/index.ts";
import type { Mesh } from "../../src/peers/mesh.ts";
import type { Peer } from "../../src/peers/peer.ts";
import { HolderElector } from "../../src/placement/holder-elector.ts";
import type { RelayKernel, RelayServices } from "../../src/services.ts";

/** An election that makes this node the holder as soon as it joins. */
class FakeElection implements HolderElection {
  renewals = 0;
  isMember = false;
  isHolder = true;
  isUnavailable = false;

  renew(): Promise<
    Result<ElectionStatus, { verdict: "not-run"; message: string }>
  > {
    if (this.isUnavailable) {
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
type Preparation = (knownNodes: { count: number }, peers: Peer[]) => void;

async function start(
  isHeldByPeer: boolean,
  isHolder = true,
  capacity = 1,
  prepare: Preparation = () => {},
) {
  const clock = new ManualClock();
  const election = new FakeElection();
  election.isHolder = isHolder;
  const peers = [createPeer(isHeldByPeer)];
  const lifecycle = { isDraining: false };
  const knownNodes = { count: 2 };
  const mesh = {
    list: () => peers,
    countNodes: () => knownNodes.count,
    broadcastHeartbeat: () => {},
    setPlacementSource: () => {},
  } satisfies Partial<Record<keyof Mesh, unknown>>;
  const nullLogger = { error() {}, warn() {}, info() {}, debug() {} };
  const kernel: RelayKernel = new Kernel<RelayServices>();
  kernel
    .provide("clock", [], () => clock)
    .provide("random", [], () => new SeededRandom(1))
    .provide("logger", [], () => nullLogger)
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
    .provide("seat", [], () => election);
  await kernel.start();
  prepare(knownNodes, peers);
  const holder = new HolderElector(kernel);
  holder.start();
  await clock.advance(900);
  return { clock, election, peers, knownNodes, lifecycle, holder };
}

/** An election that picks the holder anew at each change of the members. */
class SharedElection {
  #clock: ManualClock;
  #members: string[] = [];
  #renewedAt = new Map<string, number>();
  /** Number of changes of the members. */
  generation = 0;

  constructor(clock: ManualClock) {
    this.#clock = clock;
  }

  /** The election as one node reaches it. */
  connect(node: { isDisconnected: boolean }): HolderElection {
    return {
      renew: (member, _generation, termMs) => {
        if (node.isDisconnected) {
          return Promise.resolve(
            Result.err({ verdict: "may-have-run", message: "no reply" }),
          );
        }
        this.#expire(termMs);
        this.#renewedAt.set(member, this.#clock.now());
        if (!this.#members.includes(member)) {
          this.#setMembers([...this.#members, member]);
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
          this.#setMembers(this.#members.filter((other) => other !== member));
        }
        return Promise.resolve(Result.ok(undefined));
      },
    };
  }

  #expire(termMs: number): void {
    const expiredUntil = this.#clock.now() - termMs;
    const remaining = this.#members.filter((member) =>
      this.#renewedAt.get(member)! > expiredUntil
    );
    if (remaining.length < this.#members.length) {
      this.#setMembers(remaining);
    }
  }

  #setMembers(members: string[]): void {
    this.#members = members;
    this.generation++;
  }
}

/**
 * Starts nodes that receive each other's heartbeats, periodic and immediate
 * ones, after 1 ms.
 */
async function startNodes(count: number) {
  const clock = new ManualClock();
  const random = new SeededRandom(5);
  const election = new SharedElection(clock);
  const nodes = await Promise.all(
    Array.from({ length: count }, async (_, index) => {
      const node = {
        peer: createPeer(false),
        hasSentBeat: false,
        readRole: () => ({ isHolder: false, isCandidate: false }),
        holder: undefined as unknown as HolderElector,
        lifecycle: { isDraining: false },
        isDisconnected: false,
      };
      const sendBeat = () => {
        const { isHolder, isCandidate } = node.readRole();
        const peer = createPeer(isHolder, 1, { seeksPlacement: isCandidate });
        clock.schedule(1, () => {
          node.peer = peer;
          node.hasSentBeat = true;
        });
      };
      const mesh = {
        list: (): Peer[] =>
          nodes.filter((other) => other !== node && other.hasSentBeat)
            .map(({ peer }) => peer),
        countNodes: () => count,
        broadcastHeartbeat: sendBeat,
        setPlacementSource: (source: typeof node.readRole) => {
          node.readRole = source;
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
        .provide("seat", [], () => election.connect(node));
      await kernel.start();
      node.holder = new HolderElector(kernel);
      const beatRepeatedly = () => {
        sendBeat();
        clock.schedule(465, beatRepeatedly);
      };
      clock.schedule(index * 14, beatRepeatedly);
      return node;
    }),
  );
  nodes.forEach(({ holder }) => holder.start());
  return { clock, election, nodes };
}

describe("HolderElector", () => {
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

  describe("while a peer holds placement", () => {
    it("does not join, so that a restart does not move placement", async () => {
      const { election } = await startHolder(true);
      expect(election.renewals).toBe(0);
    });

    it("joins once the peer no longer says that it holds placement", async () => {
      const { clock, peers, holder } = await startHolder(true);
      peers[0] = createPeer(false);
      await clock.advance(300);
      expect(holder.isHolder).toBe(true);
    });

    it("joins once the peer is disconnected", async () => {
      const { clock, peers, holder } = await startHolder(true);
      peers.pop();
      await clock.advance(300);
      expect(holder.isHolder).toBe(true);
    });

    it("leaves if it has joined without holding placement", async () => {
      const { clock, election, peers } = await startHolder(false, false);
      expect(election.isMember).toBe(true);
      peers[0] = createPeer(true);
      await clock.advance(600);
      expect(election.isMember).toBe(false);
    });

    it("remains a member if it holds placement itself", async () => {
      const { clock, election, peers, holder } = await startHolder(false);
      peers[0] = createPeer(true);
      await clock.advance(1000);
      expect(election.isMember).toBe(true);
      expect(holder.isHolder).toBe(true);
    });
  });

  describe("a node that has just started", () => {
    // Guards against a restart that moves placement: a node that joined at its
    // start took placement from the holder, which ended formations in progress.
    it("does not join before it has heard from the nodes that it knows", async () => {
      const started = await startHolder(false, true, 1, (knownNodes, peers) => {
        knownNodes.count = 3;
        peers.pop();
      });
      expect(started.election.renewals).toBe(0);
    });

    it("joins when nodes that it knows stay silent", async () => {
      const { clock, holder } = await startHolder(
        false,
        true,
        1,
        (knownNodes) => {
          knownNodes.count = 3;
        },
      );
      await clock.advance(1000);
      expect(holder.isHolder).toBe(true);
    });
  });

  describe("a holder that becomes silent", () => {
    it("counts as gone after its term, before its connection times out", async () => {
      const { clock, peers, holder } = await startHolder(true);
      peers[0] = createPeer(true, 1, { silentMs: 1600 });
      await clock.advance(300);
      expect(holder.isHolder).toBe(true);
    });
  });

  describe("many nodes", () => {
    // Guards against placement that moves repeatedly: all nodes joined when a
    // holder stopped, and placement moved as each of them joined or left.
    it.each([4, 32])(
      "of %i, few join when the holder stops, as each one moves placement",
      async (count) => {
        const { clock, election, nodes } = await startNodes(count);
        await clock.advance(3000);
        const listHolders = () => nodes.filter(({ holder }) => holder.isHolder);
        expect(listHolders()).toHaveLength(1);
        const before = election.generation;
        const [first] = listHolders();
        first!.lifecycle.isDraining = true;
        await clock.advance(1500);
        expect(listHolders()).toHaveLength(1);
        expect(listHolders()[0]).not.toBe(first);
        expect(election.generation - before).toBeLessThanOrEqual(4);
        await Promise.all(nodes.map(({ holder }) => holder.stop()));
      },
    );
  });

  describe("a holder that is disconnected from the store", () => {
    // Guards against a disconnected holder that still says that it seeks
    // placement: its peers waited 3 s for it.
    it("is replaced by a peer as soon as its term has ended", async () => {
      const { clock, nodes } = await startNodes(32);
      await clock.advance(3000);
      const first = nodes.find(({ holder }) => holder.isHolder)!;
      first.isDisconnected = true;
      await clock.advance(2500);
      const holders = nodes.filter(({ holder }) => holder.isHolder);
      expect(holders).toHaveLength(1);
      expect(holders[0]).not.toBe(first);
      await Promise.all(nodes.map(({ holder }) => holder.stop()));
    });
  });

  describe("a slow node", () => {
    it("leaves placement to a faster peer", async () => {
      const { clock, election, peers } = await startHolder(false, true, 0.1);
      await clock.advance(1000);
      expect(election.renewals).toBe(0);
      peers[0] = createPeer(true);
      await clock.advance(5000);
      expect(election.renewals).toBe(0);
    });

    it("takes placement when no faster peer does", async () => {
      const { clock, holder } = await startHolder(false, true, 0.1);
      await clock.advance(3000);
      expect(holder.isHolder).toBe(true);
    });

    it("waits for faster peers after its start, even if it knows no peer yet", async () => {
      const { clock, election, peers } = await startHolder(false, true, 0.1);
      peers.pop();
      await clock.advance(1000);
      expect(election.renewals).toBe(0);
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
      const { clock, election, holder } = await startHolder(false);
      expect(holder.isHolder).toBe(true);
      election.isUnavailable = true;
      await clock.advance(1400);
      expect(holder.isHolder).toBe(false);
    });
  });

  describe("a graceful shutdown", () => {
    it("leaves, so that placement moves at once", async () => {
      const { clock, election, lifecycle, holder } = await startHolder(false);
      lifecycle.isDraining = true;
      await clock.advance(600);
      expect(holder.isHolder).toBe(false);
      expect(election.isMember).toBe(false);
    });
  });
});
