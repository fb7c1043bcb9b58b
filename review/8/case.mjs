/**
 * Case 8: entries of another writer hide open groups, whose members then join
 * other groups.
 *
 * @module
 */
import process from "node:process";
import { fileURLToPath } from "node:url";
import { Fleet } from "../../stand-ins/dist/index.js";
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
const OPEN_GROUPS = 4;
const START_LIMIT_MS = 20_000;
/** `platform_down` of the site: "busy lapse", for 4.5 s. */
const OUTAGE_MS = 4500;
/** Three heartbeats of 1.2 s without a write. */
const LAPSE_MS = 3600;
/** Entries are back within two seconds of the store's return. */
const FIRST_BACK_MS = 100;
const BACK_SPREAD_MS = 1800;
const WATCH_MS = 9000;
const CALL_INTERVAL_MS = 100;
/** A service that the manifest does not name. */
const OTHER_SERVICE = "engines-shadow";

const record = new Record(fileURLToPath(new URL(".", import.meta.url)));
const fleet = new Fleet({
  domains: 2,
  runnersPerDomain: 8,
  modelHosts: 3,
  loadMs: 300,
});
const violations = [];

/** Judges each join when a runner accepts it: TWO, as it is written. */
function watchJoins() {
  const memberships = new Map();
  const find = (id) => fleet.runners.find((runner) => runner.id === id);
  for (const runner of fleet.runners) {
    const push = runner.orders.push.bind(runner.orders);
    runner.orders.push = (order) => {
      const { Op, group, Members } = order;
      record.note(`order ${Op} ${group ?? ""} accepted by ${runner.id}`);
      const own = memberships.get(runner.id);
      if (Op === "join") {
        if (
          own !== undefined && own.group !== group && own.head !== runner.id
        ) {
          const { membership } = find(own.head);
          const isServing = membership?.Name === own.group &&
            ["open", "closing"].includes(membership.State);
          if (isServing) {
            violations.push(runner.id);
            record.note(
              `TWO: ${runner.id} has taken the join of ${group} while the ` +
                `head ${own.head} of its group ${own.group} is ` +
                membership.State,
            );
          }
        }
        memberships.set(runner.id, { group, head: Members[0] });
      } else if (Op === "leave" && own?.group === group) {
        memberships.delete(runner.id);
      }
      return push(order);
    };
  }
}

/** The entries of another writer: those of the heads, but for the service. */
function copyEntries() {
  const newest = new Map(
    fleet.store.topic("keyed.servers").listNewest()
      .map(({ key, value }) => [key, JSON.parse(value.toString())]),
  );
  return fleet.listLeads().map(({ id }) => ({
    key: `other-${id}`,
    entry: { ...newest.get(id), Service: OTHER_SERVICE },
  }));
}

async function disturb() {
  const copies = copyEntries();
  const write = () =>
    copies.forEach(({ key, entry }) =>
      fleet.store.put("keyed.servers", key, entry)
    );
  write();
  copies.forEach(({ key, entry }) =>
    record.note(`entry of another writer: ${key} ${JSON.stringify(entry)}`)
  );
  await sleep(1500);
  const runners = [...fleet.runners, ...fleet.records];
  record.note("the store is down (503)");
  fleet.store.mode = "busy";
  await sleep(LAPSE_MS);
  record.note("the entries have lapsed");
  runners.forEach((runner) => runner.unregister());
  copies.forEach(({ key }) => fleet.store.put("keyed.servers", key, undefined));
  await sleep(OUTAGE_MS - LAPSE_MS);
  record.note("the store is back");
  fleet.store.mode = "well";
  write();
  for (const runner of runners) {
    setTimeout(
      () => runner.register(),
      FIRST_BACK_MS + Math.random() * BACK_SPREAD_MS,
    );
  }
}

async function play(nodes) {
  watchJoins();
  nodes.forEach((node) => node.start());
  const isServing = () => fleet.listLeads().length === OPEN_GROUPS;
  if (!await waitFor(isServing, START_LIMIT_MS)) {
    record.note("the groups were not formed");
    return NOT_RUN;
  }
  const callers = new Callers(record, nodes, ["chat", "stamp", "look"]);
  callers.start(CALL_INTERVAL_MS);
  await sleep(3000);
  if (hasTrouble) {
    await disturb();
  } else {
    await sleep(1500 + OUTAGE_MS);
  }
  await sleep(WATCH_MS);
  await callers.stop();
  noteRuns(record, fleet);
  const whole = callers.answers.filter(({ isWhole, status }) =>
    isWhole && status === 200
  );
  record.note(`${whole.length} of ${callers.answers.length} calls served`);
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
