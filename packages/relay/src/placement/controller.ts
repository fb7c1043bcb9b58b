/**
 * Forms, repairs and dissolves groups while this node holds placement.
 *
 * @module
 */
import {
  type Clock,
  describeError,
  type Logger,
  type Service,
  TaskGroup,
} from "@zinniahill/kernel";
import type { CurrentConfiguration } from "../routing/current-configuration.ts";
import { createGroupName, type Group, Groups } from "../hosts/groups.ts";
import type { Feeds } from "../feeds/feeds.ts";
import type { Instances } from "../hosts/instances.ts";
import type { EngineProfile, ServiceProfile } from "../model/configuration.ts";
import type { Mesh } from "../peers/mesh.ts";
import type { RelayKernel } from "../services.ts";
import type { Demand } from "./demand.ts";
import { type FormingGroup, GroupFormer } from "./group-former.ts";
import { FreeHosts, readDomain } from "./free-hosts.ts";
import { GroupChecker } from "./group-checker.ts";
import { GroupDissolver } from "./group-dissolver.ts";
import type { HolderElector } from "./holder-elector.ts";
import { HostHealth } from "./host-health.ts";
import { WeightLoadLimiter } from "./weight-load-limiter.ts";
import { OrderSender } from "./order-sender.ts";
import { createPlan, type Formation, type Plan } from "./plan.ts";
import { WeightStager } from "./weight-stager.ts";
import { RELISTING_MS, UnlistedLeads } from "./unlisted-leads.ts";

const CHECK_INTERVAL_MS = 500;
/** Changes that come together are looked at together. */
const COLLECT_MS = 40;
/** Without a new host for this long, the list counts as complete. */
const GROWTH_MS = 500;
/** After placement moves, the first orders wait for a read of the store. */
const SETTLE_MS = 300;
/** Epochs of a later holder are always higher, whatever it has read. */
const EPOCHS_PER_FENCE = 10_000;

/** A service with engines. */
interface EngineService {
  readonly name: string;
  readonly engine: EngineProfile;
}

