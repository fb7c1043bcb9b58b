/**
 * Chooses the group of each request.
 *
 * @module
 */
import type { Clock, Random, Service } from "@zinniahill/kernel";
import {
  createPromptHasher,
  LoadBalancer,
  type PromptHasher,
  type RouteCandidate,
} from "@zinniahill/policy";
import type { ChatMessage, GroupState } from "@zinniahill/schema";
import type { Evidence } from "../groups/evidence.ts";
import type { NodeKernel } from "../services.ts";

interface ModelRoutes {
  readonly routing: LoadBalancer;
  groups: ReadonlyMap<string, GroupState>;
  candidates: readonly RouteCandidate[];
  listedAt: number;
}

/**
 * The list of groups is kept for this long, so that a request does not look at
 * every host. The chosen group is always checked again.
 */
const LIST_VALIDITY_MS = 100;

/** Knows the work that this node has given to each group. */
export class Router implements Service {
  #clock: Clock;
  #random: Random;
  #evidence: Evidence;
  #dataCentre: string;
  #models = new Map<string, ModelRoutes>();
  #modelOf = new Map<string, string>();
  #hashPrompt: PromptHasher = () => [];

  constructor(kernel: NodeKernel) {
    this.#clock = kernel.find("clock");
    this.#random = kernel.find("random");
    this.#evidence = kernel.find("evidence");
    this.#dataCentre = kernel.find("settings").node["data-centre"];
  }

  async start(): Promise<void> {
    this.#hashPrompt = await createPromptHasher();
  }

  /** Hashes the prefixes of a prompt, once for all choices of a request. */
  hashPrompt(messages: readonly ChatMessage[]): readonly string[] {
    return this.#hashPrompt(messages);
  }

  /** Chooses a servable group of a model. */
  choose(
    model: string,
    excluded: ReadonlySet<string>,
    prefix: readonly string[] = [],
  ): GroupState | undefined {
    const request = {
      dataCentre: this.#dataCentre,
      excluded,
      prefix,
    };
    const routes = this.#findRoutes(model);
    const isFresh = routes.listedAt === this.#clock.now();
    const chosen = this.#chooseServable(routes, request);
    if (chosen !== undefined || isFresh) {
      return chosen;
    }
    this.#list(model, routes);
    return this.#chooseServable(routes, request);
  }

  /** Counts a request that begins on a group. */
  begin(group: string): void {
    this.#findRouting(group)?.begin(group);
  }

  /** Counts a request that ends on a group. */
  end(group: string): void {
    this.#findRouting(group)?.end(group);
  }

  /** Takes the mean time between tokens over a part of a stream. */
  noteTokenGap(group: string, ms: number): void {
    this.#findRouting(group)?.recordTokenGap(group, ms);
  }

  dump(): unknown {
    return [...this.#models].map(([model, { routing, candidates }]) => ({
      model,
      groups: candidates.map(({ group, reportedLoad }) => ({
        group,
        reportedLoad,
        outstanding: routing.countOutstanding(group),
      })),
    }));
  }

  #chooseServable(
    { routing, candidates, groups }: ModelRoutes,
    request: Parameters<LoadBalancer["choose"]>[0],
  ): GroupState | undefined {
    const chosen = routing.choose(request, candidates);
    const group = chosen && groups.get(chosen.group);
    return group && this.#evidence.findObstacle(group) === undefined
      ? group
      : undefined;
  }

  #findRoutes(model: string): ModelRoutes {
    let routes = this.#models.get(model);
    if (routes === undefined) {
      routes = {
        routing: new LoadBalancer(this.#clock, this.#random),
        groups: new Map(),
        candidates: [],
        listedAt: -Infinity,
      };
      this.#models.set(model, routes);
    }
    if (this.#clock.now() - routes.listedAt >= LIST_VALIDITY_MS) {
      this.#list(model, routes);
    }
    return routes;
  }

  #list(model: string, routes: ModelRoutes): void {
    const groups = this.#evidence.listServable(model);
    for (const group of routes.groups.keys()) {
      if (routes.routing.countOutstanding(group) === 0) {
        this.#modelOf.delete(group);
      }
    }
    groups.forEach(({ group }) => this.#modelOf.set(group, model));
    routes.groups = new Map(groups.map((group) => [group.group, group]));
    routes.candidates = groups.map((group) => this.#createCandidate(group));
    routes.listedAt = this.#clock.now();
    routes.routing.retain(new Set(routes.groups.keys()));
  }

  #createCandidate({ group, dataCentre, hosts }: GroupState): RouteCandidate {
    const { status, seenAt = 0 } = this.#evidence.find(hosts[0]!);
    return {
      group,
      dataCentre,
      reportedLoad: status === undefined ? 0 : status.running + status.waiting,
      reportedAt: seenAt,
    };
  }

  #findRouting(group: string): LoadBalancer | undefined {
    const model = this.#modelOf.get(group);
    return model === undefined ? undefined : this.#models.get(model)?.routing;
  }
}
