/**
 * `zinniahill explain`: explains the course of a request from logs.
 *
 * @module
 */
import { Command, Option, UsageError } from "clipanion";
import { ExitCode } from "../exit-code.ts";
import { explainRequest } from "../explanation.ts";
import { type LogLine, parseLogLine } from "../log-line.ts";
import { readInputFile } from "./administration-command.ts";

/** Explains a request from log files, without a node. */
export class ExplainCommand extends Command {
  static override paths = [["explain"]];
  static override usage = Command.Usage({
    description: "Explain what happened to a request from the logs of nodes.",
    details:
      "Prints what decided the request, and the state changes that its nodes " +
      "logged around that time. Malformed lines are reported and skipped.",
    examples: [["Explain a request", "$0 explain 6401b707f0040462 node-*.log"]],
  });

  id = Option.String();
  files = Option.Rest({ required: 1 });

  override execute(): Promise<ExitCode> {
    const lines = this.files.flatMap((file) => this.#readLines(file));
    const { findings, context } = explainRequest(this.id, lines);
    if (findings.length === 0) {
      throw new UsageError(`no log line mentions request ${this.id}`);
    }
    const { stdout } = this.context;
    stdout.write(`request ${this.id}\n`);
    findings.forEach((finding) => stdout.write(`  ${finding}\n`));
    stdout.write("what its nodes learned around that time\n");
    context.forEach((line) => stdout.write(`  ${formatContext(line)}\n`));
    return Promise.resolve(ExitCode.success);
  }

  #readLines(file: string): LogLine[] {
    const lines: LogLine[] = [];
    readInputFile(file).split("\n").forEach((text, index) => {
      if (text.trim() === "") {
        return;
      }
      parseLogLine(text).match({
        Ok: (line) => {
          lines.push(line);
        },
        Err: (message) => {
          this.context.stderr.write(`${file}:${index + 1}: ${message}\n`);
        },
      });
    });
    return lines;
  }
}

function formatContext({ time, node, event, fields }: LogLine): string {
  const shown = [...fields]
    .filter(([name]) => !["time", "level", "event", "node"].includes(name))
    .map(([name, value]) => `${name}=${value}`);
  return `${time} ${node} ${event} ${shown.join(" ")}`;
}
