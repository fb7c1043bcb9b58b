import { Kernel, ManualClock } from "@zinniahill/kernel";
import { Result } from "true-myth";
import { describe, expect, it } from "vitest";
import type { Group } from "../../src/hosts/groups.ts";
import type { Instance } from "../../src/index.ts";
import {
  type CheckCause,
  GroupChecker,
} from "../../src/placement/group-checker.ts";
import type { MissingCause } from "../../src/placement/order-sender.ts";
import type { RelayKernel, RelayServices } from "../../src/services.ts";

const GROUP = {
  name: "large~1",
  epoch: 1,
  service: "engines",
  model: "large",
  members: [{ id: "i-1" }],
  lead: { id: "i-1" },
} as unknown as Group;

/** A group of which only the lead is listed. */
const GROUP_OF_LEAD = { ...GROUP, members: [GROUP.lead!] };

/** A node suspects a group for this long after a report. */
const SUSPICION_MS = 1500;

type Probe = Result<unknown, MissingCause>;
type Prober = () => Probe | Promise<Probe>;

const PRESENT: Probe = Result.ok({
  engine: { membership: { group: "large~1", epoch: 1 } },
  timeFactor: 1,
});

/** Creates a checker of a group with one member and `hostCount` expected. */
async function create(
  hostCount: number | undefined,
  probe: Prober = () => PRESENT,
  countOutstanding: () => number = () => 0,
  group: Group = GROUP,
  available: readonly Instance[] = [],
) {
  const clock = new ManualClock();
  const counts = {
    checks: 0,
    dissolved: 0,
    released: 0,
    suspicions: 0,
    occupied: [] as string[],
    isAwaitingRenewal: false,
  };
  let lastEventAt = -Infinity;
  const silentLogger = { error() {}, warn() {}, info() {}, debug() {} };
  const engine = {
    models: hostCount === undefined ? [] : [{ name: "large", hostCount }],
  };
  const kernel: RelayKernel = new Kernel<RelayServices>();
  kernel
    .provide("clock", [], () => clock)
    .provide("logger", [], () => silentLogger)
    .provide(
      "configuration",
      [],
      () => ({ current: { services: [{ name: "engines", engine }] } }) as never,
    )
    .provide(
      "instances",
      [],
      () =>
        ({
          listDeparted: () => [],
          listAvailable: () => available,
          get isAwaitingRenewal() {
            return counts.isAwaitingRenewal;
          },
        }) as never,
    )
    .provide(
      "groups",
      [],
      () => ({ find: () => group, suspect: () => {} }) as never,
    )
    .provide(
      "mesh",
      [],
      () =>
        ({
          countOutstanding,
          findLastEventAt: () => lastEventAt,
          broadcast: () => counts.suspicions++,
        }) as never,
    )
    .provide("holder", [], () => ({ isHolder: true }) as never);
  await kernel.start();
  const checker = new GroupChecker(kernel, {
    health: {
      probe: () => {
        counts.checks++;
        return Promise.resolve(probe());
      },
    } as never,
    dissolver: {
      dissolve: () => {
        counts.dissolved++;
        return Promise.resolve();
      },
    } as never,
    replaceableGroups: { hasLeft: () => counts.released > 0 } as never,
    occupiedHosts: {
      record: ({ id }: Instance) => counts.occupied.push(id),
    } as never,
    unlistedLeads: {
      releaseEnded: () => {
        counts.released++;
        return Promise.resolve();
      },
    } as never,
    isBusy: () => false,
    runTask: (_group, work) => void work(new AbortController().signal),
    listFreeHosts: () => [],
  });
  const recordEvent = () => {
    lastEventAt = clock.now();
  };
  return { clock, checker, counts, recordEvent };
}

/** Requests a check every 100 ms and counts those that are made. */
async function countChecks(
  cause: CheckCause,
  isComplete: boolean,
  durationMs: number,
): Promise<number> {
  const { clock, checker, counts } = await create(isComplete ? 1 : 2);
  for (let passedMs = 0; passedMs < durationMs; passedMs += 100) {
    checker.request(GROUP.name, GROUP.epoch, cause);
    await clock.advance(100);
  }
  return counts.checks;
}

