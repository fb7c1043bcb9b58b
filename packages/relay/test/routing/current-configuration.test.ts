import { Kernel, ManualClock } from "@zinniahill/kernel";
import { Result } from "true-myth";
import { describe, expect, it } from "vitest";
import type { FeedListener } from "../../src/feeds/feed-state.ts";
import { createPosition } from "../../src/index.ts";
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
  const logger = { error() {}, warn() {}, info() {}, debug() {} };
  const kernel: RelayKernel = new Kernel<RelayServices>();
  kernel
    .provide("clock", [], () => new ManualClock())
    .provide("logger", [], () => logger)
    .provide("decoder", [], () => decoder as never)
    .provide("feeds", [], () => feeds as never);
  await kernel.start();
  const configuration = new CurrentConfiguration(kernel);
  return (era: number, version: number, content: string) => {
    const limits = { content };
    const value = { version, routes: [], services: [], limits };
    const offset = createPosition(era, 1);
    apply([{ key: "config", offset, value: JSON.stringify(value) }]);
    const { current } = configuration;
    return [current?.version, (current as unknown as typeof value).limits];
  };
}

describe("CurrentConfiguration", () => {
  // Guards against a version that was in force and is taken back, and against
  // one that is never in force, as its number was used before a restore.
  it("compares versions first, and their content after a restore", async () => {
    const write = await create();
    const a = { content: "a" };
    expect(write(0, 12, "a")).toEqual([12, a]);
    expect(write(0, 12, "b")).toEqual([12, a]);
    expect(write(1, 11, "b")).toEqual([12, a]);
    expect(write(1, 12, "a")).toEqual([12, a]);
    expect(write(1, 12, "b")).toEqual([12, a]);
    expect(write(2, 12, "b")).toEqual([12, { content: "b" }]);
  });
});
