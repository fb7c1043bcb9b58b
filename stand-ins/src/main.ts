/**
 * Starts one stand-in as a process of its own and prints its address.
 *
 * @module
 */
import process from "node:process";
import { SystemClock } from "@zinniahill/kernel";
import { EngineStandIn } from "./engine.ts";
import { HostListStandIn } from "./host-list.ts";
import { LogStandIn } from "./log.ts";
import { RecordServiceStandIn } from "./record-service.ts";
import { WeightStoreStandIn } from "./weight-store.ts";

interface StandIn {
  listen(port?: number): Promise<string>;
}

const clock = new SystemClock();

/** Creates a stand-in from its options, which are `key=value` pairs. */
const CREATE: Readonly<
  Record<string, (options: ReadonlyMap<string, string>) => StandIn>
> = {
  "log": (options) =>
    new LogStandIn(clock, {
      entries: readNumber(options, "retention-entries", 100_000),
    }),
  "host-list": () => new HostListStandIn(),
  "weight-store": (options) =>
    new WeightStoreStandIn(clock, readNumber(options, "grants", 20)),
  "record-service": () => new RecordServiceStandIn(clock),
  "engine": (options) =>
    new EngineStandIn(clock, {
      host: options.get("host") ?? "host",
      checksFence: options.get("fencing") !== "ignored",
      loadMs: readNumber(options, "load-ms", 200),
      batchSize: readNumber(options, "batch", 8),
      stepMs: readNumber(options, "step-ms", 10),
    }),
};

function readNumber(
  options: ReadonlyMap<string, string>,
  key: string,
  fallback: number,
): number {
  return Number(options.get(key) ?? fallback);
}

const [kind = "", ...pairs] = process.argv.slice(2);
const options = new Map(pairs.map((pair) => {
  const [key = "", value = ""] = pair.split("=");
  return [key, value] as const;
}));
const create = CREATE[kind];
if (create === undefined) {
  console.error(
    `unknown stand-in "${kind}"; expected one of ${Object.keys(CREATE)}`,
  );
  process.exit(2);
}
const address = await create(options).listen(readNumber(options, "port", 0));
console.log(JSON.stringify({ kind, address }));
