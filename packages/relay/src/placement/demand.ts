/**
 * Each model's share of the work, estimated from the requests at this node.
 *
 * @module
 */
import type { Clock, Service } from "@zinniahill/kernel";
import type { EngineProfile, ModelProfile } from "../model/configuration.ts";
import type { RelayKernel } from "../services.ts";

/** The work of past requests decays by a factor of e in this time. */
const DECAY_TIME_CONSTANT_MS = 8000;
/** Work assumed before any request, in milliseconds of one group's time. */
const PRIOR_WORK_MS = 20_000;

/** Work of one model's requests, in time of one group. */
interface ModelWork {
  workMs: number;
  updatedAt: number;
}

/** Estimates the work that the requests of each model cause. */
export class Demand implements Service {
  #clock: Clock;
  #work = new Map<string, ModelWork>();
  #hasReceivedRequest = false;

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
  }

  /** Whether any request of a caller has arrived. */
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
    work.workMs += computeWorkMs(engine, model, promptTokens, outputTokens);
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
    const work = engine.models.map(({ name, initialShare, hostCount }) => ({
      name,
      ms: this.#computeDecayed(name).workMs +
        initialShare / hostCount / priorTotal * PRIOR_WORK_MS,
    }));
    const total = work.reduce((sum, { ms }) => sum + ms, 0);
    return new Map(work.map(({ name, ms }) => [name, ms / total]));
  }

  dump(): unknown {
    return [...this.#work].map(([model, { workMs }]) => ({
      model,
      ms: workMs,
    }));
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
