/**
 * Keeps the requests to an upstream, from all nodes together, within the rate
 * that it names in its responses, and within the one that it takes while cold.
 *
 * @module
 */
import { hashName } from "@zinniahill/clients";
import type { Clock, Logger, Service } from "@zinniahill/kernel";
import { createProcessKey, type Instance } from "../model/instance.ts";
import type { Lifecycle } from "../lifecycle.ts";
import type { MessageOf } from "../model/peer-message.ts";
import type { Mesh } from "../peers/mesh.ts";
import type { RelayKernel } from "../services.ts";
import type { ColdUpstreams } from "./cold-upstreams.ts";
import { SharedRate } from "./shared-rate.ts";

/** Statement of a response about the limit of its upstream. */
export interface LimitStatement {
  /** Id of the request that it answers. */
  readonly request: string;
  /** Time at which that request was sent. */
  readonly sentAt: number;
  /** Requests a second; undefined if the response names no limit. */
  readonly perSecond: number | undefined;
}

/** A limit in force. */
interface Limit {
  readonly rate: SharedRate;
  /** Time at which a response, here or at another node, last named it. */
  namedAt: number;
  /** The rate that other nodes know. */
  sharedPerSecond: number;
}

/** Other nodes are told if a rate has changed by more than this share. */
const SHARED_CHANGE = 0.1;
/** Processes end without a last word; their limits are forgotten at last. */
const RETENTION_MS = 10 * 60_000;

/** The limits that upstream processes have named, or have while cold. */
export class UpstreamLimits implements Service {
  #clock: Clock;
  #logger: Logger;
  #mesh: Mesh;
  #lifecycle: Lifecycle;
  #coldUpstreams: ColdUpstreams;
  #limits = new Map<string, Limit>();

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#mesh = kernel.find("mesh");
    this.#lifecycle = kernel.find("lifecycle");
    this.#coldUpstreams = kernel.find("coldUpstreams");
    this.#mesh.onMessage("limit", (message) => this.#apply(message));
  }

  /** Number of upstreams with a limit. */
  get size(): number {
    return this.#limits.size;
  }

  /**
   * Applies what a response says. A response without a limit ends the limit
   * only if its request was sent after the limit was last named: responses may
   * overtake each other.
   */
  record(
    instance: Instance,
    { request, sentAt, perSecond }: LimitStatement,
  ): void {
    const key = createProcessKey(instance);
    const now = this.#clock.now();
    if (perSecond === undefined) {
      if (this.#end(key, sentAt)) {
        this.#logger.info("upstream_limit_ended", {
          request,
          instance: instance.id,
        });
        this.#share(key, null, now - sentAt);
      }
      return;
    }
    const limit = this.#set(key, perSecond, now);
    const change = Math.abs(perSecond - limit.sharedPerSecond);
    if (change > SHARED_CHANGE * limit.sharedPerSecond) {
      limit.sharedPerSecond = perSecond;
      this.#logger.info("upstream_limit_named", {
        request,
        instance: instance.id,
        per_second: perSecond,
        nodes: this.#mesh.listServingNames().length,
      });
      this.#share(key, perSecond, 0);
    }
  }

  /**
   * Whether a request may be sent; less urgent ones leave permits to others. A
   * node that shuts down uses none, as the others divide its share already.
   */
  allows(instance: Instance, isDeferrable: boolean): boolean {
    const rates = this.#listRates(instance);
    const now = this.#clock.now();
    return rates.length === 0 || !this.#lifecycle.isDraining &&
        rates.every((rate) => rate.hasPermit(now, isDeferrable));
  }

  /** Counts a request that is sent. */
  take(instance: Instance): void {
    const now = this.#clock.now();
    const stated = this.#find(instance);
    stated?.take(now);
    this.#coldUpstreams.findRate(instance, stated?.perSecond)?.rate.take(now);
  }

  /** Time until a request may be sent; 0 if one may be sent now. */
  msUntilAllowed(instance: Instance): number {
    const now = this.#clock.now();
    const waits = this.#listRates(instance)
      .map((rate) => rate.msUntilPermit(now));
    return Math.max(0, ...waits);
  }

  dump(): unknown {
    return [...this.#limits].map(([process, { rate }]) => ({
      process,
      perSecond: rate.perSecond,
      nextPermitMs: Math.round(rate.msUntilPermit(this.#clock.now())),
    }));
  }

  #apply({ process, perSecond, ageMs }: MessageOf<"limit">): void {
    const at = this.#clock.now() - ageMs;
    if (perSecond === null) {
      this.#end(process, at);
    } else {
      this.#set(process, perSecond, at).sharedPerSecond = perSecond;
    }
  }

  /** The rates that a request has to keep to. */
  #listRates(instance: Instance): SharedRate[] {
    const stated = this.#find(instance);
    const cold = this.#coldUpstreams.findRate(instance, stated?.perSecond);
    const rates = cold?.includesStatedLimit ? [] : [stated];
    return [...rates, cold?.rate].filter((rate) => rate !== undefined);
  }

  #find(instance: Instance): SharedRate | undefined {
    // Most of the time there are no limits, and no key is needed.
    return this.#limits.size === 0
      ? undefined
      : this.#limits.get(createProcessKey(instance))?.rate;
  }

  #set(key: string, perSecond: number, namedAt: number): Limit {
    const nodes = this.#mesh.listServingNames().length;
    const share = { perSecond, nodes };
    const known = this.#limits.get(key);
    if (known !== undefined) {
      known.rate.update(share);
      known.namedAt = Math.max(known.namedAt, namedAt);
      return known;
    }
    this.#forgetOld();
    const position = this.#findPosition(key);
    const rate = new SharedRate(share, position, this.#clock.now());
    const limit = { rate, namedAt, sharedPerSecond: 0 };
    this.#limits.set(key, limit);
    return limit;
  }

  /** Ends a limit that was not named since `at`; false if there is none. */
  #end(key: string, at: number): boolean {
    const limit = this.#limits.get(key);
    return limit !== undefined && limit.namedAt < at &&
      this.#limits.delete(key);
  }

  /**
   * This node's place from 0 to 1 among all nodes. The order differs from
   * upstream to upstream, and is the same on all nodes.
   */
  #findPosition(key: string): number {
    const names = this.#mesh.listServingNames()
      .map((name) => ({ name, hash: hashName(`${key} ${name}`) }))
      .sort((a, b) => a.hash - b.hash);
    const index = names.findIndex(({ name }) =>
      name === this.#mesh.ownEntry.name
    );
    return index / names.length;
  }

  #share(process: string, perSecond: number | null, ageMs: number): void {
    const message = { process, perSecond, ageMs: Math.round(ageMs) };
    this.#mesh.broadcast({ kind: "limit", ...message });
  }

  #forgetOld(): void {
    const now = this.#clock.now();
    for (const [key, { namedAt }] of this.#limits) {
      if (now - namedAt > RETENTION_MS) {
        this.#limits.delete(key);
      }
    }
  }
}
