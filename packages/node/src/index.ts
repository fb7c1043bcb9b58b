/**
 * The entry node.
 *
 * @module
 */
export { createNode, type Replacements } from "./node.ts";
export { stopAsPlanned } from "./planned-stop.ts";
export { type NodeKernel, type Services } from "./services.ts";
