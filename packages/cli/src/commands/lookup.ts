/**
 * `zinniahill lookup`: prints the address that callers should use.
 *
 * @module
 */
import { LookupReply } from "@zinniahill/schema";
import { Command, Option } from "clipanion";
import { callNode } from "../node-call.ts";
import { ExitCode } from "../exit-code.ts";
import { reportCallError } from "./administration-command.ts";

/** Asks a node which address callers should use. */
export class LookupCommand extends Command {
  static override paths = [["lookup"]];
  static override usage = Command.Usage({
    description: "Ask a node which address callers should use.",
    examples: [
      ["Look up an address", "$0 lookup --public 127.0.0.1:7001"],
      [
        "Look up an address for a data centre",
        "$0 lookup --public 127.0.0.1:7001 --data-centre dc-1",
      ],
    ],
  });

  public = Option.String("--public", {
    required: true,
    description: "Public address of any node",
  });
  dataCentre = Option.String("--data-centre", {
    description: "The caller's data centre",
  });

  override async execute(): Promise<ExitCode> {
    const query = this.dataCentre === undefined
      ? ""
      : `?data_centre=${encodeURIComponent(this.dataCentre)}`;
    const result = await callNode({
      address: this.public,
      token: "",
      method: "GET",
      path: `/v1/lookup${query}`,
      schema: LookupReply,
    });
    return result.match({
      Ok: ({ address, dataCentre, validMs }) => {
        this.context.stdout.write(
          `address=${address} data_centre=${dataCentre} valid_ms=${validMs}\n`,
        );
        return ExitCode.success;
      },
      Err: (error) => reportCallError(this, error),
    });
  }
}
