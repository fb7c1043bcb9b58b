/**
 * `zinniahill drain`: takes a host out of service or shuts down a node.
 *
 * @module
 */
import { Command, Option } from "clipanion";
import * as z from "zod";
import { ExitCode } from "../exit-code.ts";
import {
  AdministrationCommand,
  reportCallError,
} from "./administration-command.ts";

/** Takes a host out of service or returns it to service. */
export class DrainHostCommand extends AdministrationCommand {
  static override paths = [["drain", "host"]];
  static override usage = Command.Usage({
    description: "Take a host out of service, or return it with --undo.",
    details: "If enough hosts are free, each group on the host is replaced " +
      "first. Requests in flight finish before the host is unloaded.",
    examples: [
      [
        "Drain a host",
        "$0 drain host host-03 --admin 127.0.0.1:7101 --author ops",
      ],
      [
        "Return it to service",
        "$0 drain host host-03 --undo --admin 127.0.0.1:7101 --author ops",
      ],
    ],
  });

  host = Option.String();
  undo = Option.Boolean("--undo", false, {
    description: "Return the host to service",
  });
  author = Option.String("--author", {
    required: true,
    description: "Name of the operator",
  });

  override async execute(): Promise<ExitCode> {
    const path = `/admin/hosts/${encodeURIComponent(this.host)}/drain`;
    const drained = !this.undo;
    const result = await this.call("POST", path, z.unknown(), {
      drained,
      author: this.author,
    });
    return result.match({
      Ok: () => {
        const outcome = drained ? "is to be drained" : "may be used again";
        this.print(`host ${this.host} ${outcome}`);
        return ExitCode.success;
      },
      Err: (error) => reportCallError(this, error),
    });
  }
}

/** Starts the graceful shutdown of a node. */
export class DrainNodeCommand extends AdministrationCommand {
  static override paths = [["drain", "node"]];
  static override usage = Command.Usage({
    description: "Start the graceful shutdown of the node at --admin.",
    details:
      "The node keeps serving for as long as callers may cache a lookup " +
      "result, finishes the requests in flight, and exits with code 0.",
    examples: [["Shut down a node", "$0 drain node --admin 127.0.0.1:7101"]],
  });

  override async execute(): Promise<ExitCode> {
    const result = await this.call("POST", "/admin/drain", z.unknown());
    return result.match({
      Ok: () => {
        this.print(`the node at ${this.admin} is stopping`);
        return ExitCode.success;
      },
      Err: (error) => reportCallError(this, error),
    });
  }
}
