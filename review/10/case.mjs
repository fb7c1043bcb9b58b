/**
 * Case 10: nodes that start believe heartbeats that the store has done late, and
 * take members of an open group for spares.
 *
 * @module
 */
import process from "node:process";
import { fileURLToPath } from "node:url";
import { Fleet, FleetRunner } from "../../stand-ins/dist/index.js";
import {
  BROKEN,
  Callers,
  createFolder,
  findBlock,
  hasTrouble,
  HELD,
  Node,
  NOT_RUN,
  noteRuns,
  Record,
  removeFolder,
  sleep,
  waitFor,
} from "../harness-2.mjs";

const NODES = 4;
const RUNNERS = 9;
const OPEN_GROUPS = 2;
const START_LIMIT_MS = 20_000;
const SETTLE_MS = 6000;
const HEARTBEAT_MS = 1200;
const STALL_MS = 5000;
/** The first heartbeat of a spare that is lost is done after this time. */
const FIRST_LATE_MS = 1150;
/** The others; the pages have 1 to 6 s. */
const LATE_MS = 5500;
/**
 * An entry lapses after three heartbeats without a write. Between the first and
 * the second of these the store does the writes that report the new group.
 */
const MAX_LATE_IN_A_ROW = 3;
const WINDOW_MS = 4500;
const MAX_LATE_SHARE = 0.35;
const ADD_AT_MS = 100;
/** `scale_out`: at most a quarter more. */
const ADDED = 2;
const KILL_AT_MS = 900;
const DOWN_MS = 300;
const WATCH_MS = 8000;
const CALL_INTERVAL_MS = 100;

const record = new Record(fileURLToPath(new URL(".", import.meta.url)));
const fleet = new Fleet({
  domains: 1,
  runnersPerDomain: RUNNERS,
  modelHosts: 3,
  loadMs: 300,
});
const violations = [];
const memberships = new Map();
const put = fleet.store.put.bind(fleet.store);
/** Runners whose heartbeats are lost and done late. */
const unlucky = new Set();
let windowUntil = -Infinity;
let heartbeats = 0;
let lateHeartbeats = 0;

/** Judges each join when a runner accepts it: TWO, as it is written. */
function watchJoins(runner) {
  const push = runner.orders.push.bind(runner.orders);
  runner.orders.push = (order) => {
    const { Op, group, Members } = order;
    record.note(`order ${Op} ${group ?? ""} accepted by ${runner.id}`);
    const own = memberships.get(runner.id);
    if (Op === "join") {
      const head = fleet.runners.find(({ id }) => id === own?.head);
      const isServing = head !== undefined && head !== runner &&
        own.group !== group && head.membership?.Name === own.group &&
        ["open", "closing"].includes(head.membership.State);
      if (isServing) {
        violations.push(runner.id);
        record.note(
          `TWO: ${runner.id} has taken the join of ${group} while the head ` +
            `${head.id} of its group ${own.group} is ${head.membership.State}`,
        );
      }
      memberships.set(runner.id, { group, head: Members[0] });
    } else if (Op === "leave" && own?.group === group) {
      memberships.delete(runner.id);
    }
    return push(order);
  };
}

/** Writes a heartbeat each 1.2 s, from the next common beat on. */
function startHeartbeats(runner) {
  let lateInARow = 0;
  const beat = () => {
    if (!runner.isRunning) {
      return;
    }
    const isWindow = performance.now() < windowUntil;
    const isLate = isWindow && unlucky.has(runner) &&
      lateInARow < MAX_LATE_IN_A_ROW;
    const delayMs = lateInARow === 0 ? FIRST_LATE_MS : LATE_MS;
    heartbeats += Number(isWindow);
    lateHeartbeats += Number(isLate);
    lateInARow = isLate ? lateInARow + 1 : 0;
    if (isLate) {
      fleet.store.put = (topic, key, entry) => {
        record.note(`heartbeat ${entry.SeqNo} of ${key} is done late`);
        setTimeout(() => put(topic, key, entry), delayMs);
      };
    }
    runner.register();
    fleet.store.put = put;
    setTimeout(beat, HEARTBEAT_MS);
  };
  beat();
}

/** An empty runner is added. */
async function addRunner() {
  const runner = new FleetRunner({
    store: fleet.store,
    service: "engines",
    zone: "z1",
    domain: "d0",
    loadMs: 300,
    onLeft: (group) =>
      setTimeout(() => {
        if (runner.membership?.Name !== group) {
          fleet.runners.forEach((other) => other.breakGroup(group));
        }
      }, STALL_MS),
  });
  fleet.runners.push(runner);
  watchJoins(runner);
  await runner.start();
  record.note(`${runner.id} is added`);
  return runner;
}

async function killNodes(nodes) {
  record.note("all nodes are killed");
  nodes.forEach((node) => node.signal("SIGKILL"));
  await Promise.all(nodes.map(({ exited }) => exited));
  await sleep(DOWN_MS);
  nodes.forEach((node) => node.start());
}

/**
 * Two runners are added, and the three spares form a group; the store does
 * heartbeats late that they wrote as spares, or write later; then all nodes end
 * and start again.
 */
async function disturb(nodes) {
  const spares = fleet.runners.filter(({ membership }) =>
    membership === undefined
  );
  if (hasTrouble) {
    windowUntil = performance.now() + WINDOW_MS;
    spares.forEach((spare) => unlucky.add(spare));
  }
  fleet.runners.forEach(startHeartbeats);
  await sleep(ADD_AT_MS);
  for (let number = 0; number < ADDED; number++) {
    startHeartbeats(await addRunner());
  }
  await sleep(KILL_AT_MS - ADD_AT_MS);
  // The head's later heartbeats are done at once.
  fleet.listLeads().forEach((head) => unlucky.delete(head));
  if (hasTrouble) {
    await killNodes(nodes);
  }
}

async function play(nodes) {
  fleet.runners.forEach(watchJoins);
  nodes.forEach((node) => node.start());
  const isServing = () => fleet.listLeads().length === OPEN_GROUPS;
  if (!await waitFor(isServing, START_LIMIT_MS)) {
    record.note("the groups were not formed");
    return NOT_RUN;
  }
  const callers = new Callers(record, nodes, ["chat"]);
  callers.start(CALL_INTERVAL_MS);
  await sleep(SETTLE_MS);
  await disturb(nodes);
  await sleep(WATCH_MS);
  await callers.stop();
  noteRuns(record, fleet);
  record.note(`${lateHeartbeats} of ${heartbeats} heartbeats were done late`);
  if (lateHeartbeats > heartbeats * MAX_LATE_SHARE) {
    return NOT_RUN;
  }
  record.note(`${violations.length} joins broke TWO`);
  return violations.length > 0 ? BROKEN : HELD;
}

const folder = createFolder();
let code = NOT_RUN;
let nodes = [];
try {
  await fleet.start();
  const block = await findBlock();
  nodes = Array.from(
    { length: NODES },
    (_, index) => new Node({ index, store: fleet.address, folder, block }),
  );
  code = await play(nodes);
} catch (failure) {
  record.note(`failed: ${failure.stack}`);
} finally {
  nodes.forEach((node) => node.signal("SIGKILL"));
  fleet.stop();
  removeFolder(folder);
}
record.note(`exit ${code}`);
process.exit(code);
