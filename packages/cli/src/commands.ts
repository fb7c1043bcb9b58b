/**
 * All commands of `zinniahill`.
 *
 * @module
 */
import { Builtins, Cli } from "clipanion";
import { PublishCommand } from "./publish.ts";

/** Creates the command line. */
export function createCli(): Cli {
  const cli = new Cli({
    binaryName: "zinniahill",
    binaryLabel: "zinniahill",
    binaryVersion: "0.1.0",
  });
  for (const command of [Builtins.HelpCommand, PublishCommand]) {
    cli.register(command);
  }
  return cli;
}
