/**
 * Faults, and how each one is put into a row.
 *
 * @module
 */
import { HOST_LIST_END, type LinkMode, LOG_END } from "@zinniahill/stand-ins";
import { runFlood } from "./callers.ts";
import { publishRace } from "./operators.ts";
import { openSpan } from "./records.ts";
import type { Subject } from "./steps.ts";
import { NODES, type World } from "./world.ts";

/** Puts a fault into the system at this moment. */
export type Fault = (world: World, subject: Subject) => void;

/** Longer than the lease term of 6 s. */
const PAST_LEASE_MS = 8000;
/** Longer than the deadline of a call, 10 s. */
const PAST_CALL_MS = 12_000;
/** Longer than the absence of 5 s after which a host is replaced. */
const LONG_LOSS_MS = 8000;
/** Shorter than the absence after which a host is replaced. */
const SHORT_LOSS_MS = 2000;
/** Shorter than the 10 s for which a stream waits for a group. */
const PARTITION_MS = 6000;
const OUTAGE_MS = 8000;
/** Just below the longest order of 5 s. */
const ORDER_DELAY_MS = 4500;
const SLOW_LOG_MS = 1500;
/** Appends take effect after their callers have given up; reads fail. */
const LATE_LOG_MS = 3500;
const SLOWNESS = 10;
/**
 * Six checkpoint intervals, and longer than the lease term plus the time to
 * write a checkpoint: a shorter one could expire the last checkpoint before a
 * new holder writes the next.
 */
const RETENTION_MS = 12_000;
/**
 * A key is remembered for the retention of `calls`. Callers repeat a call up to
 * four times after a deadline of 10 s and a pause of 0.4 s, so that the last
 * repeat begins 41.6 s after the first attempt.
 */
const CALLS_RETENTION_MS = 60_000;
/** A node that starts this late finds the first records expired. */
const PAST_RETENTION_MS = 12_500;
const EXPIRY_INTERVAL_MS = 1000;
const LATE_EVENT_MS = 1000;
const LATE_REPLY_MS = 3000;
const FLOOD_SIZE = 200;
const NOTICE_MS = 8000;
const ROW_END_MS = 60_000;

/** Faults by name. */
export const FAULTS = {
  "node-killed": (world, { node }) => {
    world.node(node).kill();
    after(world, LONG_LOSS_MS, () => world.node(node).start());
  },
  "node-returns": (world, { node }) => {
    world.node(node).kill();
    after(world, SHORT_LOSS_MS, () => world.node(node).start());
  },
  "node-paused": (world, { node }) => {
    after(world, PAST_LEASE_MS, world.node(node).pause());
  },
  "node-paused-long": (world, { node }) => {
    after(world, PAST_CALL_MS, world.node(node).pause());
  },
  "host-lost": (world, { host }) => {
    world.loseHost(host);
  },
  "lead-lost": (world, { host }) => {
    world.loseHost(findLead(world, host));
  },
  "member-lost": (world, { host }) => {
    // Not healed: requests meet the loss until the group is replaced.
    world.loseHost(findMember(world, host));
  },
  "member-paused": (world, { host }) => {
    after(world, LONG_LOSS_MS, world.pauseHost(findMember(world, host)));
  },
  "host-returns": (world, { host }) => {
    after(world, SHORT_LOSS_MS, world.loseHost(host));
  },
  "host-paused": (world, { host }) => {
    after(world, LONG_LOSS_MS, world.pauseHost(host));
  },
  "host-straggles": (world, { host }) => {
    world.engine(host).batch.slowness = SLOWNESS;
    after(world, OUTAGE_MS, () => {
      world.engine(host).batch.slowness = 1;
    });
  },
  "domain-offline": (world, { host }) => {
    for (const name of listDomain(world, host)) {
      after(world, LONG_LOSS_MS, world.loseHost(name));
    }
  },
  "host-maintenance": (world, { host }) => {
    maintain(world, [host]);
  },
  "domain-maintenance": (world, { host }) => {
    maintain(world, listDomain(world, host));
  },
  "cut-from-peers": (world, { node }) => {
    const own = world.node(node).peerAddress;
    const others = [...world.nodes.values()]
      .map(({ peerAddress }) => peerAddress)
      .filter((address) => address !== own);
    cutLinks(world, own, others, PARTITION_MS);
  },
  "cut-from-log": (world, { node }) => {
    cutFromLog(world, node);
  },
  "order-late": (world, { node }) => {
    // The holder cannot renew, gives orders until its lease ends, and the last
    // of them arrive when another node holds the lease.
    const own = world.node(node);
    own.orderDelayMs = ORDER_DELAY_MS;
    cutFromLog(world, node);
    after(world, PAST_LEASE_MS, () => {
      own.orderDelayMs = 0;
    });
  },
  "cut-from-hosts": (world, { node }) => {
    cutLinks(world, node, [...world.platform.engines.keys()], PARTITION_MS);
  },
  "log-down": (world) => {
    const { faults } = world.platform.log;
    const heal = world.cutLog(NODES, () => {
      faults.isDown = true;
    });
    after(world, OUTAGE_MS, () =>
      heal(() => {
        faults.isDown = false;
      }));
  },
  "log-slow": (world) => {
    const { faults } = world.platform.log;
    faults.delayMs = SLOW_LOG_MS;
    after(world, OUTAGE_MS, () => {
      faults.delayMs = 0;
    });
  },
  "log-late": (world) => {
    const { faults } = world.platform.log;
    const heal = world.cutLog(NODES, () => {
      faults.delayMs = LATE_LOG_MS;
    });
    after(world, OUTAGE_MS, () =>
      heal(() => {
        faults.delayMs = 0;
      }));
  },
  "log-reply-lost": (world) => {
    world.platform.log.faults.repliesToLose++;
  },
  "log-expired": (world, { node }) => {
    expireSteadily(world, {
      control: RETENTION_MS,
      calls: CALLS_RETENTION_MS,
    });
    world.node(node).kill();
    after(world, PAST_RETENTION_MS, () => world.node(node).start());
  },
  "host-list-late": (world, { host }) => {
    const { network } = world.platform;
    network.setModeOfEnd(HOST_LIST_END, "silent");
    world.loseHost(host);
    after(world, OUTAGE_MS, () => {
      network.setModeOfEnd(HOST_LIST_END, "pass");
    });
  },
  "operators-race": (world) => {
    world.run(publishRace(world));
  },
  "engine-silent": (world) => {
    world.platform.silenceOpenStreams("engine");
  },
  "node-silent": (world, { node }) => {
    world.platform.silenceOpenStreams("node");
    world.transports.silenceOpenConnections(world.node(node).peerAddress);
  },
  "answer-late": (world) => {
    setLateness(world, LATE_EVENT_MS, LATE_REPLY_MS);
    after(world, OUTAGE_MS, () => setLateness(world, 0, 0));
  },
  "answer-repeated": (world) => {
    world.platform.streamFaults.repeats = true;
    after(world, OUTAGE_MS, () => {
      world.platform.streamFaults.repeats = false;
    });
  },
  "reply-lost": (world) => {
    setReplies(world, "reply-lost");
    after(world, SHORT_LOSS_MS, () => setReplies(world, "pass"));
  },
  "flood": (world) => {
    world.run(runFlood(world, FLOOD_SIZE));
  },
} as const satisfies Record<string, Fault>;

