/**
 * Entry point of the `zinniahill` binary.
 *
 * @module
 */
import process from "node:process";
import { createCommandLine } from "./command-line.ts";

await createCommandLine().runExit(process.argv.slice(2));
