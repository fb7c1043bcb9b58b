/**
 * The operators' command.
 *
 * @module
 */
export { createCli } from "./commands.ts";
export { ExitCode } from "./exit-code.ts";
