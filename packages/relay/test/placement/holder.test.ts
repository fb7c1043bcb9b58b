import { Kernel, ManualClock, SeededRandom } from "@zinniahill/kernel";
import { Result } from "true-myth";
import { afterEach, describe, expect, it } from "vitest";
import type { Seat, Standing } from "../../src/index.ts";
import type { Mesh, Peer } from "../../src/peers/mesh.ts";
import { Holder } from "../../src/placement/holder.ts";
import type { RelayKernel, RelayServices } from "../../src/services.ts";

/** A membership that deals placement to this node whenever it joins. */
class CountedSeat implements Seat {
  renewals = 0;
  isMember = false;
  isHolder = true;
  isAway = false;

  renew(): Promise<Result<Standing, { verdict: "not-run"; message: string }>> {
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

function createPeer(holdsPlacement: boolean, capacity = 1): Peer {
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
    capacity,
  };
}

async function start(isHeldByPeer: boolean, isHolder = true, capacity = 1) {
  const clock = new ManualClock();
  const seat = new CountedSeat();
  seat.isHolder = isHolder;
  const peers = [createPeer(isHeldByPeer)];
  const lifecycle = { isDraining: false };
  const mesh = {
    list: () => peers,
    beatNow: () => {},
    reportPlacement: () => {},
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
    .provide("feeds", [], () => ({ hurryWhile: () => {} }) as never)
    .provide("seat", [], () => seat);
  await kernel.start();
  const holder = new Holder(kernel);
  holder.start();
  await clock.advance(1000);
  return { clock, seat, peers, lifecycle, holder };
}

describe("Holder", () => {
  let holder: Holder | undefined;

  afterEach(() => holder?.stop());

  async function startHolder(
    isHeldByPeer: boolean,
    isHolder = true,
    capacity = 1,
  ) {
    const started = await start(isHeldByPeer, isHolder, capacity);
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
