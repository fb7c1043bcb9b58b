import { Kernel, ManualClock } from "@zinniahill/kernel";
import { Result } from "true-myth";
import { describe, expect, it } from "vitest";
import {
  createGroupName,
  createWarmingName,
  type InstanceEndpoint,
} from "../../src/hosts/groups.ts";
import type { InstanceListener } from "../../src/hosts/instances.ts";
import type { Instance, OrderCondition } from "../../src/index.ts";
import type { Membership } from "../../src/model/instance.ts";
import type { Order, OrderReply } from "../../src/model/order.ts";
import { OccupiedHosts } from "../../src/placement/occupied-hosts.ts";
import { OrderSender } from "../../src/placement/order-sender.ts";
import { ReplaceableGroups } from "../../src/placement/replaceable-groups.ts";
import type { RelayKernel, RelayServices } from "../../src/services.ts";

const NEVER_ABORTED = new AbortController().signal;
const LEAD: InstanceEndpoint = { id: "i-9", address: "10.0.0.9:80" };
const EARLIER: Membership = {
  group: createGroupName("large", 3, LEAD),
  epoch: 3,
  rank: 1,
  state: "ready",
};
const EARLIER_GROUP = { name: EARLIER.group, epoch: EARLIER.epoch };
const JOIN: Order = {
  kind: "join",
  group: createGroupName("small", 7, LEAD),
  epoch: 7,
  model: "small",
  members: ["i-9", "i-1"],
};
const STAGE: Order = { kind: "stage", model: "small" };
/** The host as the list shows it: free. */
const HOST: Instance = {
  id: "i-1",
  bornAt: 1,
  service: "engines",
  address: "10.0.0.1:80",
  dataCentre: "a",
  slots: 8,
  isDraining: false,
  engine: { fabricDomain: "d1", staged: [] },
};

/** Creates a sender of orders to one host, whose state the test sets. */
async function create() {
  const clock = new ManualClock();
  const listeners: InstanceListener[] = [];
  let listed = HOST;
  const host = {
    membership: undefined as Membership | undefined,
    orderCount: 4,
    /** The count in reports before a time. */
    outdatedCount: undefined as number | undefined,
    isOutdatedUntil: Infinity,
    answersReports: true,
    reports: 0,
    orders: [] as { order: Order; condition: OrderCondition }[],
    reply: undefined as OrderReply | undefined,
  };
  const readReportedCount = () =>
    clock.now() < host.isOutdatedUntil
      ? host.outdatedCount ?? host.orderCount
      : host.orderCount;
  const engines = {
    sendOrder: (_target: unknown, order: Order, condition: OrderCondition) => {
      host.orders.push({ order, condition });
      const isExpected = (condition.orderCount ?? host.orderCount) ===
        host.orderCount;
      host.orderCount += Number(isExpected && host.reply === undefined);
      return Promise.resolve(
        Result.ok(host.reply ?? (isExpected ? "accepted" : "conflict")),
      );
    },
    requestReport: () => {
      host.reports++;
      return Promise.resolve(
        host.answersReports
          ? Result.ok({
            bornAt: HOST.bornAt,
            engine: { membership: host.membership, staged: [] },
            orderCount: readReportedCount(),
          })
          : Result.err({ message: "timeout" }),
      );
    },
  };
  const kernel: RelayKernel = new Kernel<RelayServices>();
  kernel
    .provide("clock", [], () => clock)
    .provide(
      "logger",
      [],
      () => ({ error() {}, warn() {}, info() {}, debug() {} }),
    )
    .provide("instances", [], () =>
      ({
        find: () => listed,
        onInstance: (listener: InstanceListener) => listeners.push(listener),
      }) as never)
    .provide("metrics", [], () => ({ recordOrder() {} }) as never)
    .provide(
      "holder",
      [],
      () => ({ isHolder: true, fence: 3, stepDown() {} }) as never,
    )
    .provide("engines", [], () => engines as never);
  await kernel.start();
  const replaceableGroups = new ReplaceableGroups(kernel);
  const occupiedHosts = new OccupiedHosts(kernel);
  const sender = new OrderSender(kernel, { replaceableGroups, occupiedHosts });
  /** Sends an order and returns what went wrong, if anything did. */
  const send = async (
    order: Order,
    waitMs = 1000,
  ): Promise<string | undefined> => {
    let outcome: string | undefined;
    void sender.send(HOST.id, order, () => false, NEVER_ABORTED)
      .catch((failure: unknown) => outcome = String(failure));
    await clock.advance(waitMs);
    return outcome;
  };
  const list = (membership: Membership | undefined) => {
    listed = { ...HOST, engine: { ...HOST.engine!, membership } };
    listeners.forEach((listener) => listener(listed, HOST));
  };
  return { clock, host, replaceableGroups, occupiedHosts, send, list };
}

