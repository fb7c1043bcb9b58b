/**
 * Faults of the soak, each from outside of the nodes.
 *
 * @module
 */
import type { Clock, Random } from "@zinniahill/kernel";
import type { Fleet, FleetRunner } from "@zinniahill/stand-ins";
import type { NodeProcess } from "./node-process.ts";
import type { RelayMode } from "./store-relay.ts";

/** What a fault may harm. */
export interface FaultTarget {
  readonly clock: Clock;
  readonly random: Random;
  readonly fleet: Fleet;
  readonly nodes: readonly NodeProcess[];
}

/** Harms its target for a time, and undoes it. */
type Fault = (target: FaultTarget, durationMs: number) => Promise<void>;

const RESTART_MS = 300;

/** Faults by name; a seed draws among the names. */
export const FAULTS: Readonly<Record<string, Fault>> = {
  "node-killed": async (target, durationMs) => {
    const node = drawNode(target);
    node.signal("SIGKILL");
    await target.clock.sleep(durationMs);
    node.spawn();
  },
  "node-paused": async (target, durationMs) => {
    const node = drawNode(target);
    node.signal("SIGSTOP");
    await target.clock.sleep(durationMs);
    node.signal("SIGCONT");
  },
  "node-restarted": async (target) => {
    const node = drawNode(target);
    await node.stopAsPlanned();
    await target.clock.sleep(RESTART_MS);
    node.spawn();
  },
  "nodes-killed": async (target, durationMs) => {
    target.nodes.forEach((node) => node.signal("SIGKILL"));
    await target.clock.sleep(durationMs);
    target.nodes.forEach((node) => node.spawn());
  },
  "store-busy": async ({ fleet, clock }, durationMs) => {
    fleet.store.mode = "busy";
    await clock.sleep(durationMs);
    fleet.store.mode = "well";
  },
  "store-silent": async ({ fleet, clock }, durationMs) => {
    fleet.store.mode = "silent";
    await clock.sleep(durationMs);
    fleet.store.mode = "well";
  },
  "link-slow": (target, durationMs) => harmLink(target, durationMs, "slow"),
  "link-one-way": (target, durationMs) =>
    harmLink(target, durationMs, "mute-replies"),
  "link-silent": (target, durationMs) => harmLink(target, durationMs, "silent"),
  "link-reset": (target, durationMs) => harmLink(target, durationMs, "reset"),
  "member-silent": async (target, durationMs) => {
    const { clock, fleet } = target;
    const lead = drawLead(target);
    const member = lead === undefined ? undefined : findMember(fleet, lead);
    if (lead === undefined || member === undefined) {
      return;
    }
    member.isSilent = true;
    lead.isStalled = true;
    await clock.sleep(durationMs);
    member.isSilent = false;
    lead.isStalled = false;
  },
  "lead-silent": async (target, durationMs) => {
    const lead = drawLead(target);
    if (lead === undefined) {
      return;
    }
    lead.isSilent = true;
    await target.clock.sleep(durationMs);
    lead.isSilent = false;
  },
  "record-answers-lost": async ({ clock, random, fleet }, durationMs) => {
    const record = fleet.records[random.below(fleet.records.length)]!;
    record.losesAnswers = true;
    await clock.sleep(durationMs);
    record.losesAnswers = false;
  },
  "engine-answers-lost": async (target, durationMs) => {
    const lead = drawLead(target);
    if (lead === undefined) {
      return;
    }
    lead.losesAnswers = true;
    await target.clock.sleep(durationMs);
    lead.losesAnswers = false;
  },
  "streams-broken": async (target, durationMs) => {
    const lead = drawLead(target);
    if (lead === undefined) {
      return;
    }
    lead.breaksAfter = target.random.below(4);
    await target.clock.sleep(durationMs);
    lead.breaksAfter = undefined;
  },
};

async function harmLink(
  target: FaultTarget,
  durationMs: number,
  mode: RelayMode,
): Promise<void> {
  const { link } = drawNode(target);
  link.mode = mode;
  await target.clock.sleep(durationMs);
  link.mode = "pass";
}

function findMember(fleet: Fleet, lead: FleetRunner): FleetRunner | undefined {
  return fleet.runners.find(({ membership }) =>
    membership?.Name === lead.membership?.Name && membership?.rank === 1
  );
}

function drawNode({ random, nodes }: FaultTarget): NodeProcess {
  return nodes[random.below(nodes.length)]!;
}

function drawLead({ random, fleet }: FaultTarget): FleetRunner | undefined {
  const leads = fleet.listLeads();
  return leads[random.below(Math.max(1, leads.length))];
}
