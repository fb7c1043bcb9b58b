/**
 * `zinniahill drain`: takes a host or a node out of service.
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

/** Takes a host out of service, or gives it back. */
export class DrainHostCommand extends AdministrationCommand {
  static override paths = [["drain", "host"]];
  static override usage = Command.Usage({
    description: "Take a host out of service, or give it back with --undo.",
    details: "A group of the host is replaced first where hosts are free; " +
      "requests in flight end before the host is unloaded.",
    examples: [
      [
        "Drain a host",
        "$0 drain host host-03 --admin 127.0.0.1:7101 --author ops",
      ],
      [
        "Give it back",
        "$0 drain host host-03 --undo --admin 127.0.0.1:7101 --author ops",
      ],
    ],
  });

  host = Option.String();
  undo = Option.Boolean("--undo", false, {
    description: "Give the host back",
  });
  author = Option.String("--author", {
    required: true,
    description: "Who asks for it",
  });

  override async execute(): Promise<ExitCode> {
    const path = `/admin/hosts/${encodeURIComponent(this.host)}/drain`;
    const drained = !this.undo;
    const reply = await this.call("POST", path, z.unknown(), {
      drained,
      author: this.author,
    });
    return reply.match({
      Ok: () => {
        const what = drained ? "is to be drained" : "may be used again";
        this.print(`host ${this.host} ${what}`);
        return ExitCode.success;
      },
      Err: (fault) => reportCallError(this, fault),
    });
  }
}

/** Begins the planned stop of a node. */
export class DrainNodeCommand extends AdministrationCommand {
  static override paths = [["drain", "node"]];
  static override usage = Command.Usage({
    description: "Begin the planned stop of the node at --admin.",
    details: "The node serves on for as long as callers may keep a lookup " +
      "answer, ends the requests in flight, and exits with code 0.",
    examples: [["Stop a node", "$0 drain node --admin 127.0.0.1:7101"]],
  });

  override async execute(): Promise<ExitCode> {
    const reply = await this.call("POST", "/admin/drain", z.unknown());
    return reply.match({
      Ok: () => {
        this.print(`the node at ${this.admin} is stopping`);
        return ExitCode.success;
      },
      Err: (fault) => reportCallError(this, fault),
    });
  }
}
