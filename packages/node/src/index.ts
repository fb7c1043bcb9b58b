/**
 * The entry node.
 *
 * @module
 */
export { createCoreNode, createNode, type Replacements } from "./node.ts";
export { type PeerConnection, type PeerTransport } from "@zinniahill/clients";
export { stopAsPlanned } from "./planned-stop.ts";
export { type NodeKernel, type Services } from "./services.ts";
export { type RoutedRequest } from "./serving/http.ts";
export { Place } from "./serving/place.ts";
export {
  type Attempt,
  Progress,
  runAttempt,
  type TokenSink,
} from "./serving/stream-attempt.ts";
