/**
 * The services that bound what callers take of a process.
 *
 * @module
 */
import type { Clock, Logger } from "@zinniahill/kernel";
import type { AppliedLimit, AppliedLimits } from "./applied-limits.ts";
import type { CallerMemory } from "./caller-memory.ts";

/** The part of a kernel that these services use, whatever else it holds. */
export interface CallerServices {
  find(name: "clock"): Clock;
  find(name: "logger"): Logger;
  find(name: "metrics"): { recordLimit(limit: AppliedLimit): void };
  find(name: "appliedLimits"): AppliedLimits;
  find(name: "callerMemory"): CallerMemory;
}
