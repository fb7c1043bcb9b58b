import { describe, expect, it } from "vitest";
import type { Route } from "../src/model/configuration.ts";
import { RelayMetrics } from "../src/relay-metrics.ts";

const STREAM = { kind: "stream", rank: 1 } as Route;
const CALL = { kind: "once", rank: 2 } as Route;
const ANSWER = {
  status: 200,
  firstByteAt: 120,
  instance: "i-1",
  group: "large~7",
  load: 10,
  upstreamLoad: 34,
  events: 3,
};

describe("RelayMetrics", () => {
  describe("delivered responses", () => {
    it("are timed from the arrival of the request head, in seconds", async () => {
      const metrics = new RelayMetrics();
      metrics.recordResponse(STREAM, { ...ANSWER, longestGapMs: 90 }, 20, 520);
      const text = await metrics.render();
      expect(text).toContain(
        'zinniahill_first_byte_seconds_sum{kind="stream",rank="1"} 0.1',
      );
      expect(text).toContain(
        'zinniahill_answer_seconds_sum{kind="stream",rank="1"} 0.5',
      );
      expect(text).toContain(
        'zinniahill_longest_gap_seconds_sum{rank="1"} 0.09',
      );
    });

    it("show by how much the count of requests was out of date", async () => {
      const metrics = new RelayMetrics();
      metrics.recordResponse(STREAM, { ...ANSWER, longestGapMs: 90 }, 20, 520);
      expect(await metrics.render()).toContain(
        'zinniahill_load_error_requests_sum{kind="stream"} 24',
      );
    });

    it("without events record no gap, which would hide the gaps of streams", async () => {
      const metrics = new RelayMetrics();
      metrics.recordResponse(CALL, { ...ANSWER, longestGapMs: 0 }, 20, 520);
      expect(await metrics.render()).not.toContain("longest_gap_seconds_sum");
    });
  });

  describe("orders", () => {
    it("are counted by kind and outcome", async () => {
      const metrics = new RelayMetrics();
      metrics.recordOrder("join", "accepted");
      metrics.recordOrder("join", "no-reply");
      expect(await metrics.render()).toContain(
        'zinniahill_orders_total{order="join",outcome="no-reply"} 1',
      );
    });
  });
});