/** Gives orders so that every model is served by whole groups. */
export class PlacementController implements Service {
  #clock: Clock;
  #logger: Logger;
  #configuration: CurrentConfiguration;
  #feeds: Feeds;
  #instances: Instances;
  #groups: Groups;
  #mesh: Mesh;
  #holder: HolderElector;
  #demand: Demand;
  #unlistedLeads: UnlistedLeads;
  #tasks: TaskGroup;
  #orders: OrderSender;
  #health: HostHealth;
  #loads: WeightLoadLimiter;
  #formations: GroupFormer;
  #stagings: WeightStager;
  #endings: GroupDissolver;
  #freeHosts: FreeHosts;
  #highestEpoch = 0;
  /** Groups and hosts that a task is working on. */
  #busyGroups = new Set<string>();
  #busyHosts = new Set<string>();
  /** Members of groups that are being formed, by group name. */
  #forming = new Map<string, FormingGroup>();
  #checks: GroupChecker;

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#configuration = kernel.find("configuration");
    this.#feeds = kernel.find("feeds");
    this.#instances = kernel.find("instances");
    this.#groups = kernel.find("groups");
    this.#mesh = kernel.find("mesh");
    this.#holder = kernel.find("holder");
    this.#demand = kernel.find("demand");
    this.#unlistedLeads = new UnlistedLeads(kernel);
    this.#tasks = new TaskGroup(this.#clock, this.#logger);
    this.#orders = new OrderSender(kernel);
    this.#health = new HostHealth(kernel, this.#orders);
    this.#loads = new WeightLoadLimiter(
      this.#clock,
      () => this.#demand.hasReceivedRequest,
    );
    this.#formations = new GroupFormer(kernel, this.#orders, this.#loads);
    this.#stagings = new WeightStager(kernel, this.#orders, this.#loads);
    this.#endings = new GroupDissolver(kernel, this.#orders);
    this.#freeHosts = new FreeHosts(kernel, this.#health, this.#stagings);
    this.#checks = new GroupChecker(kernel, {
      health: this.#health,
      endings: this.#endings,
      isBusy: ({ name }) => this.#busyGroups.has(name),
      run: (group, work) => this.#runOnGroup(group, "check", work),
      listFree: (service) =>
        this.#freeHosts.list(
          service,
          this.#listStanding(service),
          this.#busyHosts,
        ),
    });
  }

  start(): void {
    this.#mesh.onMessage("suspect", ({ group, epoch, instance }) => {
      this.#groups.suspect(group, epoch, `peer about ${instance}`);
      this.checkGroup(group, epoch);
    });
    this.#tasks.run("watch_instances", (signal) => this.#watch(signal));
    this.#tasks.repeat("evaluate", CHECK_INTERVAL_MS, () => {
      this.#evaluate();
      return Promise.resolve();
    });
  }

  stop(): Promise<void> {
    return this.#tasks.stop();
  }

  /** Asks every member of a suspected group, once this node gives the orders. */
  checkGroup(name: string, epoch: number): void {
    this.#checks.request(name, epoch);
  }

  /** Loads of weights that this node has permitted and that go on. */
  get runningWeightLoads(): number {
    return this.#loads.running;
  }

  dump(): unknown {
    return {
      isHolder: this.#holder.isHolder,
      forming: [...this.#forming.keys()],
      busyHosts: [...this.#busyHosts],
      staging: this.#stagings.dump(),
      health: this.#health.dump(),
      loads: this.#loads.running,
      unlistedLeads: this.#unlistedLeads.dump(),
      pendingChecks: this.#checks.dump(),
    };
  }

  async #watch(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#instances.changed.wait(signal);
      await this.#clock.sleep(COLLECT_MS, signal);
      this.#evaluate();
    }
  }

  #evaluate(): void {
    if (!this.#holder.isHolder || this.#holder.heldMs < SETTLE_MS) {
      return;
    }
    this.#noteEpochs();
    this.#checks.requestPending();
    for (const service of this.#listEngineServices()) {
      this.#repair(service);
      this.#fill(service);
    }
  }

  #listEngineServices(): EngineService[] {
    const services = this.#configuration.current?.services ?? [];
    return services.flatMap(({ name, engine }: ServiceProfile) =>
      engine === undefined ? [] : [{ name, engine }]
    );
  }

  #noteEpochs(): void {
    for (const { epoch } of this.#groups.list()) {
      this.#highestEpoch = Math.max(this.#highestEpoch, epoch);
    }
  }

  #takeEpoch(): number {
    const least = this.#holder.fence * EPOCHS_PER_FENCE;
    this.#highestEpoch = Math.max(this.#highestEpoch, least) + 1;
    return this.#highestEpoch;
  }

  /** Ends groups that lost a member, and goes on with those left half-way. */
  #repair(service: EngineService): void {
    for (const group of this.#groups.list()) {
      if (
        group.service !== service.name || this.#busyGroups.has(group.name) ||
        this.#forming.has(group.name) || this.#isAbandoned(group) ||
        !this.#isLed(group)
      ) {
        continue;
      }
      const size = findModel(service, group.model)?.hostCount ?? 0;
      const isWhole = group.members.length === size &&
        group.members.every((member) => !this.#health.isMissing(member));
      if (group.state === "open" || group.state === "closing") {
        this.#repairServing(group, isWhole);
      } else if (
        isWhole && group.state !== "broken" &&
        group.members.every(({ isDraining }) => !isDraining)
      ) {
        this.#adopt(service, group);
      } else {
        this.#runOnGroup(
          group,
          "dissolve",
          (signal) =>
            this.#endings.dissolve(
              group,
              isWhole ? `it is ${group.state}` : "a member is away",
              signal,
            ),
        );
      }
    }
  }

  #repairServing(group: Group, isWhole: boolean): void {
    if (group.members.some(({ isDraining }) => isDraining)) {
      this.#runOnGroup(
        group,
        "drain",
        (signal) => this.#endings.drain(group, signal),
      );
    } else if (
      !isWhole && this.#feeds.sinceOutageMs("instances") >= RELISTING_MS
    ) {
      this.checkGroup(group.name, group.epoch);
    }
  }

  /** Whether the lead can be given orders. */
  #isLed({ lead }: Group): boolean {
    return lead !== undefined && !this.#health.isMissing(lead);
  }

  /** Opens a group that another holder had begun to form. */
  #adopt(service: EngineService, group: Group): void {
    const model = findModel(service, group.model)!;
    const forming: FormingGroup = {
      name: group.name,
      epoch: group.epoch,
      model,
      engine: service.engine,
      members: group.members.map(({ id }) => id),
      membersToLoad: new Set(),
      stagingHosts: new Set(),
      loadPriority: 0,
    };
    const born = new Map(group.members.map(({ id, bornAt }) => [id, bornAt]));
    const areReady = group.members.every(({ engine }) =>
      engine?.membership?.state === "ready"
    );
    if (areReady) {
      this.#runFormation(
        forming,
        (signal) => this.#formations.open(forming, born, signal),
      );
    }
  }

  /** Forms groups of free hosts and stages weights on spares. */
  #fill(service: EngineService): void {
    const plan = this.#createPlan(service);
    plan.formations.forEach((formation) => this.#form(service, formation));
    for (const staging of plan.stagings) {
      const { host } = staging;
      if (!this.#stagings.has(host)) {
        const isBusy = () => this.#busyHosts.has(host);
        this.#tasks.run(
          `stage_${host}`,
          (signal) =>
            this.#stagings.stage(service.engine, staging, isBusy, signal),
        );
      }
    }
  }

  #createPlan(service: EngineService): Plan {
    const groups = this.#listStanding(service.name);
    const counts = new Map<string, number>();
    const domainModels = new Map<string, string[]>();
    const note = (model: string, domain: string) => {
      counts.set(model, (counts.get(model) ?? 0) + 1);
      domainModels.set(domain, [...domainModels.get(domain) ?? [], model]);
    };
    for (const group of groups) {
      if (!this.#forming.has(group.name)) {
        note(group.model, readDomain(group.members[0]));
      }
    }
    for (const { model, members } of this.#forming.values()) {
      note(model.name, readDomain(this.#instances.find(members[0]!)));
    }
    return createPlan({
      engine: service.engine,
      free: this.#freeHosts.list(service.name, groups, this.#busyHosts),
      groupCounts: counts,
      domainModels,
      demandShares: this.#demand.computeShares(service.engine),
      unsettledDomains: new Set(
        groups.filter(({ name }) => this.#busyGroups.has(name))
          .map(({ members }) => readDomain(members[0])),
      ),
      hasNewHosts: this.#clock.now() - this.#instances.lastAddedAt < GROWTH_MS,
    });
  }

  /** Whether a group could not be formed and was never ordered to open. */
  #isAbandoned({ name }: Group): boolean {
    return !this.#forming.has(name) && this.#formations.isUnopened(name);
  }

  /**
   * Whether a group's members are not free for another one. A lead that does
   * not answer may still serve; one that the store no longer lists is told to
   * leave first, as it may only be cut off from the store. A group that was
   * never ordered to open serves nobody, whatever has become of its lead.
   */
  #isStanding(group: Group): boolean {
    if (this.#isAbandoned(group)) {
      return false;
    }
    if (group.lead !== undefined || this.#busyGroups.has(group.name)) {
      return true;
    }
    const standing = this.#unlistedLeads.getStatus(group);
    if (standing === "unknown") {
      this.#runOnGroup(
        group,
        "release_lead",
        (signal) => this.#unlistedLeads.release(group, signal),
      );
    }
    return standing !== "gone";
  }

  #listStanding(service: string): Group[] {
    return this.#groups.list().filter((group) =>
      group.service === service && this.#isStanding(group)
    );
  }

  #form(service: EngineService, formation: Formation): void {
    const epoch = this.#takeEpoch();
    const lead = this.#instances.find(formation.members[0]!);
    if (lead === undefined) {
      return;
    }
    const forming: FormingGroup = {
      ...formation,
      name: createGroupName(formation.model, epoch, lead),
      epoch,
      model: findModel(service, formation.model)!,
      engine: service.engine,
      stagingHosts: new Set(
        formation.members.filter((id) => this.#stagings.find(id) !== undefined),
      ),
    };
    this.#runFormation(
      forming,
      (signal) => this.#formations.form(forming, formation, signal),
    );
  }

  #runFormation(
    forming: FormingGroup,
    work: (signal: AbortSignal) => Promise<void>,
  ): void {
    const { name, epoch, members } = forming;
    this.#forming.set(name, forming);
    members.forEach((id) => this.#busyHosts.add(id));
    this.#tasks.run(`form_${name}`, async (signal) => {
      try {
        await work(signal);
      } catch (failure) {
        this.#logger.warn("group_formation_failed", {
          group: name,
          epoch,
          error: describeError(failure),
        });
        await this.#health.probeAll(members, signal);
      } finally {
        this.#forming.delete(name);
        members.forEach((id) => this.#busyHosts.delete(id));
        this.#instances.changed.notify();
      }
    });
  }

  #runOnGroup(
    group: Group,
    name: string,
    work: (signal: AbortSignal) => Promise<void>,
  ): void {
    this.#busyGroups.add(group.name);
    this.#tasks.run(`${name}_${group.name}`, async (signal) => {
      try {
        await work(signal);
      } catch (failure) {
        this.#logger.warn("group_task_failed", {
          task: name,
          group: group.name,
          error: describeError(failure),
        });
      } finally {
        this.#busyGroups.delete(group.name);
        this.#instances.changed.notify();
      }
    });
  }
}

function findModel({ engine }: EngineService, name: string) {
  return engine.models.find((model) => model.name === name);
}
