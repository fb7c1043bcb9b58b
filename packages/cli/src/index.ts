/**
 * The `zinniahill` command for operators.
 *
 * @module
 */
export { createCommandLine } from "./command-line.ts";
export { ExitCode } from "./exit-code.ts";
