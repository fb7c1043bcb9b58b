/**
 * The work of each model, estimated from the requests at all nodes.
 *
 * @module
 */
import type { Clock, Service } from "@zinniahill/kernel";
import type { EngineProfile, ModelProfile } from "../model/configuration.ts";
import type { ModelDemand } from "../model/peer-message.ts";
import type { Mesh } from "../peers/mesh.ts";
import type { RelayKernel } from "../services.ts";

/** The work of past requests decays by a factor of e in this time. */
const DECAY_TIME_CONSTANT_MS = 8000;
/** Work assumed before any request, in milliseconds of one group's time. */
const PRIOR_WORK_MS = 20_000;
/** Heartbeats state work in this part of a group, as short integers. */
const UNITS_PER_GROUP = 100;

/** Work of one model's requests, in time of one group. */
interface ModelWork {
  workMs: number;
  updatedAt: number;
}

/** Estimates the work that the requests of each model cause. */
export class Demand implements Service {
  #clock: Clock;
  #mesh: Mesh;
  #work = new Map<string, ModelWork>();
  #hasReceivedRequest = false;

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#mesh = kernel.find("mesh");
  }

  start(): void {
    this.#mesh.setDemandSource(() => this.#describe());
  }

  /** Whether any request of a caller has arrived at this node. */
  get hasReceivedRequest(): boolean {
    return this.#hasReceivedRequest;
  }

  /** Adds the work of a request to its model. */
  recordRequest(
    engine: EngineProfile,
    model: ModelProfile,
    promptTokens: number,
    outputTokens: number,
  ): void {
    this.#hasReceivedRequest = true;
    const work = this.#computeDecayed(model.name);
    // Callers state the tokens; no group holds more than its capacity.
    const [prompt, output] = [promptTokens, outputTokens].map((tokens) =>
      Math.min(tokens, engine.kvCapacityTokens)
    );
    work.workMs += computeWorkMs(engine, model, prompt!, output!);
    this.#work.set(model.name, work);
  }

  /**
   * Computes each model's share of the work. The profile gives shares of
   * hosts, so the work assumed at the start is in proportion to the share
   * divided by the hosts of one group.
   */
  computeShares(engine: EngineProfile): ReadonlyMap<string, number> {
    const priorTotal = engine.models.reduce(
      (sum, { initialShare, hostCount }) => sum + initialShare / hostCount,
      0,
    );
    const measured = this.computeWork(engine);
    const work = engine.models.map(({ name, initialShare, hostCount }) => ({
      name,
      groups: measured.get(name)! +
        initialShare / hostCount / priorTotal * PRIOR_WORK_MS /
          DECAY_TIME_CONSTANT_MS,
    }));
    const total = work.reduce((sum, { groups }) => sum + groups, 0);
    return new Map(work.map(({ name, groups }) => [name, groups / total]));
  }

  /** Computes the number of groups of each model that the work keeps busy. */
  computeWork(engine: EngineProfile): ReadonlyMap<string, number> {
    const byDataCentre = [...this.computeWorkByDataCentre(engine).values()];
    return new Map(engine.models.map(({ name }) => [
      name,
      byDataCentre.reduce((sum, work) => sum + (work.get(name) ?? 0), 0),
    ]));
  }

  /** The same by the data centre of the nodes that the callers use. */
  computeWorkByDataCentre(
    engine: EngineProfile,
  ): ReadonlyMap<string, ReadonlyMap<string, number>> {
    const names = new Set(engine.models.map(({ name }) => name));
    const total = new Map<string, Map<string, number>>();
    const reports = [...this.#mesh.listDemands(), {
      dataCentre: this.#mesh.ownEntry.dataCentre,
      demand: this.#describe(),
    }];
    for (const { dataCentre, demand } of reports) {
      const work = total.get(dataCentre) ?? new Map<string, number>();
      total.set(dataCentre, work);
      for (const [model, units] of demand) {
        if (names.has(model)) {
          work.set(model, (work.get(model) ?? 0) + units / UNITS_PER_GROUP);
        }
      }
    }
    return total;
  }

  dump(): unknown {
    return [...this.#work].map(([model, { workMs }]) => ({
      model,
      ms: workMs,
    }));
  }

  #describe(): ModelDemand[] {
    return [...this.#work.keys()].map((model): ModelDemand => [
      model,
      Math.round(
        this.#computeDecayed(model).workMs / DECAY_TIME_CONSTANT_MS *
          UNITS_PER_GROUP,
      ),
    ]).filter(([, units]) => units > 0);
  }

  #computeDecayed(model: string): ModelWork {
    const now = this.#clock.now();
    const { workMs, updatedAt } = this.#work.get(model) ??
      { workMs: 0, updatedAt: now };
    return {
      workMs: workMs * Math.exp((updatedAt - now) / DECAY_TIME_CONSTANT_MS),
      updatedAt: now,
    };
  }
}

/** Estimates the time of one group that a request takes in a full batch. */
export function computeWorkMs(
  engine: EngineProfile,
  model: ModelProfile,
  promptTokens: number,
  outputTokens: number,
): number {
  const stepMs = engine.stepMs / engine.slots + engine.stepMsPerRequest;
  const prefillMs = promptTokens / engine.prefillTokensPerMs;
  return model.timeFactor * (prefillMs + outputTokens * stepMs);
}
