/**
 * `zinniahill dump`: prints the state of a node.
 *
 * @module
 */
import { Command } from "clipanion";
import * as z from "zod";
import { ExitCode } from "../exit-code.ts";
import {
  AdministrationCommand,
  reportCallError,
} from "./administration-command.ts";

const INDENT = 2;

/** Prints the state dump of a node as JSON. */
export class DumpCommand extends AdministrationCommand {
  static override paths = [["dump"]];
  static override usage = Command.Usage({
    description: "Print the state of a node's services as JSON.",
    examples: [["Print the state", "$0 dump --admin 127.0.0.1:7101"]],
  });

  override async execute(): Promise<ExitCode> {
    const result = await this.call("GET", "/admin/dump", z.unknown());
    return result.match({
      Ok: (state) => {
        this.print(JSON.stringify(state, null, INDENT));
        return ExitCode.success;
      },
      Err: (error) => reportCallError(this, error),
    });
  }
}
