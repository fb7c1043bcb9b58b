/**
 * `zinniahill check`: checks a rules file without publishing it.
 *
 * @module
 */
import {
  checkConfiguration,
  type ConfigurationReport,
  type ConfigurationSource,
  ConfigurationState,
} from "@zinniahill/schema";
import { Command, Option, UsageError } from "clipanion";
import { Result } from "true-myth";
import { ExitCode } from "../exit-code.ts";
import type { CallError } from "../node-call.ts";
import { formatReport } from "../report-lines.ts";
import {
  callAdministration,
  readInputFile,
  reportCallError,
} from "./administration-command.ts";

/** Checks a rules file, and compares it with the version in force. */
export class CheckCommand extends Command {
  static override paths = [["check"]];
  static override usage = Command.Usage({
    description: "Check a rules file without publishing it.",
    details: "Prints errors, rules without effect and contradictions with " +
      "their line numbers and, with `--from` or `--admin`, the rules that " +
      "differ from the version in force. The exit code is 1 with errors, 6 " +
      "with other findings, and 0 without any; differences do not change it.",
    examples: [
      ["Check a file", "$0 check rules.txt"],
      [
        "Compare a file with one that show has written",
        "$0 check rules.txt --from shown.txt",
      ],
      [
        "Compare a file with the version in force on a node, as JSON",
        "$0 check rules.txt --admin 127.0.0.1:7101 --json",
      ],
    ],
  });

  file = Option.String();
  from = Option.String("--from", {
    description: "File to compare with, as show writes it",
  });
  admin = Option.String("--admin", {
    description: "Administration address of a node to compare with, such as " +
      "127.0.0.1:7101",
  });
  json = Option.Boolean("--json", false, {
    description: "Print one JSON object",
  });

  override async execute(): Promise<ExitCode> {
    const source = { name: this.file, text: readInputFile(this.file) };
    const base = await this.#readBase();
    return base.match({
      Ok: (found) => this.#report(checkConfiguration(source, found)),
      Err: (error) => reportCallError(this, error),
    });
  }

  async #readBase(): Promise<
    Result<ConfigurationSource | undefined, CallError>
  > {
    if (this.from !== undefined && this.admin !== undefined) {
      throw new UsageError("--from and --admin exclude each other");
    }
    if (this.admin === undefined) {
      return Result.ok(
        this.from === undefined
          ? undefined
          : { name: this.from, text: readInputFile(this.from) },
      );
    }
    const state = await callAdministration(this, {
      address: this.admin,
      method: "GET",
      path: "/admin/configuration",
      schema: ConfigurationState,
    });
    return state.map(({ version, text }) => ({
      name: `version ${version}`,
      text,
    }));
  }

  #report(report: ConfigurationReport): ExitCode {
    const { output, errors } = this.json
      ? { output: [JSON.stringify(report)], errors: [] }
      : formatReport(report);
    for (const line of output) {
      this.context.stdout.write(`${line}\n`);
    }
    for (const line of errors) {
      this.context.stderr.write(`${line}\n`);
    }
    return this.#chooseExitCode(report);
  }

  #chooseExitCode({ findings, base }: ConfigurationReport): ExitCode {
    if (findings.some(({ kind }) => kind === "error")) {
      return ExitCode.usage;
    }
    if (base !== null && base.errors.length > 0) {
      return this.admin === undefined ? ExitCode.usage : ExitCode.refused;
    }
    return findings.length > 0 ? ExitCode.warnings : ExitCode.success;
  }
}
