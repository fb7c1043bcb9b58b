/**
 * `zinniahill hash-key`: prints the hash of an API key for use in rules.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { Command } from "clipanion";
import { ExitCode } from "../exit-code.ts";
import { API_KEY_VARIABLE } from "./send.ts";

/** Prints the hash of an API key. */
export class HashKeyCommand extends Command {
  static override paths = [["hash-key"]];
  static override usage = Command.Usage({
    description: "Print the hash of an API key for use in rules.",
    details: `The key is read from ${API_KEY_VARIABLE}, so that it does not ` +
      "appear in process listings.",
    examples: [["Print the hash", "$0 hash-key"]],
  });

  override execute(): Promise<ExitCode> {
    const key = this.context.env[API_KEY_VARIABLE] ?? "";
    if (key === "") {
      this.context.stderr.write(`zinniahill: ${API_KEY_VARIABLE} is not set\n`);
      return Promise.resolve(ExitCode.usage);
    }
    const hash = createHash("sha256").update(key).digest("hex");
    this.context.stdout.write(`sha256:${hash}\n`);
    return Promise.resolve(ExitCode.success);
  }
}
