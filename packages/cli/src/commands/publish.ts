/**
 * `zinniahill publish`: publishes a rules file from a named version.
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

const Accepted = z.object({ version: z.number() });
const Conflict = z.object({ version: z.number(), text: z.string() });
const CONFLICT_STATUS = 409;
/** The line that `show` puts first; it would be out of date once published. */
const SHOWN_HEADER = /^# version \d+, published by .*\r?\n/;

/** Publishes a rules file. */
export class PublishCommand extends AdministrationCommand {
  static override paths = [["publish"]];
  static override usage = Command.Usage({
    description: "Publish a rules file, made from a named version.",
    details: "When somebody else published first, nothing is published; the " +
      "version and the text in force are printed, and the exit code is 3.",
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
    description: "Version that the file was made from; 0 when there is none",
  });
  author = Option.String("--author", {
    required: true,
    description: "Who publishes",
  });

  override async execute(): Promise<ExitCode> {
    const basis = parseCount("--from", this.from);
    const text = readInputFile(this.file).replace(SHOWN_HEADER, "");
    const faults = parseRules(text).match({ Ok: () => [], Err: (all) => all });
    for (const { line, message } of faults) {
      this.context.stderr.write(`${this.file}:${line}: ${message}\n`);
    }
    if (faults.length > 0) {
      return ExitCode.usage;
    }
    const reply = await this.call("POST", "/admin/configuration", Accepted, {
      basis,
      text,
      author: this.author,
    });
    return reply.match({
      Ok: ({ version }) => {
        this.print(`version ${version} is accepted`);
        return ExitCode.success;
      },
      Err: (fault) => this.#reportConflict(fault),
    });
  }

  #reportConflict(fault: CallError): ExitCode {
    const conflict = Conflict.safeParse(
      fault.kind === "refused" && fault.status === CONFLICT_STATUS
        ? fault.body
        : undefined,
    );
    if (!conflict.success) {
      return reportCallError(this, fault);
    }
    const { version, text } = conflict.data;
    this.context.stderr.write(
      `zinniahill: conflict: version ${version} is in force, not ` +
        `${this.from}; its text is:\n${text}`,
    );
    return ExitCode.conflict;
  }
}
