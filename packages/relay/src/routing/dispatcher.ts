/**
 * Selects the upstream instance of each request, or refuses the request.
 *
 * @module
 */
import type { Clock, Logger, Random, Service } from "@zinniahill/kernel";
import { Refusal } from "@zinniahill/schema";
import { Result } from "true-myth";
import type { Group, Groups } from "../hosts/groups.ts";
import type { Instances } from "../hosts/instances.ts";
import type { EngineProfile, ServiceProfile } from "../model/configuration.ts";
import type { Instance } from "../model/instance.ts";
import type { RelayKernel } from "../services.ts";
import {
  type CandidateTest,
  selectOutsideEvacuations,
} from "./evacuation-filter.ts";
import type { Evacuations } from "./evacuations.ts";
import type { GroupRef, OutstandingRequests } from "./outstanding-requests.ts";
import type { UpstreamBalancer } from "./upstream-balancer.ts";
import type { UpstreamLimits } from "./upstream-limits.ts";

/** The properties of a request that determine its instance. */
export interface SelectionCriteria {
  readonly service: ServiceProfile;
  readonly model: string | undefined;
  /** 0 is the most urgent. */
  readonly rank: number;
  readonly targetMs: number;
  /** Instances that this request was already sent to. */
  readonly excluded: ReadonlySet<string>;
  /** Whether an earlier attempt may have run; a refusal would lose its work. */
  readonly mayHaveRun: boolean;
}

/** The instance selected for a request. */
export interface Selection {
  readonly instance: Instance;
  readonly group: GroupRef | undefined;
  /** Requests in progress at the instance before this one. */
  readonly load: number;
}

/** Share of the target latency that a request may spend queued at an engine. */
const MAX_QUEUED_SHARE = 0.5;
/** In a full batch, slots are released at about this interval. */
const SLOT_RELEASE_INTERVAL_MS = 70;
/** Requests of this rank or a less urgent one leave slots to the others. */
const DEFERRABLE_RANK = 2;
const RESERVED_SLOT_SHARE = 0.12;
/** A broken stream may resume at a group that accepts no new requests. */
const RESUMED_LOAD_FACTOR = 2;
/** Used if a retry can meet the target latency. */
const EARLY_RETRY_MS = 250;
/** Used if a retry would exceed the target latency in any case. */
const LATE_RETRY_MS = 1500;
/** Keeps callers that were refused together from retrying together. */
const RETRY_JITTER = 0.3;
/** How long an instance that refused a connection gets no requests. */
const UNREACHABLE_MS = 1000;
/** An upstream that asks for more is faulty. */
const MAX_BACK_OFF_MS = 300_000;

