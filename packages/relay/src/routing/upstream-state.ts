/**
 * What a node knows of one process of a service that starts cold.
 *
 * @module
 */
import { ColdStart } from "@zinniahill/policy";
import type { ColdStartProfile } from "../model/configuration.ts";
import { createProcessKey, type Instance } from "../model/instance.ts";
import type { ColdShare } from "./cold-share.ts";
import { SharedRate } from "./shared-rate.ts";

/** Why a process is treated as cold. */
export type ColdReason = "statement" | "listed" | "cut-off" | "evacuation";

/** What a share was planned from; a new one is planned when it changes. */
interface ShareBasis {
  readonly names: readonly string[];
  readonly statedPerSecond: number | undefined;
  readonly phase: string;
  readonly growth: number;
}

/** State and rate of one process. */
export class UpstreamState {
  readonly id: string;
  readonly bornAt: number;
  readonly dataCentre: string;
  readonly process: string;
  readonly profile: ColdStartProfile;
  readonly listedAt: number;
  readonly coldStart: ColdStart;
  /** The last entry that was applied, without its renewal count. */
  entry: string | undefined;
  #reason: ColdReason = "statement";
  /** Whether traffic that ran before the listing makes the state unknown. */
  #isUnproven = false;
  #loggedCold = false;
  #rate: SharedRate | undefined;
  #basis: ShareBasis | undefined;

  constructor(instance: Instance, profile: ColdStartProfile, now: number) {
    this.id = instance.id;
    this.bornAt = instance.bornAt;
    this.dataCentre = instance.dataCentre;
    this.process = createProcessKey(instance);
    this.profile = profile;
    this.listedAt = now;
    this.coldStart = new ColdStart(profile.durationMs);
  }

  get reason(): ColdReason {
    return this.#reason;
  }

  /** Whether a renewal of the entry can change the state. */
  get isAwaitingEntry(): boolean {
    return this.#isUnproven || this.coldStart.isUnknown;
  }

  hasProfile({ durationMs, requestsPerS }: ColdStartProfile): boolean {
    return this.profile.durationMs === durationMs &&
      this.profile.requestsPerS === requestsPerS;
  }

  /** Applies the first entry that this node reads of the process. */
  list(
    { coldLeftMs = 0 }: Instance,
    processAgeMs: number,
    isDuringTraffic: boolean,
  ): void {
    if (coldLeftMs > 0) {
      this.applyEntry(coldLeftMs, this.listedAt);
      return;
    }
    this.#isUnproven = this.coldStart.mayBeStarting(processAgeMs);
    if (isDuringTraffic) {
      this.doubtListing();
    }
  }

  /** Treats the process as cold from its listing on, unless it is proven. */
  doubtListing(): void {
    if (this.#isUnproven) {
      this.#isUnproven = false;
      this.doubt("listed", this.listedAt);
    }
  }

  doubt(reason: ColdReason, at: number): void {
    if (this.coldStart.doubt(at)) {
      this.#reason = reason;
    }
  }

  /** Applies an entry that was read after the first one. */
  applyEntry(coldLeftMs: number, now: number): void {
    this.#isUnproven = false;
    if (coldLeftMs > 0) {
      this.#reason = "statement";
    }
    this.coldStart.applyStatement(coldLeftMs, now, now);
  }

  /** The rate, planned anew if anything that it depends on has changed. */
  updateRate(
    names: readonly string[],
    statedPerSecond: number | undefined,
    now: number,
    plan: () => ColdShare,
  ): SharedRate {
    const { growth } = this.coldStart;
    const phase = this.coldStart.findPhase(now);
    const basis = { names, statedPerSecond, phase, growth };
    if (this.#rate !== undefined && isSame(this.#basis, basis)) {
      return this.#rate;
    }
    const { share, position } = plan();
    const hasTurned = phase !== this.#basis?.phase;
    this.#basis = basis;
    if (this.#rate === undefined || this.#rate.perSecond === 0 || hasTurned) {
      // Spreads the first permits of the nodes over an interval. A node that
      // takes another one's place waits until that one has heard of it.
      this.#rate = new SharedRate(share, position, now);
    } else {
      this.#rate.update(share);
    }
    return this.#rate;
  }

  /** The change to log since the last call, if there is one. */
  findChange(now: number): "cold" | "warm" | undefined {
    const phase = this.coldStart.findPhase(now);
    if (phase === "cold" && !this.#loggedCold) {
      this.#loggedCold = true;
      return "cold";
    }
    if (phase === "warm" && this.#loggedCold) {
      this.#loggedCold = false;
      return "warm";
    }
    return undefined;
  }
}

function isSame(a: ShareBasis | undefined, b: ShareBasis): boolean {
  return a !== undefined && a.names === b.names &&
    a.statedPerSecond === b.statedPerSecond && a.phase === b.phase &&
    a.growth === b.growth;
}
