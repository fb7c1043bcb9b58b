/**
 * `zinniahill status`: the version in force on every node.
 *
 * @module
 */
import { setTimeout } from "node:timers/promises";
import { Command, Option } from "clipanion";
import type { Result } from "true-myth";
import * as z from "zod";
import type { CallError } from "../node-call.ts";
import { ExitCode } from "../exit-code.ts";
import {
  AdministrationCommand,
  parseCount,
  reportCallError,
} from "./administration-command.ts";

const NodeStatus = z.object({
  node: z.string(),
  version: z.number(),
  logReachable: z.boolean(),
  stopping: z.boolean(),
});
type NodeStatus = z.infer<typeof NodeStatus>;
const Status = NodeStatus.extend({ peers: z.array(NodeStatus) });

const POLL_INTERVAL_MS = 200;
const DEFAULT_WAIT_SECONDS = "7";
const MS_PER_SECOND = 1000;

/** Shows, or waits for, the version in force on every node. */
export class StatusCommand extends AdministrationCommand {
  static override paths = [["status"]];
  static override usage = Command.Usage({
    description: "Show the version in force on a node and on its peers.",
    details:
      "With --wait, waits until the version or a later one is in force " +
      "on all of them; exit code 5 when the time is over.",
    examples: [
      ["Show the versions", "$0 status --admin 127.0.0.1:7101"],
      [
        "Wait until version 12 is in force",
        "$0 status --admin 127.0.0.1:7101 --wait 12 --nodes 4",
      ],
    ],
  });

  wait = Option.String("--wait", {
    description: "Version to wait for",
  });
  nodes = Option.String("--nodes", "1", {
    description: "Number of nodes that must be there when waiting",
  });
  timeout = Option.String("--timeout", DEFAULT_WAIT_SECONDS, {
    description: "Longest wait in seconds",
  });

  override async execute(): Promise<ExitCode> {
    const wanted = this.wait === undefined
      ? 0
      : parseCount("--wait", this.wait);
    const nodes = parseCount("--nodes", this.nodes);
    const limitMs = parseCount("--timeout", this.timeout) * MS_PER_SECOND;
    for (let waitedMs = 0;; waitedMs += POLL_INTERVAL_MS) {
      const reply = await this.#read();
      const isMet = this.wait === undefined ||
        reply.isOk && isInForce(reply.value, wanted, nodes);
      if (isMet || waitedMs >= limitMs) {
        return this.#report(reply, isMet);
      }
      await setTimeout(POLL_INTERVAL_MS);
    }
  }

  async #read(): Promise<Result<readonly NodeStatus[], CallError>> {
    const reply = await this.call("GET", "/admin/status", Status);
    return reply.map(({ peers, ...own }) => [own, ...peers]);
  }

  #report(
    reply: Result<readonly NodeStatus[], CallError>,
    isMet: boolean,
  ): ExitCode {
    if (reply.isErr) {
      return reportCallError(this, reply.error);
    }
    for (const { node, version, logReachable, stopping } of reply.value) {
      this.print(
        `node=${node} version=${version} log_reachable=${logReachable} ` +
          `stopping=${stopping}`,
      );
    }
    return isMet ? ExitCode.success : ExitCode.timeout;
  }
}

function isInForce(
  all: readonly NodeStatus[],
  version: number,
  nodes: number,
): boolean {
  return all.length >= nodes && all.every((node) => node.version >= version);
}
