/**
 * Registers every command of the `zinniahill` command line.
 *
 * @module
 */
import { Builtins, Cli } from "clipanion";
import { CheckCommand } from "./commands/check.ts";
import { DrainHostCommand, DrainNodeCommand } from "./commands/drain.ts";
import { DumpCommand } from "./commands/dump.ts";
import { ExplainCommand } from "./commands/explain.ts";
import { GroupsCommand } from "./commands/groups.ts";
import { HashKeyCommand } from "./commands/hash-key.ts";
import { LookupCommand } from "./commands/lookup.ts";
import { PublishCommand } from "./commands/publish.ts";
import { SendCommand } from "./commands/send.ts";
import { ShowCommand } from "./commands/show.ts";
import { StatusCommand } from "./commands/status.ts";

const COMMANDS = [
  Builtins.HelpCommand,
  Builtins.VersionCommand,
  CheckCommand,
  PublishCommand,
  ShowCommand,
  StatusCommand,
  GroupsCommand,
  DrainHostCommand,
  DrainNodeCommand,
  DumpCommand,
  LookupCommand,
  SendCommand,
  HashKeyCommand,
  ExplainCommand,
];

/** Creates the command line with all of its commands. */
export function createCommandLine(): Cli {
  const cli = new Cli({
    binaryName: "zinniahill",
    binaryLabel: "zinniahill",
    binaryVersion: "0.1.0",
  });
  for (const command of COMMANDS) {
    cli.register(command);
  }
  return cli;
}
