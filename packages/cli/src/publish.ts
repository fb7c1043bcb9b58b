/**
 * `zinniahill publish`: publishes a rules file from a named version.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { Command, Option } from "clipanion";
import { z } from "zod";
import { callAdministration, readToken } from "./connection.ts";
import { ExitCode } from "./exit-code.ts";

const Accepted = z.object({ version: z.number() });
const Conflict = z.object({ version: z.number(), text: z.string() });
const CONFLICT_STATUS = 409;
const OK_STATUS = 200;

/** Publishes a rules file. */
export class PublishCommand extends Command {
  static override paths = [["publish"]];
  static override usage = Command.Usage({
    description: "Publish a rules file, made from a named version.",
    examples: [[
      "Publish the first rules",
      "$0 publish rules.txt --admin 127.0.0.1:7101 --from 0 --author ops",
    ]],
  });

  file = Option.String();
  admin = Option.String("--admin", {
    required: true,
    description: "Administration address of a node",
  });
  from = Option.String("--from", {
    required: true,
    description: "Version that the file was made from; 0 when there is none",
  });
  author = Option.String("--author", {
    required: true,
    description: "Who publishes",
  });

  override async execute(): Promise<number> {
    const reply = await callAdministration(
      { address: this.admin, token: readToken() },
      "POST",
      "/admin/configuration",
      {
        basis: Number(this.from),
        text: readFileSync(this.file, "utf8"),
        author: this.author,
      },
    );
    if (reply.isErr) {
      this.context.stderr.write(`${reply.error}\n`);
      return ExitCode.unreachable;
    }
    const { status, body } = reply.value;
    if (status === CONFLICT_STATUS) {
      const { version, text } = Conflict.parse(body);
      this.context.stderr.write(
        `conflict: version ${version} is in force:\n${text}`,
      );
      return ExitCode.conflict;
    }
    if (status !== OK_STATUS) {
      this.context.stderr.write(`${JSON.stringify(body)}\n`);
      return ExitCode.refused;
    }
    const { version } = Accepted.parse(body);
    this.context.stdout.write(`version ${version} is accepted\n`);
    return ExitCode.success;
  }
}
