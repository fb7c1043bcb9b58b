/**
 * Faults of the list of runners: entries of other writers, and heartbeats that
 * the store carries out late while all nodes start; and runners that are killed
 * within an answer.
 *
 * @module
 */
import type { FleetRunner } from "@zinniahill/stand-ins";
import { drawLead, type FaultTable, type FaultTarget } from "./faults.ts";

type Entry = Record<string, unknown>;

const SERVERS = "keyed.servers";
/** An entry is renewed within this time. */
const HEARTBEAT_MS = 1200;
const RESTART_MS = 300;
/** The key of another writer's own entry. */
const FOREIGN_KEY = "i-foreign";
/** A start that no process of a runner reaches. */
const LATER_START = 2 ** 50;

/** Changes after which an entry names no runner to use. */
const FOREIGN_CHANGES: readonly Entry[] = [
  { Service: "another" },
  { Service: "another", born: LATER_START },
  { Service: undefined },
  { State: "another" },
  { Version: undefined, born: LATER_START },
  { SeqNo: undefined, born: LATER_START },
  { Domain: undefined, group: undefined, born: LATER_START },
  { group: 7 },
];

function drawRunner({ random, fleet }: FaultTarget): FleetRunner {
  return fleet.runners[random.below(fleet.runners.length)]!;
}

function readEntry({ fleet }: FaultTarget, key: string): Entry | undefined {
  return fleet.store.readNewest(SERVERS, key) as Entry | undefined;
}

/** Writes a changed copy of a runner's entry. */
function writeForeign(
  target: FaultTarget,
  { id }: FleetRunner,
  key: string,
): void {
  const { random, fleet } = target;
  const entry = readEntry(target, id);
  if (entry !== undefined) {
    const change = FOREIGN_CHANGES[random.below(FOREIGN_CHANGES.length)];
    const SeqNo = Number(entry.SeqNo) + 1;
    fleet.store.put(SERVERS, key, { ...entry, SeqNo, ...change });
  }
}

/** Members of an open group, without the lead. */
function drawMembers(target: FaultTarget): FleetRunner[] {
  const lead = drawLead(target);
  return target.fleet.runners.filter(({ membership }) =>
    membership?.Name === lead?.membership?.Name && membership?.rank !== 0
  );
}

/** Faults by name; a seed draws among these and those of `FAULTY_UPSTREAMS`. */
export const LIST_FAULTS: FaultTable = {
  // A copy hides the runner's entry until its next heartbeat.
  "foreign-entries": async (target, durationMs) => {
    const { clock, random, fleet } = target;
    const until = clock.now() + durationMs;
    do {
      const runner = drawRunner(target);
      writeForeign(target, runner, runner.id);
      writeForeign(target, drawRunner(target), FOREIGN_KEY);
      await clock.sleep(random.below(HEARTBEAT_MS));
      if (runner.isRunning) {
        runner.writeAgain();
      }
    } while (clock.now() < until);
    fleet.store.put(SERVERS, FOREIGN_KEY, undefined);
  },
  // Late heartbeats list members of an open group as the spares that they were.
  "nodes-killed-late-heartbeats": async (target) => {
    const { clock, fleet, nodes } = target;
    nodes.forEach((node) => node.signal("SIGKILL"));
    const members = drawMembers(target);
    for (const { id } of members) {
      const entry = readEntry(target, id);
      if (entry !== undefined) {
        const late = { ...entry, SeqNo: 1, group: null, Models: [] };
        fleet.store.put(SERVERS, id, late);
      }
    }
    await clock.sleep(RESTART_MS);
    nodes.forEach((node) => node.spawn());
    await Promise.all(nodes.map(({ listening }) => listening));
    await clock.sleep(HEARTBEAT_MS);
    members.filter(({ isRunning }) => isRunning)
      .forEach((member) => member.writeAgain());
  },
  // The connections of a killed process end as those of whole answers do.
  "record-killed-within-answer": async (
    { clock, random, fleet },
    durationMs,
  ) => {
    const record = fleet.records[random.below(fleet.records.length)]!;
    record.createRawAnswer = (attempt) => {
      record.createRawAnswer = undefined;
      return {
        bytes: [
          "HTTP/1.1 200 OK",
          `x-attempt-id: ${attempt}`,
          "x-response-seal: s",
          "connection: close",
          "",
          `answer to ${attempt.slice(0, 1)}`,
        ].join("\r\n"),
        close: "kill",
      };
    };
    await clock.sleep(durationMs);
    record.createRawAnswer = undefined;
    if (!record.isRunning) {
      record.unregister();
      await clock.sleep(RESTART_MS);
      record.startAgain();
    }
  },
};
