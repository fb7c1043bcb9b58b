/**
 * Measures the memory of remembered calls: `node bench/dist/call-memory.js`.
 *
 * @module
 */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { CallReducer } from "@zinniahill/policy";
import { CallRecord } from "@zinniahill/schema";
import { createHash } from "node:crypto";

const KEYS = 20_000;
const REPLY_BYTES = [0, 100, 1000];

setFlagsFromString("--expose-gc");
const collectGarbage: () => void = runInNewContext("gc");

function readHeap(): number {
  collectGarbage();
  collectGarbage();
  return process.memoryUsage().heapUsed;
}

function hash(text: string): string {
  return createHash("sha256").update(text).digest("base64url");
}

/** Applies the two records of a call as they come out of the log's JSON. */
function remember(reducer: CallReducer, index: number, body: string): void {
  const id = index.toString(16).padStart(16, "0");
  const key = hash(`key ${index}`);
  const common = { id, node: "node-1", key };
  const records = [
    { ...common, kind: "intent", bodyHash: hash(`body ${index}`) },
    {
      ...common,
      kind: "outcome",
      intent: id,
      verdict: "ran",
      status: 201,
      contentType: "application/json",
      body,
    },
  ];
  for (const record of JSON.parse(JSON.stringify(records))) {
    reducer.apply(CallRecord.parse(record));
  }
}

function measure(replyBytes: number): number {
  const reducer = new CallReducer(KEYS, Number.POSITIVE_INFINITY);
  const body = Buffer.alloc(replyBytes, "x").toString("base64");
  const before = readHeap();
  for (let index = 0; index < KEYS; index++) {
    remember(reducer, index, body);
  }
  const after = readHeap();
  return reducer.size === KEYS ? (after - before) / KEYS : Number.NaN;
}

measure(0);
for (const replyBytes of REPLY_BYTES) {
  const bytes = Math.round(measure(replyBytes));
  process.stdout.write(
    `keys=${KEYS} reply_bytes=${replyBytes} heap_bytes_per_key=${bytes}\n`,
  );
}
