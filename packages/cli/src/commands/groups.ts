/**
 * `zinniahill groups`: lists the groups and why some are not served.
 *
 * @module
 */
import { GroupState } from "@zinniahill/schema";
import { Command } from "clipanion";
import * as z from "zod";
import { ExitCode } from "../exit-code.ts";
import {
  AdministrationCommand,
  reportCallError,
} from "./administration-command.ts";

const GroupList = z.object({
  groups: z.array(GroupState.extend({ obstacle: z.string().nullable() })),
});

/** Lists the groups as seen by one node. */
export class GroupsCommand extends AdministrationCommand {
  static override paths = [["groups"]];
  static override usage = Command.Usage({
    description:
      "List the groups, with the reason why one is not served by this node.",
    examples: [["List the groups", "$0 groups --admin 127.0.0.1:7101"]],
  });

  override async execute(): Promise<ExitCode> {
    const result = await this.call("GET", "/admin/groups", GroupList);
    return result.match({
      Ok: ({ groups }) => {
        groups.forEach((group) => this.#printGroup(group));
        return ExitCode.success;
      },
      Err: (error) => reportCallError(this, error),
    });
  }

  #printGroup(group: z.infer<typeof GroupList>["groups"][number]): void {
    const served = group.obstacle === null
      ? "served=true"
      : `served=false reason=${JSON.stringify(group.obstacle)}`;
    this.print(
      `group=${group.group} model=${group.model} version=${group.version} ` +
        `phase=${group.phase} data_centre=${group.dataCentre} ` +
        `fabric_domain=${group.fabricDomain} hosts=${group.hosts} ${served}`,
    );
  }
}
