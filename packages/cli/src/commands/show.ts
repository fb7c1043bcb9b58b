/**
 * `zinniahill show`: prints the rules in force.
 *
 * @module
 */
import { ConfigurationState } from "@zinniahill/schema";
import { Command } from "clipanion";
import { ExitCode } from "../exit-code.ts";
import {
  AdministrationCommand,
  reportCallError,
} from "./administration-command.ts";

/** Prints the rules in force, with their comments. */
export class ShowCommand extends AdministrationCommand {
  static override paths = [["show"]];
  static override usage = Command.Usage({
    description: "Print the rules in force on a node, with their comments.",
    details: "The first line is a comment with the version, so that the " +
      "output can be edited and published from that version.",
    examples: [["Print the rules", "$0 show --admin 127.0.0.1:7101"]],
  });

  override async execute(): Promise<ExitCode> {
    const result = await this.call(
      "GET",
      "/admin/configuration",
      ConfigurationState,
    );
    return result.match({
      Ok: ({ version, author, text }) => {
        this.print(`# version ${version}, published by ${author || "nobody"}`);
        this.context.stdout.write(text);
        return ExitCode.success;
      },
      Err: (error) => reportCallError(this, error),
    });
  }
}
