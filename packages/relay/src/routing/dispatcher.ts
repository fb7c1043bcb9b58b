/**
 * Chooses the upstream instance of each request, or refuses it.
 *
 * @module
 */
import type { Clock, Random, Service } from "@zinniahill/kernel";
import { Refusal } from "@zinniahill/schema";
import { Result } from "true-myth";
import type { Group, Groups } from "../hosts/groups.ts";
import type { Instances } from "../hosts/instances.ts";
import type { EngineProfile, ServiceProfile } from "../model/configuration.ts";
import type { Instance } from "../model/instance.ts";
import type { RelayKernel } from "../services.ts";
import { selectByLoad } from "./load-balancing.ts";
import type { GroupRef, OutstandingRequests } from "./outstanding-requests.ts";

/** What a choice depends on. */
export interface SelectionCriteria {
  readonly service: ServiceProfile;
  readonly model: string | undefined;
  /** 0 is the most urgent. */
  readonly rank: number;
  readonly targetMs: number;
  /** Instances that this request was already given to. */
  readonly excluded: ReadonlySet<string>;
  /** Whether work that was begun would be lost without another instance. */
  readonly mayHaveRun: boolean;
}

/** The instance that a request is given to. */
export interface Selection {
  readonly instance: Instance;
  readonly group: GroupRef | undefined;
  /** Requests at the instance before this one. */
  readonly load: number;
}

/** Requests may wait at an engine for as many places as come free in time. */
const QUEUE_SHARE_OF_TARGET = 0.5;
/** Places come free at about this pace in a full batch. */
const MS_PER_FREE_SLOT = 70;
/** Ranks from this one on leave places to the others. */
const DEFERRABLE_RANK = 2;
const RESERVED_SHARE = 0.12;
/** A stream that broke may go on at a group that takes nothing new. */
const CONTINUED_LOAD_FACTOR = 2;
/** A caller that returns later than its target is served late in any case. */
const EARLY_RETRY_MS = 250;
const LATE_RETRY_MS = 1500;
/** Callers that were refused together do not return together. */
const RETRY_JITTER = 0.3;
/** An instance that refused a connection is left alone for this time. */
const UNREACHABLE_MS = 1000;

/** Chooses by requests in progress over all nodes, as far as they are known. */
export class Dispatcher implements Service {
  #clock: Clock;
  #random: Random;
  #instances: Instances;
  #groups: Groups;
  #outstanding: OutstandingRequests;
  #unreachableUntil = new Map<string, number>();

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#random = kernel.find("random");
    this.#instances = kernel.find("instances");
    this.#groups = kernel.find("groups");
    this.#outstanding = kernel.find("outstanding");
  }

  /** Chooses an instance with room. */
  select(wish: SelectionCriteria): Result<Selection, Refusal> {
    const { engine } = wish.service;
    return engine === undefined
      ? this.#choosePlain(wish)
      : this.#chooseGroup(wish, engine);
  }

  /** A lead that refuses as misdirected no longer leads its group. */
  markMisdirected({ instance, group }: Selection): void {
    this.markUnreachable(instance);
    if (group !== undefined) {
      this.#groups.suspect(group.name, group.epoch, "misdirected request");
    }
  }

  /** Leaves an instance alone for some time. */
  markUnreachable({ id }: Instance): void {
    this.#unreachableUntil.set(id, this.#clock.now() + UNREACHABLE_MS);
  }

  dump(): unknown {
    return { unreachable: [...this.#unreachableUntil.keys()] };
  }

  #choosePlain(wish: SelectionCriteria): Result<Selection, Refusal> {
    const listed = this.#instances.listAvailable(wish.service.name);
    const reachable = listed.filter((instance) => this.#isReachable(instance));
    const candidates = reachable.length > 0 ? reachable : listed;
    const choices = candidates
      .filter(({ id }) => !wish.excluded.has(id))
      .map((instance) => this.#createChoice(instance, undefined));
    const chosen = this.#draw(choices, Infinity);
    return chosen === undefined
      ? Result.err(this.#refuseWithoutUpstream(wish))
      : Result.ok(chosen);
  }

  #chooseGroup(
    wish: SelectionCriteria,
    engine: EngineProfile,
  ): Result<Selection, Refusal> {
    const groups = this.#groups.listServable(
      wish.service.name,
      wish.model ?? engine.models[0]?.name ?? "",
    );
    const choices = groups.flatMap((group) => this.#listLead(group, wish));
    if (choices.length === 0) {
      return Result.err(this.#refuseWithoutUpstream(wish));
    }
    const chosen = this.#draw(choices, computeLoadLimit(wish, engine));
    return chosen === undefined
      ? Result.err(this.#refuseOverloaded(wish, choices))
      : Result.ok(chosen);
  }

  #refuseOverloaded(
    wish: SelectionCriteria,
    choices: readonly Selection[],
  ): Refusal {
    const least = Math.min(...choices.map(({ load }) => load));
    return new Refusal(
      "overloaded",
      "not-run",
      `the least loaded group has ${least} requests`,
      this.#drawRetryAfterMs(wish),
    );
  }

  #refuseWithoutUpstream(wish: SelectionCriteria): Refusal {
    const { service: { name }, model } = wish;
    const what = model === undefined ? name : `${name} ${model}`;
    return new Refusal(
      "no-upstream",
      "not-run",
      `no instance of ${what} takes requests`,
      this.#drawRetryAfterMs(wish),
    );
  }

  /** Soon where the target can still be met, else when the peak may be over. */
  #drawRetryAfterMs({ targetMs }: SelectionCriteria): number {
    const middleMs = targetMs > 2 * EARLY_RETRY_MS
      ? EARLY_RETRY_MS
      : LATE_RETRY_MS;
    const jitter = (2 * this.#random.fraction() - 1) * RETRY_JITTER;
    return middleMs * (1 + jitter);
  }

  #listLead(group: Group, { excluded }: SelectionCriteria): Selection[] {
    const { lead } = group;
    return lead === undefined || excluded.has(lead.id) ||
        !this.#isReachable(lead)
      ? []
      : [this.#createChoice(lead, { name: group.name, epoch: group.epoch })];
  }

  #createChoice(instance: Instance, group: GroupRef | undefined): Selection {
    return { instance, group, load: this.#outstanding.count(instance.id) };
  }

  #draw(choices: readonly Selection[], limit: number): Selection | undefined {
    const { loads, unreported } = this.#outstanding.estimateLoads(
      choices.map(({ instance }) => instance.id),
    );
    const index = selectByLoad(loads, unreported, limit, this.#random);
    return index === undefined ? undefined : choices[index];
  }

  #isReachable({ id }: Instance): boolean {
    const until = this.#unreachableUntil.get(id);
    if (until === undefined) {
      return true;
    }
    if (this.#clock.now() < until) {
      return false;
    }
    this.#unreachableUntil.delete(id);
    return true;
  }
}

/**
 * Requests that a group may have when one more is given to it. Urgent ones may
 * wait for places that come free in time; the least urgent leave some free.
 */
function computeLoadLimit(
  { rank, targetMs, mayHaveRun }: SelectionCriteria,
  { slots }: EngineProfile,
): number {
  if (mayHaveRun) {
    return slots * CONTINUED_LOAD_FACTOR;
  }
  return rank >= DEFERRABLE_RANK
    ? slots * (1 - RESERVED_SHARE)
    : slots + targetMs * QUEUE_SHARE_OF_TARGET / MS_PER_FREE_SLOT;
}
