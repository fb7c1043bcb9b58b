/**
 * Graceful shutdown of a relay node.
 *
 * @module
 */
import type { RelayKernel } from "./services.ts";

/** Some callers cache a lookup result for this multiple of its validity. */
const LOOKUP_VALIDITY_FACTOR = 3;
/** The process exits this long before it would be killed. */
const KILL_MARGIN_MS = 400;
/** Time for the last answers to reach their callers. */
const FLUSH_MS = 150;

/**
 * Keeps serving while callers may use a cached lookup result, then refuses new
 * requests and waits until callers have the answers to those in flight. Those
 * that do not end in time get a final answer.
 */
export async function shutDownGracefully(node: RelayKernel): Promise<void> {
  const clock = node.find("clock");
  const logger = node.find("logger");
  const lifecycle = node.find("lifecycle");
  const publicServer = node.find("front");
  const { limits } = node.find("settings");
  const deadlineAt = clock.now() + limits.gracePeriodMs - KILL_MARGIN_MS;
  lifecycle.drain();
  const describeWork = () => ({
    in_flight: publicServer.inFlight,
    unsent: publicServer.unsent,
  });
  logger.info("node_draining", describeWork());
  await clock.sleep(
    Math.min(
      limits.lookupValidityMs * LOOKUP_VALIDITY_FACTOR,
      limits.gracePeriodMs / 2,
    ),
  );
  lifecycle.close();
  logger.info("node_closing", describeWork());
  await publicServer.finish(deadlineAt - clock.now());
  const expired = publicServer.inFlight;
  lifecycle.expire();
  await publicServer.finish(FLUSH_MS);
  logger.info("node_stopped", { expired, ...describeWork() });
  await node.stop();
}
