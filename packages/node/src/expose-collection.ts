/**
 * Full collections on request.
 *
 * @module
 */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/**
 * Provides `globalThis.gc`, with which `CallerMemory` frees large buffers. An
 * operator's run line need not hold `--expose-gc`.
 */
export function exposeCollection(): void {
  setFlagsFromString("--expose-gc");
  globalThis.gc ??= runInNewContext("gc") as typeof globalThis.gc;
}
