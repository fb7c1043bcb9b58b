/**
 * An engine's profile for tests, with a large and a small model.
 *
 * @module
 */
import type { EngineProfile, ModelProfile } from "../src/index.ts";

export const LARGE: ModelProfile = {
  name: "large",
  hosts: 6,
  share: 0.67,
  pace: 1,
  loadMs: 16_000,
  warmMs: 1600,
};

export const SMALL: ModelProfile = {
  name: "small",
  hosts: 3,
  share: 0.33,
  pace: 0.6,
  loadMs: 12_000,
  warmMs: 1100,
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
  loadsPerSecond: 5,
  concurrentLoads: 2,
  openMs: 300,
  models: [LARGE, SMALL],
};
