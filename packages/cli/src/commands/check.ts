/**
 * `zinniahill check`: checks a rules file without publishing it.
 *
 * @module
 */
import { parseRules } from "@zinniahill/schema";
import { Command, Option } from "clipanion";
import { ExitCode } from "../exit-code.ts";
import { readInputFile } from "./administration-command.ts";

/** Checks a rules file locally, without a node. */
export class CheckCommand extends Command {
  static override paths = [["check"]];
  static override usage = Command.Usage({
    description: "Check a rules file without publishing it.",
    details: "Prints every error with its line number.",
    examples: [["Check a file", "$0 check rules.txt"]],
  });

  file = Option.String();

  override execute(): Promise<ExitCode> {
    const exitCode = parseRules(readInputFile(this.file)).match({
      Ok: ({ lines }) => {
        this.context.stdout.write(`${this.file}: ${lines.length} rules\n`);
        return ExitCode.success;
      },
      Err: (faults) => {
        for (const { line, message } of faults) {
          this.context.stderr.write(`${this.file}:${line}: ${message}\n`);
        }
        return ExitCode.usage;
      },
    });
    return Promise.resolve(exitCode);
  }
}
