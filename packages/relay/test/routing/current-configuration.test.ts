import { Kernel, ManualClock } from "@zinniahill/kernel";
import { Result } from "true-myth";
import { describe, expect, it } from "vitest";
import type { FeedListener } from "../../src/feeds/feed-state.ts";
import { createPosition, type IgnoredField } from "../../src/index.ts";
import { CurrentConfiguration } from "../../src/routing/current-configuration.ts";
import type { RelayKernel, RelayServices } from "../../src/services.ts";

/** Writes configurations, and returns the version and content in force. */
async function create() {
  let apply: FeedListener = () => {};
  const feeds = {
    onChange(_feed: string, listener: FeedListener) {
      apply = listener;
    },
  };
  const decoder = {
    configurationKey: () => ({ kind: "configuration" }),
    configuration: (value: string) => Result.ok(JSON.parse(value)),
  };
  const warnings: unknown[] = [];
  const logger = {
    error() {},
    warn(_event: string, fields: unknown) {
      warnings.push(fields);
    },
    info() {},
    debug() {},
  };
  const kernel: RelayKernel = new Kernel<RelayServices>();
  kernel
    .provide("clock", [], () => new ManualClock())
    .provide("logger", [], () => logger)
    .provide("decoder", [], () => decoder as never)
    .provide("feeds", [], () => feeds as never);
  await kernel.start();
  const configuration = new CurrentConfiguration(kernel);
  const write = (
    era: number,
    version: number,
    content: string,
    ignoredFields: readonly IgnoredField[] = [],
  ) => {
    const limits = { content };
    const value = { version, routes: [], services: [], limits, ignoredFields };
    const offset = createPosition(era, 1);
    apply([{ key: "config", offset, value: JSON.stringify(value) }]);
    const { current } = configuration;
    return [current?.version, (current as unknown as typeof value).limits];
  };
  return { write, warnings };
}

describe("CurrentConfiguration", () => {
  // Guards against a version that was in force and is taken back, and against
  // one that is never in force, as its number was used before a restore.
  it("compares versions first, and their content after a restore", async () => {
    const { write } = await create();
    const a = { content: "a" };
    expect(write(0, 12, "a")).toEqual([12, a]);
    expect(write(0, 12, "b")).toEqual([12, a]);
    expect(write(1, 11, "b")).toEqual([12, a]);
    expect(write(1, 12, "a")).toEqual([12, a]);
    expect(write(1, 12, "b")).toEqual([12, a]);
    expect(write(2, 12, "b")).toEqual([12, { content: "b" }]);
  });

  // Guards against an operator who takes a field for one that has an effect.
  it("warns of ignored fields once for each version", async () => {
    const { write, warnings } = await create();
    const ignored = [{
      route: "stamp",
      field: "Resumable",
      reason: "no stream",
    }];
    write(0, 12, "a", ignored);
    write(0, 12, "a", ignored);
    write(0, 13, "a");
    expect(warnings).toEqual([
      { version: 12, count: 1, fields: "stamp.Resumable: no stream" },
    ]);
    write(0, 14, "a", ignored);
    expect(warnings).toHaveLength(2);
  });
});
