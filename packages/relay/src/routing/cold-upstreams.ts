/**
 * Upstreams that are cold or warm up, and the rate at which they get requests.
 *
 * @module
 */
import {
  type Clock,
  type Logger,
  type Service,
  TaskGroup,
} from "@zinniahill/kernel";
import type { RecordDecoder } from "../adapter.ts";
import type { Feeds } from "../feeds/feeds.ts";
import type { Instances } from "../hosts/instances.ts";
import type { ColdStartProfile } from "../model/configuration.ts";
import type { Instance } from "../model/instance.ts";
import type { KeyRecord } from "../model/peer-message.ts";
import type { Mesh } from "../peers/mesh.ts";
import type { Demand } from "../placement/demand.ts";
import type { RelayKernel } from "../services.ts";
import { type ColdBound, planColdShare } from "./cold-share.ts";
import type { CurrentConfiguration } from "./current-configuration.ts";
import type { Evacuations } from "./evacuations.ts";
import type { SharedRate } from "./shared-rate.ts";
import { TrafficStart } from "./traffic-start.ts";
import { UpstreamState } from "./upstream-state.ts";

/** What a response says of the state of its upstream. */
export interface ColdStatement {
  /** Time at which the request was sent. */
  readonly sentAt: number;
  /** Whether the upstream has served the request. */
  readonly isServed: boolean;
  readonly coldLeftMs: number | undefined;
}

/** The rate of an upstream that is not warm. */
export interface ColdRate {
  readonly rate: SharedRate;
  /** Whether the rate keeps to the stated limit of the upstream, too. */
  readonly includesStatedLimit: boolean;
}

const CHECK_INTERVAL_MS = 200;
/**
 * An entry that arrives within this time after the end of an evacuation may
 * have been written before it.
 */
const MAX_ENTRY_DELAY_MS = 1000;

