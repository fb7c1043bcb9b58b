/**
 * Graceful shutdown of a relay node.
 *
 * @module
 */
import type { RelayKernel } from "./services.ts";

/** Some callers cache a lookup result this many times longer than allowed. */
const LOOKUP_VALIDITY_FACTOR = 3;
/** Time for the last callers to move to other nodes. */
const CALLER_MOVE_MS = 200;
/** The process exits this long before it would be killed. */
const KILL_MARGIN_MS = 400;
const POLL_INTERVAL_MS = 20;

/**
 * Keeps serving while callers may use a cached lookup result, then refuses new
 * requests and waits for those in flight.
 */
export async function shutDownGracefully(node: RelayKernel): Promise<void> {
  const clock = node.find("clock");
  const logger = node.find("logger");
  const lifecycle = node.find("lifecycle");
  const front = node.find("front");
  const { limits } = node.find("settings");
  const deadlineAt = clock.now() + limits.gracePeriodMs - KILL_MARGIN_MS;
  lifecycle.drain();
  logger.info("node_draining", { in_flight: front.inFlight });
  await clock.sleep(
    Math.min(
      limits.lookupValidityMs * LOOKUP_VALIDITY_FACTOR + CALLER_MOVE_MS,
      limits.gracePeriodMs / 2,
    ),
  );
  lifecycle.close();
  front.stopListening();
  while (front.inFlight > 0 && clock.now() < deadlineAt) {
    await clock.sleep(POLL_INTERVAL_MS);
  }
  logger.info("node_stopped", { in_flight: front.inFlight });
  await node.stop();
}
