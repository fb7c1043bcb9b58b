/**
 * Case 7: an unsafe request runs twice if its route bears `Resumable`.
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
const START_LIMIT_MS = 20_000;
/** `answer_lost`: half of the runners lose 3 in 10 of their answers. */
const LOST_SHARE = 0.3;
const LOST_MS = 5500;
const CALL_INTERVAL_MS = 30;

const record = new Record(fileURLToPath(new URL(".", import.meta.url)));
const fleet = new Fleet({
  domains: 1,
  runnersPerDomain: 4,
  modelHosts: 3,
  loadMs: 300,
});

/** The next version of the manifest, in which the unsafe route has changed. */
function changeManifest() {
  const newest = fleet.store.topic("keyed.op").listNewest()
    .find(({ key }) => key === "config");
  const manifest = JSON.parse(newest.value.toString());
  manifest.Version += 1;
  manifest.Routes = manifest.Routes.map((route) =>
    route.Kind === "unsafe"
      ? { ...route, MaxAttempts: 2, Resumable: true }
      : route
  );
  fleet.store.put("keyed.op", "config", manifest);
  record.note(`manifest ${JSON.stringify(manifest.Routes)}`);
}

/** Requests that ran more than once. */
function listRepeated() {
  const counts = new Map();
  for (const { runs } of fleet.records) {
    for (const { attempt } of runs) {
      counts.set(attempt, (counts.get(attempt) ?? 0) + 1);
    }
  }
  return [...counts].filter(([, count]) => count > 1);
}

async function play(nodes) {
  nodes.forEach((node) => node.start());
  const areReady = async () =>
    (await Promise.all(nodes.map((node) => node.isReady()))).every(Boolean);
  if (!await waitFor(areReady, START_LIMIT_MS)) {
    record.note("the nodes were not ready");
    return NOT_RUN;
  }
  changeManifest();
  // The bound for a manifest is 2 s.
  await sleep(2500);
  const callers = new Callers(record, nodes, ["stamp"]);
  callers.start(CALL_INTERVAL_MS);
  await sleep(1000);
  if (hasTrouble) {
    const [runner] = fleet.records;
    record.note(`${runner.id} loses answers`);
    Object.defineProperty(runner, "losesAnswers", {
      configurable: true,
      get: () => Math.random() < LOST_SHARE,
    });
    await sleep(LOST_MS);
    record.note(`${runner.id} loses no more answers`);
    Object.defineProperty(runner, "losesAnswers", { value: false });
  } else {
    await sleep(LOST_MS);
  }
  await sleep(1000);
  await callers.stop();
  noteRuns(record, fleet);
  const repeated = listRepeated();
  repeated.forEach(([attempt, count]) =>
    record.note(`TWICE: ${attempt} ran ${count} times`)
  );
  record.note(`${repeated.length} of ${callers.answers.length} ran twice`);
  return repeated.length > 0 ? BROKEN : HELD;
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