/** Tracks the processes of services that start cold. */
export class ColdUpstreams implements Service {
  #clock: Clock;
  #logger: Logger;
  #decoder: RecordDecoder;
  #feeds: Feeds;
  #configuration: CurrentConfiguration;
  #instances: Instances;
  #mesh: Mesh;
  #demand: Demand;
  #bound: ColdBound;
  #tasks: TaskGroup;
  #traffic = new TrafficStart();
  #evacuations: Evacuations;
  #states = new Map<string, UpstreamState>();
  /** Names of the nodes that serve callers; replaced when they change. */
  #names: readonly string[] = [];

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#decoder = kernel.find("decoder");
    this.#feeds = kernel.find("feeds");
    this.#configuration = kernel.find("configuration");
    this.#instances = kernel.find("instances");
    this.#mesh = kernel.find("mesh");
    this.#demand = kernel.find("demand");
    this.#evacuations = kernel.find("evacuations");
    this.#bound = kernel.find("settings").coldUpstreams;
    this.#tasks = new TaskGroup(this.#clock, this.#logger);
    this.#feeds.onChange("instances", (records) => this.#apply(records));
    this.#configuration.onChange(() => this.#trackConfigured());
  }

  start(): void {
    this.#tasks.run("check_cold_upstreams", async (signal) => {
      while (!signal.aborted) {
        this.check();
        await this.#clock.sleep(CHECK_INTERVAL_MS, signal);
      }
    });
  }

  stop(): Promise<void> {
    return this.#tasks.stop();
  }

  /** Number of upstreams that are treated as cold. */
  get size(): number {
    const now = this.#clock.now();
    return [...this.#states.values()]
      .filter(({ coldStart }) => coldStart.findPhase(now) === "cold").length;
  }

  /**
   * Finds the rate at which a request may be sent to an instance; undefined if
   * it is warm. Called when a request of a caller is about to be sent.
   */
  findRate(
    instance: Instance,
    statedPerSecond: number | undefined,
  ): ColdRate | undefined {
    if (!this.#traffic.isRunning) {
      this.#observePeers();
      this.#traffic.recordRequest();
    }
    const state = this.#find(instance);
    if (state === undefined) {
      return undefined;
    }
    const now = this.#clock.now();
    this.#checkEvacuation(state);
    const phase = state.coldStart.findPhase(now);
    if (phase === "warm") {
      return undefined;
    }
    const names = this.#names;
    const rate = state.updateRate(
      names,
      statedPerSecond,
      now,
      () =>
        planColdShare({
          process: state.process,
          phase,
          growth: state.coldStart.growth,
          coldPerSecond: state.profile.requestsPerS,
          statedPerSecond,
          bound: this.#bound,
          names,
          ownName: this.#mesh.ownEntry.name,
        }),
    );
    return { rate, includesStatedLimit: phase === "cold" };
  }

  /** Applies what a response says. */
  record(
    instance: Instance,
    { sentAt, isServed, coldLeftMs }: ColdStatement,
  ): void {
    const state = this.#find(instance);
    if (state === undefined) {
      return;
    }
    const now = this.#clock.now();
    if (coldLeftMs !== undefined) {
      state.coldStart.applyStatement(coldLeftMs, sentAt, now);
    }
    if (isServed) {
      state.coldStart.recordAnswer(now);
    }
    this.#log(state);
  }

  /** Updates what depends on time and on other nodes. */
  check(): void {
    const names = this.#listNames();
    if (names.join() !== this.#names.join()) {
      this.#names = names;
    }
    this.#observeTraffic();
    const isCutOff = this.#isCutOff;
    const now = this.#clock.now();
    for (const state of this.#states.values()) {
      if (isCutOff) {
        state.doubt("cut-off", now);
      }
      this.#checkEvacuation(state);
      this.#log(state);
    }
  }

  dump(): unknown {
    const now = this.#clock.now();
    return [...this.#states.values()]
      .map(({ process, coldStart }) => ({
        process,
        phase: coldStart.findPhase(now),
      }))
      .filter(({ phase }) => phase !== "warm");
  }

  #find({ id, bornAt }: Instance): UpstreamState | undefined {
    // Most deployments have no service that starts cold.
    const state = this.#states.size === 0 ? undefined : this.#states.get(id);
    return state?.bornAt === bornAt ? state : undefined;
  }

  /**
   * Whether neither the store nor any other node has been heard lately. A node
   * that is the only one goes on with what it knows.
   */
  get #isCutOff(): boolean {
    return this.#feeds.isStale("instances") && this.#mesh.countNodes() > 1 &&
      this.#mesh.list().length === 0;
  }

  /**
   * Names of the nodes that share the rates. A node that has just started does
   * not know the others until it has read their list or heard of one.
   */
  #listNames(): readonly string[] {
    const isAlone = this.#mesh.countNodes() === 1 &&
      this.#feeds.table("nodes").next === 0;
    return isAlone ? [] : this.#mesh.listServingNames();
  }

  #observeTraffic(): void {
    if (!this.#traffic.isRunning) {
      this.#observePeers();
      if (this.#demand.hasReceivedRequest) {
        this.#traffic.recordRequest();
      }
    }
  }

  #observePeers(): void {
    const { peerLoads } = this.#mesh;
    const hadBegunBefore = this.#traffic.observePeers({
      hasPeers: this.#mesh.list().length > 0,
      hasRequests: this.#instances.list()
        .some(({ id }) => peerLoads.count(id) > 0),
    });
    if (hadBegunBefore) {
      this.#states.forEach((state) => state.doubtListing());
    }
  }

  #checkEvacuation(state: UpstreamState): void {
    const endedAt = this.#evacuations.endedAt(state.dataCentre);
    if (endedAt !== undefined && endedAt > state.listedAt) {
      state.doubt("evacuation", endedAt + MAX_ENTRY_DELAY_MS);
    }
  }

  #apply(records: readonly KeyRecord[]): void {
    for (const { key, value } of records) {
      if (value === undefined) {
        this.#states.delete(key);
      } else if (!this.#isKnownRenewal(key, value)) {
        this.#decoder.instance(key, value).match({
          Ok: (instance) => this.#applyEntry(instance, value),
          // `Instances` logs it and keeps the previous state, as is done here.
          Err: () => {},
        });
      }
    }
  }

  /** Whether an entry can say nothing new, so that it is not decoded. */
  #isKnownRenewal(id: string, value: string): boolean {
    const instance = this.#instances.find(id);
    if (instance === undefined || this.#findProfile(instance) === undefined) {
      this.#states.delete(id);
      return true;
    }
    const state = this.#states.get(id);
    return state !== undefined && !state.isAwaitingEntry &&
      instance.coldLeftMs === undefined &&
      state.entry === this.#decoder.removeRenewalCount(value);
  }

  #applyEntry(instance: Instance, value: string): void {
    const now = this.#clock.now();
    const known = this.#find(instance);
    if (known === undefined) {
      this.#track(instance);
    } else {
      known.applyEntry(instance.coldLeftMs ?? 0, now);
    }
    const state = this.#find(instance);
    if (state !== undefined) {
      state.entry = this.#decoder.removeRenewalCount(value);
      this.#log(state);
    }
  }

  /** Begins to track a process that this node lists for the first time. */
  #track(instance: Instance): void {
    const profile = this.#findProfile(instance);
    if (profile !== undefined) {
      const state = new UpstreamState(instance, profile, this.#clock.now());
      const processAgeMs = this.#clock.wallTime() - instance.bornAt;
      state.list(instance, processAgeMs, this.#traffic.isRunning);
      this.#states.set(instance.id, state);
    }
  }

  #trackConfigured(): void {
    for (const instance of this.#instances.list()) {
      const profile = this.#findProfile(instance);
      const known = this.#find(instance);
      if (profile === undefined) {
        this.#states.delete(instance.id);
      } else if (known === undefined || !known.hasProfile(profile)) {
        this.#track(instance);
      }
    }
  }

  #findProfile({ service }: Instance): ColdStartProfile | undefined {
    return this.#configuration.current?.services
      .find(({ name }) => name === service)?.coldStart;
  }

  #log(state: UpstreamState): void {
    const change = state.findChange(this.#clock.now());
    if (change !== undefined) {
      this.#logger.info(`upstream_${change}`, {
        instance: state.id,
        data_centre: state.dataCentre,
        reason: change === "cold" ? state.reason : undefined,
        per_second: state.profile.requestsPerS,
      });
    }
  }
}
