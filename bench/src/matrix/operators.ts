/**
 * Operators of one row: they publish rules, drain hosts and stop nodes.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { ControlRecord } from "@zinniahill/schema";
import type { Edit } from "./records.ts";
import { openSpan } from "./records.ts";
import { NODES, RECORD_SERVICES, type World } from "./world.ts";

const RETRY_PAUSE_MS = 500;
const MAX_TRIES = 30;
/** Hosts of the fabric domain whose engines ignore the fencing number. */
const IGNORING_HOSTS = "host-1,host-2,host-3";

/** The rules of a row; each edit adds one client account. */
export function createRules(accounts: readonly string[]): string {
  return [
    "rank urgent first-token=750ms floor=20% worth=10 # asked by the matrix",
    "rank normal first-token=3s floor=20% worth=3 # asked by the matrix",
    "rank batch first-token=60s floor=5% worth=1 # asked by the matrix",
    "model chat version=1 hosts=2 replicas=2 # asked by the matrix",
    `service records upstreams=${RECORD_SERVICES.join(",")} # asked by it`,
    `fencing ${IGNORING_HOSTS} mode=ignored # engines of an old version`,
    ...accounts.map((name) => {
      const hash = createHash("sha256").update(name).digest("hex");
      return `account ${name} key=sha256:${hash} ranks=urgent,normal,batch ` +
        "requests=1000/s tokens=1000000/s streams=1000 # asked by the matrix";
    }),
    "",
  ].join("\n");
}

/** Publishes an edit, at another node when one does not answer. */
export async function publish(
  world: World,
  accounts: readonly string[],
  firstNode = 0,
): Promise<void> {
  for (let attempt = 0; attempt < MAX_TRIES; attempt++) {
    const edit = await tryPublish(world, accounts, firstNode + attempt);
    if (edit.isAccepted !== undefined) {
      return;
    }
    await world.clock.sleep(RETRY_PAUSE_MS);
  }
}

/** Publishes two edits of the same version at two nodes at the same time. */
export async function publishRace(world: World): Promise<void> {
  await Promise.all([
    tryPublish(world, ["north", "race-1"], 1),
    tryPublish(world, ["north", "race-2"], 2),
  ]);
}

async function tryPublish(
  world: World,
  accounts: readonly string[],
  turn: number,
): Promise<Edit> {
  const node = world.node(NODES[turn % NODES.length]!);
  const edit: Edit = {
    id: world.random.id(),
    node: node.name,
    from: world.clock.now(),
  };
  world.records.edits.push(edit);
  const decision = await node.handle((kernel) => {
    const state = kernel.find("state");
    const record: ControlRecord = {
      kind: "configuration",
      id: edit.id,
      node: node.name,
      basis: state.control.configuration.version,
      text: createRules(accounts),
      author: "operator",
    };
    return state.propose(record, new AbortController().signal);
  });
  edit.to = world.clock.now();
  if (decision?.isOk) {
    edit.isAccepted = decision.value.accepted;
  }
  return edit;
}

/** Takes a host out of service. */
export async function drainHost(world: World, host: string): Promise<void> {
  for (let attempt = 0; attempt < MAX_TRIES; attempt++) {
    const node = world.node(NODES[attempt % NODES.length]!);
    const decision = await node.handle((kernel) =>
      kernel.find("state").propose({
        kind: "host-drained",
        id: world.random.id(),
        node: node.name,
        host,
        drained: true,
        author: "operator",
      }, new AbortController().signal)
    );
    if (decision?.isOk) {
      openSpan(world.records.leavingHosts, host, world.clock.now());
      return;
    }
    await world.clock.sleep(RETRY_PAUSE_MS);
  }
}
