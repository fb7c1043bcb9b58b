import { Kernel, ManualClock } from "@zinniahill/kernel";
import { Result } from "true-myth";
import { describe, expect, it } from "vitest";
import { Instances } from "../../src/hosts/instances.ts";
import type { Instance, KeyRecord, RecordDecoder } from "../../src/index.ts";
import type { RelayKernel, RelayServices } from "../../src/services.ts";

type RecordListener = (records: readonly KeyRecord[]) => void;

/** Prefix of the values of draining instances. */
const DRAINING_PREFIX = "leaving";
const UNREADABLE = "?";

const decoder: Pick<RecordDecoder, "instance" | "removeRenewalCount"> = {
  removeRenewalCount: (value) => value,
  instance: (id, value) =>
    value === UNREADABLE
      ? Result.err<Instance, string>("not an entry")
      : Result.ok<Instance, string>({
        id,
        bornAt: 1,
        service: "records",
        address: "10.0.0.1:80",
        dataCentre: "a",
        slots: 2,
        isDraining: value.startsWith(DRAINING_PREFIX),
      }),
};

async function createInstances() {
  let onRecords: RecordListener = () => {};
  const feeds = {
    onChange: (_feed: string, listener: RecordListener) => {
      onRecords = listener;
    },
  };
  const silentLogger = { error() {}, warn() {}, info() {}, debug() {} };
  const kernel: RelayKernel = new Kernel<RelayServices>();
  kernel
    .provide("clock", [], () => new ManualClock())
    .provide("logger", [], () => silentLogger)
    .provide("feeds", [], () => feeds as never)
    .provide("configuration", [], () => ({ onChange() {} }) as never)
    .provide("decoder", [], () => decoder as never);
  await kernel.start();
  const instances = new Instances(kernel);
  let offset = 0;
  const put = (value: string | undefined) =>
    onRecords([
      {
        key: "i-1",
        offset: offset++,
        ...(value === undefined ? {} : { value }),
      },
    ]);
  return { instances, put };
}

describe("Instances", () => {
  describe("a renewed entry", () => {
    it("is no change, so that groups are not derived again each time", async () => {
      const { instances, put } = await createInstances();
      put("1");
      const { version } = instances;
      put("2");
      expect(instances.version).toBe(version);
    });

    it("is a change if its content is new", async () => {
      const { instances, put } = await createInstances();
      put("1");
      const { version } = instances;
      put(DRAINING_PREFIX);
      expect(instances.version).toBeGreaterThan(version);
      expect(instances.listAvailable("records")).toEqual([]);
    });
  });

  // Guards against requests that other nodes sent to a leaving upstream, as the
  // holder left its entry out of its updates.
  describe("an entry that says what a response has said", () => {
    it("is passed on to peers, which have not seen the response", async () => {
      const { instances, put } = await createInstances();
      const passedOn: string[] = [];
      instances.onUpdate((records) =>
        passedOn.push(...records.map(({ value }) => value!))
      );
      put("1");
      instances.markLeaving(instances.find("i-1")!);
      const { version } = instances;
      put(DRAINING_PREFIX);
      expect(passedOn).toEqual(["1", DRAINING_PREFIX]);
      expect(instances.version).toBe(version);
    });
  });

  describe("an unreadable entry", () => {
    it("keeps the previous state", async () => {
      const { instances, put } = await createInstances();
      put("1");
      put(UNREADABLE);
      expect(instances.find("i-1")?.isDraining).toBe(false);
    });
  });

  describe("a deleted entry", () => {
    it("is a change only once", async () => {
      const { instances, put } = await createInstances();
      put("1");
      put(undefined);
      const { version } = instances;
      expect(instances.list()).toEqual([]);
      put(undefined);
      expect(instances.version).toBe(version);
    });
  });
});
