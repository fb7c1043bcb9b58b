/**
 * `zinniahill publish`: publishes a rules file based on a given version.
 *
 * @module
 */
import { parseRules } from "@zinniahill/schema";
import { Command, Option } from "clipanion";
import * as z from "zod";
import type { CallError } from "../node-call.ts";
import { ExitCode } from "../exit-code.ts";
import {
  AdministrationCommand,
  parseCount,
  readInputFile,
  reportCallError,
} from "./administration-command.ts";

const PublishResponse = z.object({ version: z.number() });
const ConflictResponse = z.object({ version: z.number(), text: z.string() });
const CONFLICT_STATUS = 409;
/** First line that `show` prints; removed, as publishing makes it outdated. */
const VERSION_COMMENT = /^# version \d+, published by .*\r?\n/;

/** Publishes a rules file. */
export class PublishCommand extends AdministrationCommand {
  static override paths = [["publish"]];
  static override usage = Command.Usage({
    description: "Publish a rules file that is based on a given version.",
    details:
      "If another version was published first, nothing is published; the " +
      "version and text in force are printed, and the exit code is 3.",
    examples: [
      [
        "Publish the first rules",
        "$0 publish rules.txt --admin 127.0.0.1:7101 --from 0 --author ops",
      ],
      [
        "Publish an edit of version 12",
        "$0 publish rules.txt --admin 127.0.0.1:7101 --from 12 --author ops",
      ],
    ],
  });

  file = Option.String();
  from = Option.String("--from", {
    required: true,
    description: "Version that the file is based on; 0 if there is none",
  });
  author = Option.String("--author", {
    required: true,
    description: "Name of the operator",
  });

  override async execute(): Promise<ExitCode> {
    const baseVersion = parseCount("--from", this.from);
    const text = readInputFile(this.file).replace(VERSION_COMMENT, "");
    const faults = parseRules(text).match({ Ok: () => [], Err: (all) => all });
    for (const { line, message } of faults) {
      this.context.stderr.write(`${this.file}:${line}: ${message}\n`);
    }
    if (faults.length > 0) {
      return ExitCode.usage;
    }
    const result = await this.call(
      "POST",
      "/admin/configuration",
      PublishResponse,
      {
        basis: baseVersion,
        text,
        author: this.author,
      },
    );
    return result.match({
      Ok: ({ version }) => {
        this.print(`version ${version} is accepted`);
        return ExitCode.success;
      },
      Err: (error) => this.#reportConflict(error),
    });
  }

  #reportConflict(error: CallError): ExitCode {
    const conflict = ConflictResponse.safeParse(
      error.kind === "refused" && error.status === CONFLICT_STATUS
        ? error.body
        : undefined,
    );
    if (!conflict.success) {
      return reportCallError(this, error);
    }
    const { version, text } = conflict.data;
    this.context.stderr.write(
      `zinniahill: conflict: version ${version} is in force, not ` +
        `${this.from}; its text is:\n${text}`,
    );
    return ExitCode.conflict;
  }
}