describe("OrderSender", () => {
  // Guards against TWO: a join replaces the membership, and the list from which
  // a host was chosen may be older than its group.
  describe.each([JOIN, STAGE])("the order $kind to a listed spare", (order) => {
    it("is not sent if the host is a member of a group", async () => {
      const { host, send } = await create();
      host.membership = EARLIER;
      expect(await send(order)).toContain(EARLIER.group);
      expect(host.orders).toEqual([]);
    });

    it("is not sent to a host that does not answer", async () => {
      const { host, send } = await create();
      host.answersReports = false;
      expect(await send(order)).toContain("did not answer");
      expect(host.orders).toEqual([]);
    });

    it("is carried out only in the reported state", async () => {
      const { host, send } = await create();
      expect(await send(order)).toBeUndefined();
      expect(host.orders).toMatchObject([{ condition: { orderCount: 4 } }]);
    });

    it("is not sent again if the host has joined a group meanwhile", async () => {
      const { host, send } = await create();
      host.reply = "conflict";
      const outcome = send(order);
      host.membership = EARLIER;
      expect(await outcome).toContain(EARLIER.group);
      expect(host.orders).toHaveLength(1);
    });
  });

  // Guards against spares without weights, as the check of outdated entries must
  // not reject stagings that the plan meant.
  describe("a stage order", () => {
    it("to a member that is listed in its group is sent", async () => {
      const { host, list, send } = await create();
      host.membership = EARLIER;
      list(EARLIER);
      expect(await send(STAGE)).toBeUndefined();
      expect(host.orders).toHaveLength(1);
    });

    it("to a lead that has just left its group is sent, whatever an old report says", async () => {
      const { host, occupiedHosts, replaceableGroups, send } = await create();
      host.membership = EARLIER;
      replaceableGroups.recordLeft(EARLIER_GROUP);
      expect(await send(STAGE)).toBeUndefined();
      expect(host.orders).toHaveLength(1);
      expect(occupiedHosts.includes(HOST)).toBe(false);
    });
  });

  // Guards against hosts that wait although their group has ended.
  describe("a join of a member", () => {
    it.each([
      ["whose lead has left", EARLIER],
      ["whose lead has left while it served", { ...EARLIER, state: "open" }],
    ])("of a group %s is sent", async (_name, membership) => {
      const { host, replaceableGroups, send } = await create();
      host.membership = membership as Membership;
      replaceableGroups.recordLeft(EARLIER_GROUP);
      expect(await send(JOIN)).toBeUndefined();
      expect(host.orders).toHaveLength(1);
    });

    it("of a group whose lead is a member again is not sent", async () => {
      const { host, replaceableGroups, send } = await create();
      host.membership = EARLIER;
      replaceableGroups.recordLeft(EARLIER_GROUP);
      replaceableGroups.forgetLeft(EARLIER_GROUP);
      expect(await send(JOIN)).toContain(EARLIER.group);
    });

    it("of a group that was not ordered to open is sent", async () => {
      const { host, replaceableGroups, send } = await create();
      host.membership = EARLIER;
      replaceableGroups.recordFormation(EARLIER.group);
      expect(await send(JOIN)).toBeUndefined();
    });

    it("of a group that was ordered to open is not sent", async () => {
      const { host, replaceableGroups, send } = await create();
      host.membership = EARLIER;
      replaceableGroups.recordFormation(EARLIER.group);
      replaceableGroups.recordOpening(EARLIER.group);
      expect(await send(JOIN)).toContain(EARLIER.group);
    });

    it("of the group in which a spare loads weights is sent", async () => {
      const { host, send } = await create();
      const group = createWarmingName("large", 3, HOST);
      host.membership = { ...EARLIER, group };
      expect(await send(JOIN)).toBeUndefined();
    });
  });

  describe("a report that is older than the last order", () => {
    it("does not delay the next join, as the count is known", async () => {
      const { host, send } = await create();
      await send(JOIN);
      host.outdatedCount = 4;
      expect(await send({ ...JOIN, epoch: 8 })).toBeUndefined();
      expect(host.orders.map(({ condition }) => condition.orderCount))
        .toEqual([4, 5]);
    });

    it("does not delay the join of a host that has left its group", async () => {
      const { host, send } = await create();
      await send(JOIN);
      host.reply = "done";
      await send({ kind: "leave", group: EARLIER.group, epoch: EARLIER.epoch });
      host.reply = undefined;
      host.orderCount++;
      host.outdatedCount = 4;
      expect(await send({ ...JOIN, epoch: 8 })).toBeUndefined();
      expect(host.orders.map(({ condition }) => condition.orderCount))
        .toEqual([4, undefined, 6]);
    });

    it("is requested again if another node gave the order", async () => {
      const { clock, host, send } = await create();
      host.outdatedCount = 3;
      host.isOutdatedUntil = clock.now() + 150;
      expect(await send(JOIN)).toBeUndefined();
      expect(host.orders.map(({ condition }) => condition.orderCount))
        .toEqual([3, 4]);
    });

    it("is believed again once the known count is refused", async () => {
      const { host, send } = await create();
      await send(JOIN);
      host.orderCount = 4;
      expect(await send({ ...JOIN, epoch: 8 })).toBeUndefined();
      expect(host.orders.map(({ condition }) => condition.orderCount))
        .toEqual([4, 5, 4]);
    });
  });

  // Guards against a formation that is tried again with each plan.
  describe("a listed spare that is a member", () => {
    it("is occupied for some time", async () => {
      const { clock, host, occupiedHosts, send } = await create();
      host.membership = EARLIER;
      await send(JOIN, 0);
      expect(occupiedHosts.includes(HOST)).toBe(true);
      await clock.advance(2000);
      expect(occupiedHosts.includes(HOST)).toBe(false);
    });

    it("is occupied until its entry changes", async () => {
      const { host, occupiedHosts, send, list } = await create();
      host.membership = EARLIER;
      await send(JOIN, 0);
      list(EARLIER);
      expect(occupiedHosts.includes(HOST)).toBe(false);
    });
  });
});
