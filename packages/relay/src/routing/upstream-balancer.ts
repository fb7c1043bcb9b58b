/**
 * Selects among the upstreams that can take a request.
 *
 * @module
 */
import type { Random } from "@zinniahill/kernel";
import {
  type Home,
  type LoadEstimate,
  selectBeyondHomes,
  selectByLoad,
  selectHome,
  type SpillShare,
  StagedSelection,
} from "@zinniahill/policy";
import type { Instance } from "../model/instance.ts";
import type { RelayMetrics } from "../relay-metrics.ts";
import type { RelayKernel } from "../services.ts";
import type { DataCentres, DataCentreView } from "./data-centres.ts";
import type { HomeUpstreams } from "./home-upstreams.ts";
import type { OutstandingRequests } from "./outstanding-requests.ts";

/** An upstream that can take a request. */
export interface BalancedCandidate {
  readonly instance: Instance;
  /** Requests in progress there, by the last reports. */
  readonly load: number;
}

/** What a selection among the upstreams of a service or model depends on. */
export interface BalancedRequest {
  readonly service: string;
  readonly model?: string | undefined;
  /** All upstreams of the service or model. */
  readonly upstreams: readonly Instance[];
  /** Requests that one upstream runs at the same time. */
  readonly slots: number;
  /** Requests that one upstream accepts. */
  readonly limit: number;
  readonly targetMs: number;
}

/** A candidate of which this node has a share. */
interface HomeCandidate<Candidate> extends Home {
  readonly candidate: Candidate;
}

interface Homes<Candidate> {
  /** Those that can take a request. */
  readonly homes: readonly HomeCandidate<Candidate>[];
  /** Whether the node's shares are large enough to be filled by its count. */
  readonly isCountable: boolean;
  readonly spill: SpillShare;
}

type Candidates<Candidate> = readonly Candidate[];

/**
 * With a smaller share, in slots, a node draws among all upstreams as without
 * shares: its own requests vary by more than the share.
 */
const MIN_QUOTA = 4;

/** Balances the requests of all nodes over the upstreams. */
export class UpstreamBalancer {
  #random: Random;
  #homes: HomeUpstreams;
  #outstanding: OutstandingRequests;
  #dataCentres: DataCentres;
  #metrics: RelayMetrics;
  #ownDataCentre: string;

  constructor(kernel: RelayKernel) {
    this.#random = kernel.find("random");
    this.#homes = kernel.find("homes");
    this.#outstanding = kernel.find("outstanding");
    this.#dataCentres = kernel.find("dataCentres");
    this.#metrics = kernel.find("metrics");
    this.#ownDataCentre = kernel.find("settings").node.dataCentre;
  }

