import { Kernel, ManualClock } from "@zinniahill/kernel";
import { afterEach, describe, expect, it } from "vitest";
import { OutstandingRequests } from "../../src/routing/outstanding-requests.ts";
import type { RelayKernel, RelayServices } from "../../src/services.ts";

const GROUP = { name: "large~7", epoch: 7 };
const LEAD = "i-1";

/** Requests in progress over groups and peers that only record. */
async function create() {
  const clock = new ManualClock();
  const world = {
    clock,
    isSuspectedByPeer: false,
    suspected: 0,
    checked: 0,
    told: 0,
    peerEventAt: -Infinity,
  };
  const groups = {
    isSuspected: () => world.isSuspectedByPeer,
    suspect: () => {
      world.suspected++;
    },
    clear: () => {},
  };
  const mesh = {
    peerLoads: { count: () => 0, findLastEventAt: () => world.peerEventAt },
    setOutstandingSource: () => {},
    broadcast: () => {
      world.told++;
    },
  };
  const placement = {
    checkGroup: () => {
      world.checked++;
    },
  };
  const silent = { error() {}, warn() {}, info() {}, debug() {} };
  const kernel: RelayKernel = new Kernel<RelayServices>();
  kernel
    .provide("clock", [], () => clock)
    .provide("logger", [], () => silent)
    .provide("groups", [], () => groups as never)
    .provide("mesh", [], () => mesh as never)
    .provide("placement", [], () => placement as never);
  await kernel.start();
  const outstanding = new OutstandingRequests(kernel);
  outstanding.start();
  return { world, outstanding };
}

describe("OutstandingRequests", () => {
  let outstanding: OutstandingRequests | undefined;

  afterEach(() => outstanding?.stop());

  async function start() {
    const created = await create();
    outstanding = created.outstanding;
    return created;
  }

  describe("streams that have begun", () => {
    it("show a group that stands still within 0.4 s", async () => {
      const { world, outstanding } = await start();
      const tickets = [1, 2].map(() => outstanding.begin(LEAD, GROUP, true));
      const stalled: number[] = [];
      tickets.forEach((ticket, index) => {
        ticket.recordEvent();
        ticket.onStall(() => stalled.push(index));
      });
      await world.clock.advance(300);
      expect(world.suspected).toBe(0);
      await world.clock.advance(100);
      expect(world).toMatchObject({ suspected: 1, told: 1, checked: 1 });
      expect(stalled).toEqual([0, 1]);
    });

    it("are no less evidence when events came to another node", async () => {
      const { world, outstanding } = await start();
      outstanding.begin(LEAD, GROUP, true).recordEvent();
      await world.clock.advance(300);
      world.peerEventAt = world.clock.now();
      await world.clock.advance(100);
      expect(world.suspected).toBe(1);
    });

    it("show progress of the group for each other", async () => {
      const { world, outstanding } = await start();
      const [first, second] = [1, 2].map(() =>
        outstanding.begin(LEAD, GROUP, true)
      );
      second!.recordEvent();
      for (let event = 0; event < 10; event++) {
        first!.recordEvent();
        await world.clock.advance(200);
      }
      expect(world.suspected).toBe(0);
    });
  });

  describe("requests without an event", () => {
    it("may wait behind long prompts, which half of the alarms took for a broken group", async () => {
      const { world, outstanding } = await start();
      [1, 2, 3].forEach(() => outstanding.begin(LEAD, GROUP, true));
      await world.clock.advance(500);
      expect(world.suspected).toBe(0);
      await world.clock.advance(200);
      expect(world.suspected).toBe(1);
    });

    it("say nothing while events come to another node", async () => {
      const { world, outstanding } = await start();
      outstanding.begin(LEAD, GROUP, true);
      for (let beat = 0; beat < 5; beat++) {
        world.peerEventAt = world.clock.now() - 50;
        await world.clock.advance(450);
      }
      expect(world.suspected).toBe(0);
      await world.clock.advance(200);
      expect(world.suspected).toBe(1);
    });

    it("count sooner when another node suspects the group", async () => {
      const { world, outstanding } = await start();
      outstanding.begin(LEAD, GROUP, true);
      world.isSuspectedByPeer = true;
      await world.clock.advance(400);
      expect(world.suspected).toBe(1);
    });
  });

  describe("whole answers", () => {
    it("say nothing of a group before they end", async () => {
      const { world, outstanding } = await start();
      outstanding.begin(LEAD, GROUP, false);
      await world.clock.advance(5000);
      expect(world.suspected).toBe(0);
    });
  });
});