/** The name of a fault. */
export type FaultName = keyof typeof FAULTS;

function after(
  world: World,
  ms: number,
  heal: () => void | Promise<void>,
): void {
  world.run(world.clock.sleep(ms).then(heal));
}

/** The lead of the host's group; `host` outside a group. */
function findLead(world: World, host: string): string {
  const { group } = world.engine(host).status;
  const lead = [...world.platform.engines.values()].find(({ status }) =>
    group !== "" && status.group === group && status.rank === 0
  );
  return lead?.options.host ?? host;
}

/** A host of the same group that is not its lead; `host` outside a group. */
function findMember(world: World, host: string): string {
  const { group, rank } = world.engine(host).status;
  if (group === "" || rank > 0) {
    return host;
  }
  const member = [...world.platform.engines.values()].find(({ status }) =>
    status.group === group && status.rank > 0
  );
  return member?.options.host ?? host;
}

function listDomain(world: World, host: string): string[] {
  const { fabricDomain } = world.host(host);
  return [...world.platform.hosts.values()]
    .filter((other) => other.fabricDomain === fabricDomain)
    .map((other) => other.host);
}

/** Announces that hosts leave, and takes them away at that time. */
function maintain(world: World, names: readonly string[]): void {
  const { clock, platform, records } = world;
  const leavesAt = new Date(clock.wallTime() + NOTICE_MS).toISOString();
  for (const name of names) {
    const host = world.host(name);
    platform.hosts.set(name, { ...host, state: "leaving", leavesAt });
    openSpan(records.leavingHosts, name, clock.now());
  }
  after(world, NOTICE_MS, () => {
    for (const name of names) {
      openSpan(records.maintainedHosts, name, clock.now());
      world.loseHost(name);
    }
  });
}

function cutFromLog(world: World, node: string): void {
  const heal = world.cutLog([node], () => {
    setLinks(world, node, [LOG_END], "silent");
  });
  after(
    world,
    PAST_LEASE_MS,
    () => heal(() => setLinks(world, node, [LOG_END], "pass")),
  );
}

function cutLinks(
  world: World,
  end: string,
  others: readonly string[],
  ms: number,
): void {
  setLinks(world, end, others, "silent");
  after(world, ms, () => setLinks(world, end, others, "pass"));
}

function setLinks(
  world: World,
  end: string,
  others: readonly string[],
  mode: LinkMode,
): void {
  for (const other of others) {
    world.platform.network.setMode(end, other, mode);
    world.platform.network.setMode(other, end, mode);
  }
}

/** How long the log keeps the records of each stream, in milliseconds. */
export interface StreamRetention {
  readonly control: number;
  readonly calls: number;
}

/** Drops records of each stream once they are older than its retention. */
export function expireSteadily(
  world: World,
  retention: StreamRetention,
): void {
  const { clock, platform: { log } } = world;
  const limits = Object.entries(retention);
  const expire = async () => {
    while (clock.now() < ROW_END_MS) {
      for (const [name, keptMs] of limits) {
        const last = log.history.findLast(({ stream, at }) =>
          stream === name && at < clock.now() - keptMs
        );
        log.expire(name, (last?.offset ?? 0) + 1);
      }
      await clock.sleep(EXPIRY_INTERVAL_MS);
    }
  };
  world.run(expire());
}

function setLateness(world: World, eventMs: number, replyMs: number): void {
  world.platform.streamFaults.delayMs = eventMs;
  for (const service of world.recordServices) {
    service.delayMs = replyMs;
  }
}

function setReplies(world: World, mode: LinkMode): void {
  for (const address of world.platform.records.keys()) {
    world.platform.network.setMode("*", address, mode);
  }
}
