/**
 * Conversions that this node has begun: groups of one model end, and their hosts
 * complete a group of another.
 *
 * @module
 */
import type { Clock, Logger } from "@zinniahill/kernel";
import type { Conversion, PastConversion } from "@zinniahill/policy";
import type { Group, Groups } from "../hosts/groups.ts";
import type { RelayMetrics } from "../relay-metrics.ts";
import type { RelayKernel } from "../services.ts";
import type { EngineService } from "./engine-service.ts";
import type { EvacuatedHosts } from "./evacuated-hosts.ts";
import type { GroupDissolver } from "./group-dissolver.ts";
import type { PlacementTasks } from "./placement-tasks.ts";

/** Whether the new group was begun, or the hosts are used otherwise. */
export type ConversionOutcome = "formed" | "expired";

interface StartedConversion {
  readonly service: string;
  readonly conversion: Conversion;
  readonly startedAt: number;
  outcome: ConversionOutcome | undefined;
}

/**
 * Time for groups to end, after which their hosts are free for any model.
 * Exceeds the time-out of a drain.
 */
const RESERVATION_MS = 15_000;
/** No limit on conversions looks further back. */
const RETENTION_MS = 60_000;
const GAIN_DIGITS = 3;

/** Begins conversions and remembers them. */
export class Conversions {
  #clock: Clock;
  #logger: Logger;
  #metrics: RelayMetrics;
  #groups: Groups;
  #tasks: PlacementTasks;
  #dissolver: GroupDissolver;
  #evacuatedHosts: EvacuatedHosts;
  #started: StartedConversion[] = [];

  constructor(
    kernel: RelayKernel,
    tasks: PlacementTasks,
    dissolver: GroupDissolver,
    evacuatedHosts: EvacuatedHosts,
  ) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#metrics = kernel.find("metrics");
    this.#groups = kernel.find("groups");
    this.#tasks = tasks;
    this.#dissolver = dissolver;
    this.#evacuatedHosts = evacuatedHosts;
  }

  /** Lets the groups finish their requests and leave. */
  begin({ name: service }: EngineService, conversion: Conversion): void {
    const { from, to, fabricDomain, groups, newGroups, loads, gain } =
      conversion;
    this.#started.push({
      service,
      conversion,
      startedAt: this.#clock.now(),
      outcome: undefined,
    });
    this.#logger.info("conversion_began", {
      from,
      to,
      domain: fabricDomain,
      groups: groups.map((group) => group.name).join(" "),
      new_groups: newGroups,
      loads,
      gain: Number(gain.toFixed(GAIN_DIGITS)),
    });
    for (const { name, epoch, hosts } of groups) {
      const group = this.#groups.find(name, epoch);
      if (group === undefined || this.#tasks.isBusy(group)) {
        continue;
      }
      this.#tasks.runGroup(
        group,
        "convert",
        (signal) =>
          this.#evacuatedHosts.runUntilEvacuated(
            hosts.map(({ id }) => id),
            signal,
            (ending) =>
              this.#dissolver.drain(group, `converted to ${to}`, ending),
          ),
      );
    }
  }

  /** Whether a conversion in progress ends the group. */
  isEnding({ name }: Group): boolean {
    return this.#started.some(({ conversion, outcome }) =>
      outcome === undefined &&
      conversion.groups.some((group) => group.name === name)
    );
  }

  /** Ends the conversion whose hosts form a group. */
  recordFormation(fabricDomain: string, model: string): void {
    for (const started of this.#started) {
      const { conversion } = started;
      if (
        conversion.fabricDomain === fabricDomain && conversion.to === model
      ) {
        this.#end(started, "formed");
      }
    }
  }

  /** Lists the conversions of the last minute. */
  list(service: string): PastConversion[] {
    const now = this.#clock.now();
    this.#started = this.#started.filter(({ startedAt }) =>
      now - startedAt < RETENTION_MS
    );
    for (const started of this.#started) {
      if (now - started.startedAt >= RESERVATION_MS) {
        this.#end(started, "expired");
      }
    }
    return this.#started.filter((started) => started.service === service)
      .map(({ conversion, startedAt, outcome }) => ({
        from: conversion.from,
        to: conversion.to,
        fabricDomain: conversion.fabricDomain,
        endedGroups: conversion.groups.length,
        isRepair: conversion.isRepair,
        ageMs: now - startedAt,
        isInProgress: outcome === undefined,
      }));
  }

  dump(): unknown {
    return this.#started.map(({ conversion, outcome }) => ({
      from: conversion.from,
      to: conversion.to,
      domain: conversion.fabricDomain,
      outcome,
    }));
  }

  #end(started: StartedConversion, outcome: ConversionOutcome): void {
    if (started.outcome !== undefined) {
      return;
    }
    started.outcome = outcome;
    const { from, to, fabricDomain } = started.conversion;
    this.#metrics.recordConversion(from, to, outcome);
    this.#logger.info("conversion_ended", {
      from,
      to,
      domain: fabricDomain,
      outcome,
      took_ms: Math.round(this.#clock.now() - started.startedAt),
    });
  }
}
