/**
 * An engine profile for tests, with a large and a small model.
 *
 * @module
 */
import type { EngineProfile, ModelProfile } from "../src/index.ts";

export const LARGE: ModelProfile = {
  name: "large",
  hostCount: 6,
  initialShare: 0.67,
  timeFactor: 1,
  loadMs: 16_000,
  stagedLoadMs: 1600,
};

export const SMALL: ModelProfile = {
  name: "small",
  hostCount: 3,
  initialShare: 0.33,
  timeFactor: 0.6,
  loadMs: 12_000,
  stagedLoadMs: 1100,
};

export const ENGINE: EngineProfile = {
  slots: 18,
  kvCapacityTokens: 1_710_000,
  stepsPerPass: 6,
  stepMs: 6.45,
  stepMsPerRequest: 0.14,
  stepMsPerThousandTokens: 0.004,
  prefillTokensPerMs: 56,
  pairMsPerMillion: 0.3,
  chunkTokens: 2048,
  maxLoadsPerSecond: 5,
  concurrentLoads: 2,
  openMs: 300,
  models: [LARGE, SMALL],
};
