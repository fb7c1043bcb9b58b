/**
 * The planned stop of a node.
 *
 * @module
 */
import type { Settings } from "@zinniahill/schema";
import type { NodeKernel } from "./services.ts";
import { MISSED_HEARTBEATS } from "./serving/lookup.ts";

const POLL_INTERVAL_MS = 50;

/**
 * How long a caller may still come because of an answer that named the node. A
 * peer that does not hear of the stop names it until heartbeats are missed.
 */
export function computeServeOnMs(timing: Settings["timing"]): number {
  return timing["lookup-validity"] +
    MISSED_HEARTBEATS * timing["heartbeat-interval"];
}

/**
 * Waits for the drain to begin, serves on for as long as callers may keep a
 * lookup answer, lets requests in flight end, and stops the services. The
 * bound covers the whole stop.
 */
export async function stopAsPlanned(
  node: NodeKernel,
  countInFlight: () => number = () => node.find("publicApi").inFlight,
): Promise<void> {
  const clock = node.find("clock");
  const logger = node.find("logger");
  const lifecycle = node.find("lifecycle");
  const { timing } = node.find("settings");
  await lifecycle.changed.until(
    () => lifecycle.isStopping,
    new AbortController().signal,
  );
  const bound = clock.now() + timing["stop-bound"];
  logger.info("node_draining", { in_flight: countInFlight() });
  await clock.sleep(Math.min(computeServeOnMs(timing), timing["stop-bound"]));
  lifecycle.close();
  while (countInFlight() > 0 && clock.now() < bound) {
    await clock.sleep(POLL_INTERVAL_MS);
  }
  logger.info("node_stopped", { in_flight: countInFlight() });
  await node.stop();
}
