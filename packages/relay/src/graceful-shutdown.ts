/**
 * The planned stop of a relay node.
 *
 * @module
 */
import type { RelayKernel } from "./services.ts";

/** Some callers keep a lookup answer this many times as long as they may. */
const LOOKUP_VALIDITIES = 3;
/** Time for the last callers to have gone elsewhere. */
const LAST_CALLERS_MS = 200;
/** The process ends this long before it would be killed. */
const KILL_MARGIN_MS = 400;
const POLL_MS = 20;

/**
 * Serves on while callers may keep an answer that names the node, then refuses
 * what still comes and lets requests in flight end.
 */
export async function shutDownGracefully(node: RelayKernel): Promise<void> {
  const clock = node.find("clock");
  const logger = node.find("logger");
  const lifecycle = node.find("lifecycle");
  const front = node.find("front");
  const { limits } = node.find("settings");
  const bound = clock.now() + limits.gracePeriodMs - KILL_MARGIN_MS;
  lifecycle.drain();
  logger.info("node_draining", { in_flight: front.inFlight });
  await clock.sleep(
    Math.min(
      limits.lookupValidityMs * LOOKUP_VALIDITIES + LAST_CALLERS_MS,
      limits.gracePeriodMs / 2,
    ),
  );
  lifecycle.close();
  front.stopListening();
  while (front.inFlight > 0 && clock.now() < bound) {
    await clock.sleep(POLL_MS);
  }
  logger.info("node_stopped", { in_flight: front.inFlight });
  await node.stop();
}