describe("GroupChecker", () => {
  describe("a group whose members are not all listed", () => {
    it("is checked seldom while all of them answer", async () => {
      expect(await countChecks("unlisted", true, 6000)).toBe(2);
    });

    it("is checked often while one does not answer", async () => {
      expect(await countChecks("unlisted", false, 2000)).toBe(4);
    });
  });

  // Guards against a sound group that a new holder ended, as late heartbeats
  // listed its members without it.
  describe("a group of which the list shows only the lead", () => {
    const createHost = (id: string, epoch?: number) =>
      ({
        id,
        engine: {
          fabricDomain: "",
          membership: epoch === undefined ? undefined : { epoch },
        },
      }) as unknown as Instance;

    it("stays if a host that is listed as free says that it is a member", async () => {
      const { clock, checker, counts } = await create(
        2,
        () => PRESENT,
        undefined,
        GROUP,
        [createHost("i-2")],
      );
      checker.request(GROUP.name, GROUP.epoch, "unlisted");
      await clock.advance(100);
      expect(counts).toMatchObject({ dissolved: 0, occupied: ["i-2"] });
    });

    // Guards against the same, as another writer's entry hides the member's.
    it("stays until the members have renewed hidden entries", async () => {
      const { clock, checker, counts } = await create(2);
      counts.isAwaitingRenewal = true;
      checker.request(GROUP.name, GROUP.epoch, "unlisted");
      await clock.advance(1000);
      expect(counts.dissolved).toBe(0);
      counts.isAwaitingRenewal = false;
      checker.request(GROUP.name, GROUP.epoch, "unlisted");
      await clock.advance(1000);
      expect(counts.dissolved).toBe(1);
    });

    it("is dissolved if the host has joined a later group", async () => {
      const { clock, checker, counts } = await create(
        2,
        () => PRESENT,
        undefined,
        GROUP,
        [createHost("i-2", GROUP.epoch + 1)],
      );
      checker.request(GROUP.name, GROUP.epoch, "unlisted");
      await clock.advance(100);
      expect(counts).toMatchObject({ dissolved: 1, occupied: [] });
    });
  });

  describe("a group with a silent member", () => {
    const silent: Probe = Result.err("silent");

    // Guards against LOST: the streams of a group ended as one of its members
    // had not answered for 0.4 s.
    it("stays while it has requests, if the member answers within a second", async () => {
      let probe = silent;
      const { clock, checker, counts } = await create(1, () => probe, () => 3);
      checker.request(GROUP.name, GROUP.epoch, "stalled");
      await clock.advance(1000);
      probe = PRESENT;
      await clock.advance(3000);
      expect(counts.dissolved).toBe(0);
    });

    it("is dissolved once its requests are gone", async () => {
      let requests = 3;
      const { clock, checker, counts } = await create(
        1,
        () => silent,
        () => requests,
      );
      checker.request(GROUP.name, GROUP.epoch, "stalled");
      await clock.advance(500);
      expect(counts.dissolved).toBe(0);
      requests = 0;
      await clock.advance(200);
      expect(counts.dissolved).toBe(1);
    });

    // Guards against SHORT: a group without requests was held until the next
    // probe of its silent member had timed out.
    it("is dissolved once its requests are gone, while a probe is open", async () => {
      let requests = 3;
      const probes: Prober[] = [
        () => silent,
        () => new Promise<Probe>(() => {}),
      ];
      const { clock, checker, counts } = await create(
        1,
        () => probes.shift()!(),
        () => requests,
      );
      checker.request(GROUP.name, GROUP.epoch, "stalled");
      await clock.advance(200);
      requests = 0;
      await clock.advance(100);
      expect(counts.dissolved).toBe(1);
    });

    // Guards against SHORT: the suspicion of other nodes expired while the
    // holder waited, and new requests were sent to the silent group.
    it("stays suspected on all nodes while the holder waits", async () => {
      const { clock, checker, counts } = await create(1, () => silent, () => 3);
      let suspectedUntil = SUSPICION_MS;
      checker.request(GROUP.name, GROUP.epoch, "stalled");
      for (let passedMs = 0; counts.dissolved === 0; passedMs += 50) {
        expect(passedMs).toBeLessThan(suspectedUntil);
        const before = counts.suspicions;
        await clock.advance(50);
        if (counts.suspicions > before) {
          suspectedUntil = passedMs + SUSPICION_MS;
        }
      }
    });

    // Guards against a holder that is cut off from one member and makes all
    // nodes suspect a group that works.
    it("is not suspected on all nodes while it works", async () => {
      const timing: { clock?: ManualClock } = {};
      const created = await create(1, async () => {
        await timing.clock!.sleep(400);
        return silent;
      }, () => 3);
      const { clock } = created;
      timing.clock = clock;
      for (let passedMs = 0; passedMs < 10_000; passedMs += 50) {
        if (passedMs % 450 === 0) {
          created.recordEvent();
        }
        if (passedMs % 500 === 0) {
          created.checker.request(GROUP.name, GROUP.epoch, "unlisted");
        }
        await clock.advance(50);
      }
      expect(created.counts.suspicions).toBe(0);
    });

    // Guards against LOST: a holder that was cut off from one member ended the
    // streams that the group sent to other nodes.
    it("stays while some node receives events of its streams", async () => {
      const { clock, checker, counts, recordEvent } = await create(
        1,
        () => silent,
        () => 3,
      );
      checker.request(GROUP.name, GROUP.epoch, "stalled");
      await clock.advance(1000);
      recordEvent();
      await clock.advance(2000);
      expect(counts.dissolved).toBe(0);
    });

    it("is not kept by events from before the check", async () => {
      const { clock, checker, counts, recordEvent } = await create(
        1,
        () => silent,
        () => 3,
      );
      recordEvent();
      await clock.advance(10);
      checker.request(GROUP.name, GROUP.epoch, "stalled");
      await clock.advance(2000);
      expect(counts.dissolved).toBe(1);
    });

    // Guards against a dead group that holds its requests until they time out.
    it("is dissolved when callers give its streams up, 2 s after the last event", async () => {
      const { clock, checker, counts } = await create(1, () => silent, () => 3);
      checker.request(GROUP.name, GROUP.epoch, "stalled");
      await clock.advance(1500);
      expect(counts.dissolved).toBe(0);
      await clock.advance(300);
      expect(counts.dissolved).toBe(1);
    });
  });

  describe("a group with a member that has ended", () => {
    it("is dissolved at once, whatever its requests", async () => {
      const { clock, checker, counts } = await create(
        1,
        () => Result.err("ended"),
        () => 3,
      );
      checker.request(GROUP.name, GROUP.epoch, "stalled");
      await clock.advance(0);
      expect(counts.dissolved).toBe(1);
    });
  });

  describe("a group whose lead's process has ended", () => {
    const createEnded = () =>
      create(1, () => Result.err("ended"), () => 3, GROUP_OF_LEAD);

    // Guards against SHORT: the order to leave cannot reach such a lead, so its
    // group stayed until the lead's entry expired.
    it("is released, as nothing can order the lead to leave", async () => {
      const { clock, checker, counts } = await createEnded();
      checker.request(GROUP.name, GROUP.epoch, "ended");
      await clock.advance(0);
      expect(counts).toMatchObject({ released: 1, dissolved: 0 });
    });

    // Guards against a proof that is lost, as each node reports it once.
    it("is released later if it cannot be checked at once", async () => {
      let probe = PRESENT;
      const { clock, checker, counts } = await create(
        1,
        () => probe,
        () => 3,
        GROUP_OF_LEAD,
      );
      checker.request(GROUP.name, GROUP.epoch, "stalled");
      await clock.advance(50);
      probe = Result.err("ended");
      checker.request(GROUP.name, GROUP.epoch, "ended");
      await clock.advance(1000);
      checker.requestPending();
      await clock.advance(0);
      expect(counts.released).toBe(1);
    });

    // Guards against LOST: a lead that drains refuses connections while it
    // finishes its streams.
    it("stays while the lead drains", async () => {
      const lead = { ...GROUP.lead!, isDraining: true };
      const { clock, checker, counts } = await create(
        1,
        () => Result.err("ended"),
        () => 3,
        { ...GROUP_OF_LEAD, members: [lead], lead },
      );
      checker.request(GROUP.name, GROUP.epoch, "ended");
      await clock.advance(0);
      expect(counts).toMatchObject({ released: 0, dissolved: 0 });
    });

    it("is not checked again once it is released", async () => {
      const { clock, checker, counts } = await createEnded();
      checker.request(GROUP.name, GROUP.epoch, "ended");
      await clock.advance(1000);
      checker.request(GROUP.name, GROUP.epoch, "ended");
      await clock.advance(0);
      expect(counts.checks).toBe(1);
    });
  });

  describe("a group whose model the configuration does not list", () => {
    // Guards against LOST: a change of the configuration ended the requests of
    // a group that works.
    it("stays while its members answer", async () => {
      const { clock, checker, counts } = await create(undefined);
      checker.request(GROUP.name, GROUP.epoch, "stalled");
      await clock.advance(3000);
      expect(counts).toMatchObject({ checks: 1, dissolved: 0 });
    });
  });

  describe("a group that stalls", () => {
    it("is checked often, whatever the last check found", async () => {
      expect(await countChecks("stalled", true, 2000)).toBe(4);
    });
  });
});
