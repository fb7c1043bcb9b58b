/**
 * `zinniahill status`: shows the rules version in force on every node.
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
const DEFAULT_TIMEOUT_SECONDS = "7";
const MS_PER_SECOND = 1000;

/** Shows the rules version in force on every node, or waits for one. */
export class StatusCommand extends AdministrationCommand {
  static override paths = [["status"]];
  static override usage = Command.Usage({
    description: "Show the rules version in force on a node and its peers.",
    details:
      "With --wait, waits until that version or a later one is in force " +
      "on all of them; exits with code 5 on timeout.",
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
    description: "Minimum number of nodes when waiting",
  });
  timeout = Option.String("--timeout", DEFAULT_TIMEOUT_SECONDS, {
    description: "Maximum wait in seconds",
  });

  override async execute(): Promise<ExitCode> {
    const minVersion = this.wait === undefined
      ? 0
      : parseCount("--wait", this.wait);
    const minNodes = parseCount("--nodes", this.nodes);
    const timeoutMs = parseCount("--timeout", this.timeout) * MS_PER_SECOND;
    for (let waitedMs = 0;; waitedMs += POLL_INTERVAL_MS) {
      const result = await this.#fetchStatuses();
      const isSatisfied = this.wait === undefined ||
        result.isOk && hasVersionInForce(result.value, minVersion, minNodes);
      if (isSatisfied || waitedMs >= timeoutMs) {
        return this.#report(result, isSatisfied);
      }
      await setTimeout(POLL_INTERVAL_MS);
    }
  }

  async #fetchStatuses(): Promise<Result<readonly NodeStatus[], CallError>> {
    const result = await this.call("GET", "/admin/status", Status);
    return result.map(({ peers, ...own }) => [own, ...peers]);
  }

  #report(
    result: Result<readonly NodeStatus[], CallError>,
    isSatisfied: boolean,
  ): ExitCode {
    if (result.isErr) {
      return reportCallError(this, result.error);
    }
    for (const { node, version, logReachable, stopping } of result.value) {
      this.print(
        `node=${node} version=${version} log_reachable=${logReachable} ` +
          `stopping=${stopping}`,
      );
    }
    return isSatisfied ? ExitCode.success : ExitCode.timeout;
  }
}

function hasVersionInForce(
  statuses: readonly NodeStatus[],
  minVersion: number,
  minNodes: number,
): boolean {
  return statuses.length >= minNodes &&
    statuses.every((node) => node.version >= minVersion);
}
