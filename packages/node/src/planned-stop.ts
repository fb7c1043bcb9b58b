/**
 * The planned stop of a node.
 *
 * @module
 */
import type { NodeKernel } from "./services.ts";

const POLL_INTERVAL_MS = 50;

/**
 * Waits for the drain to begin, serves on for as long as callers may keep a
 * lookup answer, lets requests in flight end, and stops the services.
 */
export async function stopAsPlanned(node: NodeKernel): Promise<void> {
  const clock = node.find("clock");
  const lifecycle = node.find("lifecycle");
  const front = node.find("front");
  const { timing } = node.find("settings");
  await lifecycle.changed.until(
    () => lifecycle.isStopping,
    new AbortController().signal,
  );
  const bound = clock.now() + timing["stop-bound"];
  node.find("logger").info("node_draining");
  await clock.sleep(timing["lookup-validity"]);
  while (front.inFlight > 0 && clock.now() < bound) {
    await clock.sleep(POLL_INTERVAL_MS);
  }
  node.find("logger").info("node_stopped", { in_flight: front.inFlight });
  await node.stop();
}