  /** Selects a candidate; undefined if none has room. */
  select<Candidate extends BalancedCandidate>(
    request: BalancedRequest,
    candidates: Candidates<Candidate>,
  ): Candidate | undefined {
    const { view } = this.#dataCentres;
    const selected = view === undefined
      ? this.#selectAnywhere(request, candidates)
      : this.#selectWithPreference(request, candidates, view);
    if (selected !== undefined) {
      this.#metrics.recordSelection(
        this.#ownDataCentre,
        selected.instance.dataCentre,
      );
    }
    return selected;
  }

  #selectAnywhere<Candidate extends BalancedCandidate>(
    request: BalancedRequest,
    candidates: Candidates<Candidate>,
  ): Candidate | undefined {
    if (!Number.isFinite(request.limit)) {
      return this.#selectByLoad(candidates, request.limit);
    }
    const { homes, isCountable, spill } = this.#listHomes(
      request,
      candidates,
      undefined,
    );
    if (!isCountable) {
      return this.#selectByLoad(candidates, request.limit);
    }
    const home = this.#selectHome(homes, request.limit);
    spill.record(home === undefined);
    return home ??
      this.#selectBeyondHomes(candidates, request.limit, spill.value);
  }

  #selectWithPreference<Candidate extends BalancedCandidate>(
    request: BalancedRequest,
    candidates: Candidates<Candidate>,
    { own, delays, reported }: DataCentreView,
  ): Candidate | undefined {
    const { homes, isCountable, spill } = this.#listHomes(
      request,
      candidates,
      own,
    );
    if (!isCountable && Number.isFinite(request.limit)) {
      // Many nodes share few groups: their counts are too old to say whether
      // the own data centre has room, and its groups would fill unevenly.
      return this.#selectByLoad(candidates, request.limit);
    }
    const selection = new StagedSelection(
      {
        own,
        dataCentres: candidates.map(({ instance }) => instance.dataCentre),
        reported,
        findDelayMs: (dataCentre) => delays.find(dataCentre),
        slots: request.slots,
        limit: request.limit,
        slotReleaseMs: this.#computeSlotReleaseMs(request, candidates, homes),
        targetMs: request.targetMs,
      },
      (indices) =>
        this.#estimateLoads(indices.map((index) => candidates[index]!)),
    );
    for (const stage of selection.stages) {
      const selected = stage.kind === "remote"
        ? undefined
        : this.#selectHome(homes, stage.limit);
      if (stage === selection.stages[0]) {
        spill.record(selected === undefined);
      }
      if (selected !== undefined) {
        return selected;
      }
      const index = selection.select(
        stage,
        isCountable ? spill.value : undefined,
        this.#random,
      );
      if (index !== undefined) {
        return candidates[index];
      }
    }
    return undefined;
  }

  /** Mean time until a full upstream takes one more request. */
  #computeSlotReleaseMs(
    { slots }: BalancedRequest,
    candidates: readonly BalancedCandidate[],
    homes: readonly HomeCandidate<BalancedCandidate>[],
  ): number {
    const measured = homes.length > 0
      ? homes.map(({ candidate }) => candidate)
      : candidates;
    return this.#outstanding.meanDurationMs(
      measured.map(({ instance }) => instance.id),
    ) / slots;
  }

  /** The candidates of which this node has a share of at least one slot. */
  #listHomes<Candidate extends BalancedCandidate>(
    request: BalancedRequest,
    candidates: Candidates<Candidate>,
    dataCentre: string | undefined,
  ): Homes<Candidate> {
    const { service, model, upstreams, slots, limit } = request;
    const { shares, spill } = this.#homes.find({
      name: `${service} ${model}`,
      upstreams,
      dataCentre,
    });
    const totalShare = shares.reduce((sum, { share }) => sum + share, 0);
    if (totalShare * Math.min(slots, limit) < MIN_QUOTA) {
      return { homes: [], isCountable: false, spill };
    }
    const homes = shares.flatMap(({ upstream, share }) => {
      const candidate = candidates.find(({ instance }) =>
        instance.id === upstream
      );
      return candidate === undefined ? [] : [{
        candidate,
        share,
        ownCount: this.#outstanding.countOwn(upstream),
        count: candidate.load,
      }];
    });
    return { homes, isCountable: true, spill };
  }

  #selectHome<Candidate extends BalancedCandidate>(
    homes: readonly HomeCandidate<Candidate>[],
    limit: number,
  ): Candidate | undefined {
    const index = Number.isFinite(limit)
      ? selectHome(homes, limit, this.#random)
      : undefined;
    return index === undefined ? undefined : homes[index]!.candidate;
  }

  /**
   * Other nodes fill their homes first, so their unreported requests are added
   * before this one competes for the rest.
   */
  #selectBeyondHomes<Candidate extends BalancedCandidate>(
    candidates: Candidates<Candidate>,
    limit: number,
    spillShare: number,
  ): Candidate | undefined {
    const { loads, unreported } = this.#estimateLoads(candidates);
    const index = selectBeyondHomes(
      loads,
      unreported,
      limit,
      spillShare,
      this.#random,
    );
    return index === undefined ? undefined : candidates[index];
  }

  #selectByLoad<Candidate extends BalancedCandidate>(
    candidates: Candidates<Candidate>,
    limit: number,
  ): Candidate | undefined {
    const { loads, unreported } = this.#estimateLoads(candidates);
    const index = selectByLoad(loads, unreported, limit, this.#random);
    return index === undefined ? undefined : candidates[index];
  }

  #estimateLoads(candidates: readonly BalancedCandidate[]): LoadEstimate {
    return this.#outstanding.estimateLoads(
      candidates.map(({ instance }) => instance.id),
    );
  }
}
