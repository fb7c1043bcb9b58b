import { Kernel, ManualClock } from "@zinniahill/kernel";
import { afterEach, describe, expect, it } from "vitest";
import { OutstandingRequests } from "../../src/routing/outstanding-requests.ts";
import type { RelayKernel, RelayServices } from "../../src/services.ts";

const GROUP = { name: "large~7", epoch: 7 };
const LEAD = "i-1";

/** Creates the service with fakes that count suspicions and checks. */
async function create() {
  const clock = new ManualClock();
  const env = {
    clock,
    isSuspectedByPeer: false,
    suspicions: 0,
    checks: 0,
    broadcasts: 0,
    peerEventAt: -Infinity,
    setReportDelayMs: (delayMs: number) => {
      mesh.reportDelayMs = delayMs;
    },
  };
  const groups = {
    isSuspected: () => env.isSuspectedByPeer,
    suspect: () => {
      env.suspicions++;
    },
    clearSuspicion: () => {},
  };
  const mesh = {
    reportDelayMs: 150,
    peerLoads: { count: () => 0, findLastEventAt: () => env.peerEventAt },
    setOutstandingSource: () => {},
    broadcast: () => {
      env.broadcasts++;
    },
  };
  const placement = {
    checkGroup: () => {
      env.checks++;
    },
  };
  const silentLogger = { error() {}, warn() {}, info() {}, debug() {} };
  const kernel: RelayKernel = new Kernel<RelayServices>();
  kernel
    .provide("clock", [], () => clock)
    .provide("logger", [], () => silentLogger)
    .provide("groups", [], () => groups as never)
    .provide("mesh", [], () => mesh as never)
    .provide("placement", [], () => placement as never);
  await kernel.start();
  const outstanding = new OutstandingRequests(kernel);
  outstanding.start();
  return { env, outstanding };
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
    it("reveal a stalled group within 0.4 s", async () => {
      const { env, outstanding } = await start();
      const requests = [1, 2].map(() => outstanding.begin(LEAD, GROUP, true));
      const stalled: number[] = [];
      requests.forEach((request, index) => {
        request.recordEvent();
        request.onStall(() => stalled.push(index));
      });
      await env.clock.advance(300);
      expect(env.suspicions).toBe(0);
      await env.clock.advance(100);
      expect(env).toMatchObject({ suspicions: 1, broadcasts: 1, checks: 1 });
      expect(stalled).toEqual([0, 1]);
    });

    // Guards against streams that are moved from one stalled group to another,
    // which ends them if no further group is there.
    it("reveal all stalled groups before any request is told", async () => {
      const { env, outstanding } = await start();
      const suspicions: number[] = [];
      for (const epoch of [7, 8]) {
        const group = { name: `large~${epoch}`, epoch };
        const request = outstanding.begin(`i-${epoch}`, group, true);
        request.recordEvent();
        request.onStall(() => suspicions.push(env.suspicions));
      }
      await env.clock.advance(400);
      expect(suspicions).toEqual([2, 2]);
    });

    it("reveal a stall even if events reach another node", async () => {
      const { env, outstanding } = await start();
      outstanding.begin(LEAD, GROUP, true).recordEvent();
      await env.clock.advance(300);
      env.peerEventAt = env.clock.now();
      await env.clock.advance(100);
      expect(env.suspicions).toBe(1);
    });

    it("reveal no stall while one of them receives events", async () => {
      const { env, outstanding } = await start();
      const [first, second] = [1, 2].map(() =>
        outstanding.begin(LEAD, GROUP, true)
      );
      second!.recordEvent();
      for (let event = 0; event < 10; event++) {
        first!.recordEvent();
        await env.clock.advance(200);
      }
      expect(env.suspicions).toBe(0);
    });
  });

  // Guards against groups that are ended as their events wait for a caller.
  describe("streams whose caller reads slowly", () => {
    it("reveal no stall until their events are read again", async () => {
      const { env, outstanding } = await start();
      const request = outstanding.begin(LEAD, GROUP, true);
      request.recordEvent();
      request.pause();
      await env.clock.advance(5000);
      request.resume();
      await env.clock.advance(300);
      expect(env.suspicions).toBe(0);
      await env.clock.advance(100);
      expect(env.suspicions).toBe(1);
    });
  });

  describe("requests without an event", () => {
    // Guards against false suspicions: half of all reported stalls were requests
    // that waited behind long prompts.
    it("reveal a stall only after 0.6 s, as they may wait behind long prompts", async () => {
      const { env, outstanding } = await start();
      [1, 2, 3].forEach(() => outstanding.begin(LEAD, GROUP, true));
      await env.clock.advance(500);
      expect(env.suspicions).toBe(0);
      await env.clock.advance(200);
      expect(env.suspicions).toBe(1);
    });

    it("reveal a stall later if reports of events take longer to arrive", async () => {
      const { env, outstanding } = await start();
      env.setReportDelayMs(900);
      outstanding.begin(LEAD, GROUP, true);
      await env.clock.advance(1200);
      expect(env.suspicions).toBe(0);
      await env.clock.advance(150);
      expect(env.suspicions).toBe(1);
    });

    it("reveal no stall while events reach another node", async () => {
      const { env, outstanding } = await start();
      outstanding.begin(LEAD, GROUP, true);
      for (let round = 0; round < 5; round++) {
        env.peerEventAt = env.clock.now() - 50;
        await env.clock.advance(450);
      }
      expect(env.suspicions).toBe(0);
      await env.clock.advance(200);
      expect(env.suspicions).toBe(1);
    });

    it("reveal a stall sooner if another node suspects the group", async () => {
      const { env, outstanding } = await start();
      outstanding.begin(LEAD, GROUP, true);
      env.isSuspectedByPeer = true;
      await env.clock.advance(400);
      expect(env.suspicions).toBe(1);
    });
  });

  describe("responses that are not streams", () => {
    it("reveal no stall, as they arrive in one piece", async () => {
      const { env, outstanding } = await start();
      outstanding.begin(LEAD, GROUP, false);
      await env.clock.advance(5000);
      expect(env.suspicions).toBe(0);
    });
  });
});
