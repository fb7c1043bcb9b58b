/**
 * Counters and latency histograms in the Prometheus text format.
 *
 * @module
 */
import type { Service } from "@zinniahill/kernel";
import type { Refusal } from "@zinniahill/schema";
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { AppliedLimit } from "@zinniahill/clients";
import type { Route } from "./model/configuration.ts";
import type { Order, OrderReply } from "./model/order.ts";
import type { ConversionOutcome } from "./placement/conversions.ts";
import type { DeliveredResponse } from "./serving/request-handlers.ts";
import type { CutSource } from "./serving/unsent-answers.ts";

const MS_PER_SECOND = 1000;
const LATENCY_BUCKETS_S = [
  0.025,
  0.05,
  0.1,
  0.15,
  0.25,
  0.4,
  0.8,
  1.5,
  3,
  8,
];

const LOAD_ERROR_BUCKETS = [-32, -16, -8, -4, 0, 4, 8, 16, 32];

/** Metrics of the relay. */
export class RelayMetrics implements Service {
  #registry = new Registry();
  #answers = new Counter({
    name: "zinniahill_answers_total",
    help: "Answers by kind of request, rank and status",
    labelNames: ["kind", "rank", "status"],
    registers: [this.#registry],
  });
  #selections = new Counter({
    name: "zinniahill_selections_total",
    help: "Upstreams selected, by data centre of the node and of the upstream",
    labelNames: ["from", "to"],
    registers: [this.#registry],
  });
  #refusals = new Counter({
    name: "zinniahill_refusals_total",
    help: "Refusals by code and verdict",
    labelNames: ["code", "verdict"],
    registers: [this.#registry],
  });
  #firstByteTime = new Histogram({
    name: "zinniahill_first_byte_seconds",
    help: "Time from the request's head to the first byte of the answer",
    labelNames: ["kind", "rank"],
    buckets: LATENCY_BUCKETS_S,
    registers: [this.#registry],
  });
  #answerTime = new Histogram({
    name: "zinniahill_answer_seconds",
    help: "Time from the request's head to the last byte of the answer",
    labelNames: ["kind", "rank"],
    buckets: LATENCY_BUCKETS_S,
    registers: [this.#registry],
  });

  #longestGap = new Histogram({
    name: "zinniahill_longest_gap_seconds",
    help: "Longest time between two events of one stream",
    labelNames: ["rank"],
    buckets: LATENCY_BUCKETS_S,
    registers: [this.#registry],
  });
  #loadError = new Histogram({
    name: "zinniahill_load_error_requests",
    help:
      "Requests at the upstream by its own count, less those counted when it was chosen",
    labelNames: ["kind"],
    buckets: LOAD_ERROR_BUCKETS,
    registers: [this.#registry],
  });
  #cuts = new Counter({
    name: "zinniahill_answers_cut_total",
    help: "Whole answers whose connection was closed before they were sent",
    labelNames: ["by"],
    registers: [this.#registry],
  });
  #unfinished = new Counter({
    name: "zinniahill_answers_unfinished_total",
    help: "Answers that had begun and were broken off, by the refusal's code",
    labelNames: ["code"],
    registers: [this.#registry],
  });
  #limits = new Counter({
    name: "zinniahill_limits_applied_total",
    help: "Times that a limit on what callers take of the process was applied",
    labelNames: ["limit"],
    registers: [this.#registry],
  });
  #orders = new Counter({
    name: "zinniahill_orders_total",
    help: "Orders to engines by kind and outcome",
    labelNames: ["order", "outcome"],
    registers: [this.#registry],
  });

  #conversions = new Counter({
    name: "zinniahill_conversions_total",
    help: "Conversions of hosts from one model to another by outcome",
    labelNames: ["from", "to", "outcome"],
    registers: [this.#registry],
  });

  /** Counts a conversion that has ended. */
  recordConversion(from: string, to: string, outcome: ConversionOutcome): void {
    this.#conversions.inc({ from, to, outcome });
  }

  /** Counts an order to an engine. */
  recordOrder(order: Order["kind"], outcome: OrderReply | "no-reply"): void {
    this.#orders.inc({ order, outcome });
  }

  /** Records a delivered response and its latencies. */
  recordResponse(
    { kind, rank }: Route,
    { status, firstByteAt, longestGapMs, load, upstreamLoad }:
      DeliveredResponse,
    receivedAt: number,
    endedAt: number,
  ): void {
    const labels = { kind, rank: String(rank) };
    this.#answers.inc({ ...labels, status: String(status) });
    this.#firstByteTime.observe(
      labels,
      (firstByteAt - receivedAt) / MS_PER_SECOND,
    );
    this.#answerTime.observe(labels, (endedAt - receivedAt) / MS_PER_SECOND);
    if (upstreamLoad !== undefined) {
      this.#loadError.observe({ kind }, upstreamLoad - load);
    }
    if (kind === "stream") {
      this.#longestGap.observe(
        { rank: labels.rank },
        longestGapMs / MS_PER_SECOND,
      );
    }
  }

  /** Counts a selected upstream. */
  recordSelection(from: string, to: string): void {
    this.#selections.inc({ from, to });
  }

  /** Counts an answer whose connection was closed before it was sent. */
  recordCut(by: CutSource): void {
    this.#cuts.inc({ by });
  }

  /** Counts an answer that had begun when its request was refused. */
  recordUnfinished({ code }: Refusal): void {
    this.#unfinished.inc({ code });
  }

  /** Counts a limit that was applied to a caller. */
  recordLimit(limit: AppliedLimit): void {
    this.#limits.inc({ limit });
  }

  /** Counts a refusal. */
  recordRefusal({ code, verdict }: Refusal): void {
    this.#refusals.inc({ code, verdict });
  }

  /** Adds a gauge whose value is read at each scrape. */
  addGauge(name: string, help: string, read: () => number): void {
    new Gauge({
      name: `zinniahill_${name}`,
      help,
      registers: [this.#registry],
      collect() {
        this.set(read());
      },
    });
  }

  stop(): void {
    this.#registry.clear();
  }

  /** Renders all metrics in the Prometheus text format. */
  render(): Promise<string> {
    return this.#registry.metrics();
  }
}
