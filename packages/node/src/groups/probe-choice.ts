/**
 * Which groups a node probes, and how.
 *
 * @module
 */
import type { Subset } from "@zinniahill/policy";
import type { GroupState } from "@zinniahill/schema";
import type { NodeKernel } from "../services.ts";
import type { ControlState } from "../state/control-state.ts";
import type { Leases } from "./leases.ts";

/** Chooses the groups that concern this node. */
export class ProbeChoice {
  #state: ControlState;
  #leases: Leases;
  #size: number;
  #isMissing: (group: GroupState) => boolean;
  #subset: Subset | undefined;

  constructor(kernel: NodeKernel, isMissing: (group: GroupState) => boolean) {
    this.#state = kernel.find("state");
    this.#leases = kernel.find("leases");
    this.#size = kernel.find("settings").limits["routing-subset"];
    this.#isMissing = isMissing;
  }

  /** Sets the subset; before that, only groups of held scopes are chosen. */
  useSubset(subset: Subset): void {
    this.#subset = subset;
  }

  /** Groups of the scopes held, and a subset of the groups of each model. */
  list(): Map<string, GroupState> {
    const groups = [...this.#state.control.groups.values()];
    const ready = groups.filter(({ phase }) => phase === "ready");
    const models = [...new Set(ready.map(({ model }) => model))];
    const chosen = [
      ...groups.filter((group) => this.#isHeld(group)),
      ...models.flatMap((model) => this.#chooseOfModel(model, ready)),
    ];
    return new Map(chosen.map((group) => [group.group, group]));
  }

  /**
   * Whether the lead's report on its members is not enough: the holder needs
   * the role of each host, and engines that ignore the fencing number may
   * change theirs at any time.
   */
  needsDirectProbe(group: GroupState): boolean {
    const unfenced = this.#state.rules?.unfencedHosts;
    return this.#isHeld(group) ||
      group.hosts.some((host) => unfenced?.has(host) ?? false);
  }

  #chooseOfModel(model: string, ready: readonly GroupState[]): GroupState[] {
    const groups = ready.filter((group) => group.model === model);
    return this.#subset?.choose(groups, this.#size, this.#isMissing) ?? [];
  }

  #isHeld({ scope }: GroupState): boolean {
    return this.#leases.findHeld(scope) !== undefined;
  }
}
