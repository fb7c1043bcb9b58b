import { Condition, Kernel, ManualClock } from "@zinniahill/kernel";
import { Result } from "true-myth";
import { describe, expect, it } from "vitest";
import type { Instance, Membership } from "../../src/model/instance.ts";
import type { Order, OrderReply } from "../../src/model/order.ts";
import { OccupiedHosts } from "../../src/placement/occupied-hosts.ts";
import { OrderSender } from "../../src/placement/order-sender.ts";
import { ReplaceableGroups } from "../../src/placement/replaceable-groups.ts";
import { SpareWarmer } from "../../src/placement/spare-warmer.ts";
import type { RelayKernel, RelayServices } from "../../src/services.ts";

const NEVER_ABORTED = new AbortController().signal;
const MODEL = { name: "large", hostCount: 6, stagedLoadMs: 1600 } as never;
const EPOCH = 30_001;
const EARLIER: Membership = {
  group: "small~20001~i-9~10.0.0.9:80",
  epoch: 20_001,
  rank: 3,
  state: "ready",
};
/** The group whose lead has left, while the spare still states it. */
const EARLIER_GROUP = { name: EARLIER.group, epoch: EARLIER.epoch };

function createSpare(membership?: Membership): Instance {
  return {
    id: "i-1",
    bornAt: 1,
    service: "engines",
    address: "10.0.0.1:80",
    dataCentre: "a",
    slots: 8,
    isDraining: false,
    engine: { fabricDomain: "d1", staged: ["large"], membership },
  };
}

/** Creates a warmer of one spare, which answers orders as the test says. */
async function create(
  reply: (order: Order, attempt: number) => OrderReply | undefined,
  reported: () => Membership | undefined,
  listed: Membership | undefined,
) {
  const clock = new ManualClock();
  const changed = new Condition();
  const state = {
    spare: createSpare(listed),
    steppedDown: 0,
    orders: [] as Order[],
  };
  const engines = {
    sendOrder: (_target: unknown, order: Order) => {
      state.orders.push(order);
      const answer = reply(order, state.orders.length);
      return Promise.resolve(
        answer === undefined
          ? Result.err({ message: "timeout" })
          : Result.ok(answer),
      );
    },
    requestReport: () =>
      Promise.resolve(Result.ok({
        bornAt: 1,
        engine: { membership: reported() },
        orderCount: 2,
        timeFactor: 1,
      })),
  };
  const kernel: RelayKernel = new Kernel<RelayServices>();
  kernel
    .provide("clock", [], () => clock)
    .provide(
      "logger",
      [],
      () => ({ error() {}, warn() {}, info() {}, debug() {} }),
    )
    .provide(
      "instances",
      [],
      () => ({ changed, find: () => state.spare, onInstance() {} }) as never,
    )
    .provide("metrics", [], () => ({ recordOrder() {} }) as never)
    .provide(
      "holder",
      [],
      () =>
        ({
          isHolder: true,
          fence: 3,
          stepDown: () => state.steppedDown++,
        }) as never,
    )
    .provide("engines", [], () => engines as never);
  await kernel.start();
  const replaceableGroups = new ReplaceableGroups(kernel);
  const occupiedHosts = new OccupiedHosts(kernel);
  const warmer = new SpareWarmer(
    kernel,
    new OrderSender(kernel, { replaceableGroups, occupiedHosts }),
  );
  const list = (membership: Membership | undefined) => {
    state.spare = createSpare(membership);
    changed.notify();
  };
  return { clock, warmer, state, list, replaceableGroups };
}

describe("SpareWarmer", () => {
  describe("a spare that a formation takes meanwhile", () => {
    // Guards against a holder that gives up placement, as a join that was
    // overtaken is refused like one with an old fencing number.
    it("does not end placement", async () => {
      const later: Membership = {
        group: "large~30002~i-9~10.0.0.9:80",
        epoch: EPOCH + 1,
        rank: 3,
        state: "joining",
      };
      let reported: Membership | undefined;
      const { clock, warmer, state } = await create(
        (_order, attempt) => {
          if (attempt === 1) {
            return undefined;
          }
          reported = later;
          return "fenced";
        },
        () => reported,
        undefined,
      );
      void warmer.warm(state.spare, MODEL, EPOCH, NEVER_ABORTED);
      await clock.advance(1000);
      expect(state.orders).toHaveLength(2);
      expect(state.steppedDown).toBe(0);
    });
  });

  describe("a spare that the list does not show in its group yet", () => {
    // Guards against TWO: a new holder that had not read the latest entries took
    // a member out of an open group.
    it("is not ordered to join", async () => {
      const { clock, warmer, state } = await create(
        () => "accepted",
        () => EARLIER,
        undefined,
      );
      void warmer.warm(state.spare, MODEL, EPOCH, NEVER_ABORTED);
      await clock.advance(1000);
      expect(state.orders).toEqual([]);
    });
  });

  describe("a spare that the list still shows in an earlier group", () => {
    // Guards against a group that the holder forgets, and takes for one that
    // has lost its members.
    it("is in the warmer's group until it has loaded", async () => {
      const { clock, warmer, state, list, replaceableGroups } = await create(
        () => "accepted",
        () => EARLIER,
        EARLIER,
      );
      replaceableGroups.recordLeft(EARLIER_GROUP);
      void warmer.warm(state.spare, MODEL, EPOCH, NEVER_ABORTED);
      await clock.advance(10);
      const { group } = state.orders[0] as { group: string };
      list({ group, epoch: EPOCH, rank: 0, state: "joining" });
      await clock.advance(10);
      expect(warmer.isWarmingGroup(group)).toBe(true);
      list({ group, epoch: EPOCH, rank: 0, state: "ready" });
      await clock.advance(10);
      expect(state.orders.map(({ kind }) => kind)).toEqual(["join", "leave"]);
    });

    it("is not ordered to join with every plan", async () => {
      const { clock, warmer, state, replaceableGroups } = await create(
        () => "accepted",
        () => EARLIER,
        EARLIER,
      );
      replaceableGroups.recordLeft(EARLIER_GROUP);
      for (let plan = 0; plan < 10; plan++) {
        if (warmer.canWarm(state.spare)) {
          const epoch = EPOCH + plan;
          void warmer.warm(state.spare, MODEL, epoch, NEVER_ABORTED);
        }
        await clock.advance(500);
      }
      const joins = state.orders.filter(({ kind }) => kind === "join");
      expect(joins.length).toBeLessThan(3);
    });
  });
});