/** Selects instances by their requests in progress from all nodes. */
export class Dispatcher implements Service {
  #clock: Clock;
  #random: Random;
  #logger: Logger;
  #instances: Instances;
  #groups: Groups;
  #outstanding: OutstandingRequests;
  #balancer: UpstreamBalancer;
  #limits: UpstreamLimits;
  #evacuations: Evacuations;
  #unreachableUntil = new Map<string, number>();
  /** Until when instances have asked this node for no further request. */
  #backingOffUntil = new Map<string, number>();

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#random = kernel.find("random");
    this.#logger = kernel.find("logger");
    this.#instances = kernel.find("instances");
    this.#groups = kernel.find("groups");
    this.#outstanding = kernel.find("outstanding");
    this.#balancer = kernel.find("balancer");
    this.#limits = kernel.find("upstreamLimits");
    this.#evacuations = kernel.find("evacuations");
  }

  /** Selects an instance with spare capacity. */
  select(criteria: SelectionCriteria): Result<Selection, Refusal> {
    const { engine } = criteria.service;
    return selectOutsideEvacuations(
      this.#evacuations,
      (test) =>
        engine === undefined
          ? this.#selectPlainInstance(criteria, test)
          : this.#selectGroup(criteria, engine, test),
    );
  }

  /** Handles a misdirection refusal: the instance no longer leads its group. */
  markMisdirected({ instance, group }: Selection): void {
    this.markUnreachable(instance);
    if (group !== undefined) {
      this.#groups.suspect(group.name, group.epoch, "misdirected request");
    }
  }

  /** Excludes an instance from selection for some time. */
  markUnreachable({ id }: Instance): void {
    this.#unreachableUntil.set(id, this.#clock.now() + UNREACHABLE_MS);
  }

  /** Sends an instance nothing until the time that it asked for has passed. */
  backOff({ id }: Instance, requestedMs: number, request: string): void {
    const backOffMs = Math.min(requestedMs, MAX_BACK_OFF_MS);
    const until = this.#clock.now() + backOffMs;
    const currentUntil = this.#backingOffUntil.get(id) ?? -Infinity;
    this.#backingOffUntil.set(id, Math.max(currentUntil, until));
    this.#logger.info("instance_backing_off", {
      request,
      instance: id,
      back_off_ms: Math.round(backOffMs),
      requested_ms: requestedMs === backOffMs ? undefined : requestedMs,
    });
  }

  dump(): unknown {
    return {
      unreachable: [...this.#unreachableUntil.keys()],
      backingOff: [...this.#backingOffUntil.keys()],
    };
  }

  #selectPlainInstance(
    criteria: SelectionCriteria,
    test: CandidateTest,
  ): Result<Selection, Refusal> {
    const available = this.#instances.listAvailable(criteria.service.name)
      .filter((instance) => test.allowsInstance(instance));
    const listed = available.filter((instance) =>
      this.#acceptsRequest(instance, criteria)
    );
    const reachable = listed.filter((instance) => this.#isReachable(instance));
    const instances = reachable.length > 0 ? reachable : listed;
    const candidates = instances
      .filter(({ id }) => !criteria.excluded.has(id))
      .map((instance) => this.#createSelection(instance, undefined));
    const selected = this.#balancer.select(
      {
        service: criteria.service.name,
        upstreams: available,
        slots: available[0]?.slots ?? 1,
        limit: Infinity,
        targetMs: criteria.targetMs,
      },
      candidates,
    );
    return selected === undefined
      ? Result.err(this.#refuseWithoutUpstream(criteria, available))
      : Result.ok(selected);
  }

  #selectGroup(
    criteria: SelectionCriteria,
    engine: EngineProfile,
    test: CandidateTest,
  ): Result<Selection, Refusal> {
    const { name: service } = criteria.service;
    const model = criteria.model ?? engine.models[0]?.name ?? "";
    const groups = this.#groups.listServable(
      service,
      model,
      (group) => test.allowsGroup(group),
    );
    const candidates = groups.flatMap((group) =>
      this.#listLead(group, criteria)
    );
    if (candidates.length === 0) {
      const leads = groups.flatMap(({ lead }) => lead ?? []);
      return Result.err(this.#refuseWithoutUpstream(criteria, leads));
    }
    const selected = this.#balancer.select(
      {
        service,
        model,
        // Nodes share the groups that all of them use, whatever the test.
        upstreams: this.#groups.listOpen(service, model)
          .filter((group) => !this.#evacuations.isEvacuatedGroup(group))
          .flatMap(({ lead }) => lead ?? []),
        slots: engine.slots,
        limit: computeLoadLimit(criteria, engine),
        targetMs: criteria.targetMs,
      },
      candidates,
    );
    return selected === undefined
      ? Result.err(this.#refuseOverloaded(criteria, candidates))
      : Result.ok(selected);
  }

  #refuseOverloaded(
    criteria: SelectionCriteria,
    candidates: readonly Selection[],
  ): Refusal {
    const minLoad = Math.min(...candidates.map(({ load }) => load));
    return new Refusal(
      "overloaded",
      "not-run",
      `the least loaded group has ${minLoad} requests in progress`,
      this.#drawRetryAfterMs(criteria),
    );
  }

  /** Refuses a request until the first of the instances takes requests again. */
  #refuseWithoutUpstream(
    criteria: SelectionCriteria,
    instances: readonly Instance[],
  ): Refusal {
    const { service: { name }, model } = criteria;
    const target = model === undefined ? name : `${name} ${model}`;
    return new Refusal(
      "no-upstream",
      "not-run",
      `no instance of ${target} is available`,
      this.#computeRetryAfterMs(criteria, instances),
    );
  }

  #computeRetryAfterMs(
    criteria: SelectionCriteria,
    instances: readonly Instance[],
  ): number {
    const backOffsMs = instances
      .filter((instance) => this.#isBackingOff(instance))
      .map(({ id }) => this.#backingOffUntil.get(id)! - this.#clock.now());
    const permitsMs = instances
      .filter((instance) => !this.#isBackingOff(instance))
      .map((instance) => this.#limits.msUntilAllowed(instance))
      .filter((ms) => Number.isFinite(ms));
    if (permitsMs.length > 0) {
      // Permits are few; callers that return for the next one are too many.
      return Math.max(
        Math.min(...permitsMs),
        this.#drawRetryAfterMs(criteria),
      );
    }
    return backOffsMs.length > 0
      ? Math.min(...backOffsMs)
      : this.#drawRetryAfterMs(criteria);
  }

  /** A short delay if it can meet the target, else one that outlasts a peak. */
  #drawRetryAfterMs({ targetMs }: SelectionCriteria): number {
    const meanMs = targetMs > 2 * EARLY_RETRY_MS
      ? EARLY_RETRY_MS
      : LATE_RETRY_MS;
    const jitter = (2 * this.#random.fraction() - 1) * RETRY_JITTER;
    return meanMs * (1 + jitter);
  }

  /** The lead of a group, if it can be selected. */
  #listLead(group: Group, criteria: SelectionCriteria): Selection[] {
    const { lead } = group;
    return lead === undefined || criteria.excluded.has(lead.id) ||
        !this.#isReachable(lead) || !this.#acceptsRequest(lead, criteria)
      ? []
      : [this.#createSelection(lead, { name: group.name, epoch: group.epoch })];
  }

  #createSelection(instance: Instance, group: GroupRef | undefined): Selection {
    return { instance, group, load: this.#outstanding.count(instance.id) };
  }

  #isReachable(instance: Instance): boolean {
    return !this.#isExcluded(this.#unreachableUntil, instance);
  }

  /** Whether an upstream takes a request, by what it has said of itself. */
  #acceptsRequest(instance: Instance, { rank }: SelectionCriteria): boolean {
    return !this.#isBackingOff(instance) &&
      this.#limits.allows(instance, rank >= DEFERRABLE_RANK);
  }

  #isBackingOff(instance: Instance): boolean {
    return this.#isExcluded(this.#backingOffUntil, instance);
  }

  #isExcluded(exclusions: Map<string, number>, { id }: Instance): boolean {
    const until = exclusions.get(id);
    if (until === undefined) {
      return false;
    }
    if (this.#clock.now() < until) {
      return true;
    }
    exclusions.delete(id);
    return false;
  }
}

/**
 * The number of requests in progress below which a group receives another one.
 * Urgent requests may queue for slots that are released in time; the least
 * urgent ones leave some slots free.
 */
function computeLoadLimit(
  { rank, targetMs, mayHaveRun }: SelectionCriteria,
  { slots }: EngineProfile,
): number {
  if (mayHaveRun) {
    return slots * RESUMED_LOAD_FACTOR;
  }
  return rank >= DEFERRABLE_RANK
    ? slots * (1 - RESERVED_SLOT_SHARE)
    : slots + targetMs * MAX_QUEUED_SHARE / SLOT_RELEASE_INTERVAL_MS;
}
