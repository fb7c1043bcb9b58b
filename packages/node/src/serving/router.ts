/**
 * Chooses the group of each request.
 *
 * @module
 */
import type { Service } from "@zinniahill/kernel";
import { Routing } from "@zinniahill/policy";
import type { GroupState } from "@zinniahill/schema";
import type { Evidence } from "../groups/evidence.ts";
import type { NodeKernel } from "../services.ts";

/** Knows the work that this node has given to each group. */
export class Router implements Service {
  #evidence: Evidence;
  #dataCentre: string;
  #routing: Routing;

  constructor(kernel: NodeKernel) {
    this.#evidence = kernel.find("evidence");
    this.#dataCentre = kernel.find("settings").node["data-centre"];
    this.#routing = new Routing(
      kernel.find("clock"),
      kernel.find("random"),
    );
  }

  /** Chooses a servable group of a model. */
  choose(
    model: string,
    excluded: ReadonlySet<string>,
  ): GroupState | undefined {
    const groups = this.#evidence.listServable(model);
    const candidates = groups.map((group) => ({
      group: group.group,
      dataCentre: group.dataCentre,
      reportedLoad: this.#readLoad(group),
      reportedAt: 0,
    }));
    const request = { dataCentre: this.#dataCentre, excluded };
    const chosen = this.#routing.choose(request, candidates);
    return groups.find(({ group }) => group === chosen?.group);
  }

  /** Counts a request that begins on a group. */
  begin(group: string): void {
    this.#routing.begin(group);
  }

  /** Counts a request that ends on a group. */
  end(group: string): void {
    this.#routing.end(group);
  }

  dump(): unknown {
    return {};
  }

  #readLoad(group: GroupState): number {
    const status = this.#evidence.find(group.hosts[0]!).status;
    return status === undefined ? 0 : status.running + status.waiting;
  }
}
