/**
 * How the work is shared between the models, as this node sees it.
 *
 * @module
 */
import type { Clock, Service } from "@zinniahill/kernel";
import type { EngineProfile, ModelProfile } from "../model/configuration.ts";
import type { RelayKernel } from "../services.ts";

/** Older requests count less, by a factor of e in this time. */
const MEMORY_MS = 8000;
/** Work that is assumed at the start, in ms of one group. */
const PRIOR_WORK_MS = 20_000;

/** Work that requests of one model ask for. */
interface Work {
  ms: number;
  at: number;
}

/** Measures the work of each model. */
export class Demand implements Service {
  #clock: Clock;
  #work = new Map<string, Work>();
  #hasReceivedRequest = false;

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
  }

  /** Whether a caller's request has come. */
  get hasReceivedRequest(): boolean {
    return this.#hasReceivedRequest;
  }

  /** Counts a request. */
  recordRequest(
    engine: EngineProfile,
    model: ModelProfile,
    promptTokens: number,
    outputTokens: number,
  ): void {
    this.#hasReceivedRequest = true;
    const work = this.#decay(model.name);
    work.ms += computeWorkMs(engine, model, promptTokens, outputTokens);
    this.#work.set(model.name, work);
  }

  /**
   * Each model's share of the work. The profile's share counts hosts, so a
   * group's part of it is the work that is assumed at the start.
   */
  computeShares(engine: EngineProfile): ReadonlyMap<string, number> {
    const priorTotal = engine.models.reduce(
      (sum, { initialShare, hostCount }) => sum + initialShare / hostCount,
      0,
    );
    const work = engine.models.map(({ name, initialShare, hostCount }) => ({
      name,
      ms: this.#decay(name).ms +
        initialShare / hostCount / priorTotal * PRIOR_WORK_MS,
    }));
    const total = work.reduce((sum, { ms }) => sum + ms, 0);
    return new Map(work.map(({ name, ms }) => [name, ms / total]));
  }

  dump(): unknown {
    return [...this.#work].map(([model, { ms }]) => ({ model, ms }));
  }

  #decay(model: string): Work {
    const now = this.#clock.now();
    const { ms, at } = this.#work.get(model) ?? { ms: 0, at: now };
    return { ms: ms * Math.exp((at - now) / MEMORY_MS), at: now };
  }
}

/** The time of one group that a request takes, in a batch that is full. */
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
