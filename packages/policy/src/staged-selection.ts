/**
 * Selection by load in the stages of a data centre preference.
 *
 * @module
 */
import type { Random } from "@zinniahill/kernel";
import {
  computeTransferLoad,
  planPreferenceStages,
  type PreferenceInput,
  type PreferenceStage,
} from "./data-centre-preference.ts";
import { selectBeyondHomes } from "./spill-selection.ts";
import {
  addUnreported,
  type LoadEstimate,
  selectByLoad,
} from "./water-filling.ts";

type StageKind = PreferenceStage["kind"];

/** The stages of one selection, tried in order until one selects an upstream. */
export class StagedSelection {
  readonly stages: readonly PreferenceStage[];
  #input: PreferenceInput;
  #estimate: (upstreams: readonly number[]) => LoadEstimate;
  /** By upstream; raised to the limits of the stages that had no room. */
  #loads: (number | undefined)[] = [];
  /** Unreported requests at the upstreams read so far. */
  #unreported = 0;
  /** Those that the stages without room could not take. */
  #excess = 0;

  /** `estimate` reads the loads of upstreams, given by their indices. */
  constructor(
    input: PreferenceInput,
    estimate: (upstreams: readonly number[]) => LoadEstimate,
  ) {
    this.stages = planPreferenceStages(input);
    this.#input = input;
    this.#estimate = estimate;
  }

  /**
   * Draws one of the stage's upstreams; undefined if it has no room for this
   * request. `spillShare` is the share of requests that exceed the
   * nodes' own shares; undefined if nodes have none.
   */
  select(
    stage: PreferenceStage,
    spillShare: number | undefined,
    random: Random,
  ): number | undefined {
    const index = this.#handlers[stage.kind](stage, spillShare, random);
    if (index !== undefined) {
      return stage.upstreams[index];
    }
    this.#fill(stage);
    return undefined;
  }

  #handlers: Readonly<
    Record<
      StageKind,
      (
        stage: PreferenceStage,
        spillShare: number | undefined,
        random: Random,
      ) => number | undefined
    >
  > = {
    local: ({ upstreams, limit }, spillShare, random) => {
      const { loads, unreported } = this.#read(upstreams);
      return spillShare !== undefined
        ? selectBeyondHomes(loads, unreported, limit, spillShare, random)
        : selectByLoad(loads, unreported, limit, random);
    },
    // The requests of the nodes there come first.
    remote: ({ upstreams, limit }, spillShare, random) => {
      const { loads, unreported } = this.#read(upstreams);
      return this.#draw(loads, unreported, spillShare, limit, random);
    },
    any: ({ upstreams, limit }, spillShare, random) => {
      this.#read(upstreams.filter((upstream) => !(upstream in this.#loads)));
      const loads = upstreams.map((upstream) =>
        this.#loads[upstream]! + this.#computeTransferLoad(upstream)
      );
      return this.#draw(loads, this.#excess, spillShare, limit, random);
    },
  };

  /**
   * Draws beside the requests that come before this one. Without shares of the
   * nodes, all unreported requests compete for the room, and must not take it
   * beforehand as well: callers were refused while slots were free.
   */
  #draw(
    loads: readonly number[],
    earlier: number,
    spillShare: number | undefined,
    limit: number,
    random: Random,
  ): number | undefined {
    return spillShare === undefined
      ? selectByLoad(loads, this.#unreported, limit, random)
      : selectByLoad(
        addUnreported(loads, earlier, limit),
        this.#unreported * spillShare,
        limit,
        random,
      );
  }

  #read(upstreams: readonly number[]): LoadEstimate {
    const estimate = this.#estimate(upstreams);
    upstreams.forEach((upstream, index) =>
      this.#loads[upstream] = estimate.loads[index]!
    );
    this.#unreported += estimate.unreported;
    this.#excess += estimate.unreported;
    return estimate;
  }

  /** Assumes that unreported requests have filled a stage without room. */
  #fill({ upstreams, limit }: PreferenceStage): void {
    for (const upstream of upstreams) {
      const room = Math.max(0, limit - this.#loads[upstream]!);
      this.#loads[upstream]! += room;
      this.#excess = Math.max(0, this.#excess - room);
    }
  }

  #computeTransferLoad(upstream: number): number {
    const { own, dataCentres, findDelayMs, slotReleaseMs } = this.#input;
    const dataCentre = dataCentres[upstream]!;
    const isPreferenceUsed = this.stages.length > 1;
    return dataCentre === own || !isPreferenceUsed
      ? 0
      : computeTransferLoad(findDelayMs(dataCentre), slotReleaseMs);
  }
}
