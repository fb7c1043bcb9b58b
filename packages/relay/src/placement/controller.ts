/**
 * Forms, repairs and dissolves groups while this node holds placement.
 *
 * @module
 */
import type { Clock, Logger, Service } from "@zinniahill/kernel";
import {
  createGroupPlan,
  type Formation,
  type Staging,
  type Warming,
} from "@zinniahill/policy";
import type { CurrentConfiguration } from "../routing/current-configuration.ts";
import { dropOldest } from "../drop-oldest.ts";
import { createGroupName, type Groups } from "../hosts/groups.ts";
import type { Instances } from "../hosts/instances.ts";
import { createProcessKey, type Instance } from "../model/instance.ts";
import type { Mesh } from "../peers/mesh.ts";
import type { ProcessExaminer } from "../routing/process-examiner.ts";
import type { RelayKernel } from "../services.ts";
import { Conversions } from "./conversions.ts";
import {
  type EngineService,
  findModel,
  listEngineServices,
} from "./engine-service.ts";
import { EpochSequence } from "./epoch-sequence.ts";
import { type FormingGroup, GroupFormer } from "./group-former.ts";
import { EvacuatedHosts } from "./evacuated-hosts.ts";
import { FreeHosts } from "./free-hosts.ts";
import { GroupChecker } from "./group-checker.ts";
import { GroupDissolver } from "./group-dissolver.ts";
import { GroupRepairer } from "./group-repairer.ts";
import type { HolderElector } from "./holder-elector.ts";
import { HostHealth } from "./host-health.ts";
import { LoadedModels } from "./loaded-models.ts";
import { OccupyingGroups } from "./occupying-groups.ts";
import { OccupiedHosts } from "./occupied-hosts.ts";
import { OrderSender } from "./order-sender.ts";
import { PlacementTasks } from "./placement-tasks.ts";
import { PlanInputs } from "./plan-inputs.ts";
import { ReleasedHosts } from "./released-hosts.ts";
import { ReplaceableGroups } from "./replaceable-groups.ts";
import { SpareWarmer } from "./spare-warmer.ts";
import { UnlistedLeads } from "./unlisted-leads.ts";
import { WeightLoadLimiter } from "./weight-load-limiter.ts";
import { WeightStager } from "./weight-stager.ts";

const RECONCILE_INTERVAL_MS = 500;
/** Delay after a change, so that concurrent changes are handled together. */
const BATCH_DELAY_MS = 40;
/**
 * Delay before a new holder gives its first orders, so that it has read the
 * store.
 */
const TAKEOVER_DELAY_MS = 300;
/** The end of a process that is still listed is reported again after this. */
const REPORT_INTERVAL_MS = 1000;
/** Bounds the memory for processes that have ended. */
const MAX_REPORTED_ENDS = 1024;

/** Gives orders so that every model is served by complete groups. */
export class PlacementController implements Service {
  #clock: Clock;
  #logger: Logger;
  #configuration: CurrentConfiguration;
  #instances: Instances;
  #groups: Groups;
  #mesh: Mesh;
  #elector: HolderElector;
  #processExaminer: ProcessExaminer;
  #unlistedLeads: UnlistedLeads;
  #tasks: PlacementTasks;
  #health: HostHealth;
  #loadLimiter: WeightLoadLimiter;
  #groupFormer: GroupFormer;
  #weightStager: WeightStager;
  #spareWarmer: SpareWarmer;
  #evacuatedHosts: EvacuatedHosts;
  #releasedHosts: ReleasedHosts;
  #occupiedHosts: OccupiedHosts;
  #replaceableGroups: ReplaceableGroups;
  #groupChecker: GroupChecker;
  #groupRepairer: GroupRepairer;
  #conversions: Conversions;
  #planInputs: PlanInputs;
  #epochs = new EpochSequence();
  /** When this node last reported the end of a process to its peers. */
  #endsReportedAt = new Map<string, number>();

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#configuration = kernel.find("configuration");
    this.#instances = kernel.find("instances");
    this.#groups = kernel.find("groups");
    this.#mesh = kernel.find("mesh");
    this.#elector = kernel.find("holder");
    this.#processExaminer = kernel.find("processExaminer");
    const demand = kernel.find("demand");
    const replaceableGroups = new ReplaceableGroups(kernel);
    const occupiedHosts = new OccupiedHosts(kernel);
    const orderSender = new OrderSender(kernel, {
      replaceableGroups,
      occupiedHosts,
    });
    this.#replaceableGroups = replaceableGroups;
    this.#occupiedHosts = occupiedHosts;
    this.#unlistedLeads = new UnlistedLeads(
      kernel,
      orderSender,
      replaceableGroups,
    );
    this.#health = new HostHealth(kernel, orderSender);
    this.#loadLimiter = new WeightLoadLimiter(
      this.#clock,
      () => demand.hasReceivedRequest,
    );
    this.#groupFormer = new GroupFormer(
      kernel,
      orderSender,
      this.#loadLimiter,
      replaceableGroups,
    );
    this.#weightStager = new WeightStager(
      kernel,
      orderSender,
      this.#loadLimiter,
    );
    const warmer = new SpareWarmer(kernel, orderSender);
    this.#spareWarmer = warmer;
    this.#releasedHosts = new ReleasedHosts(kernel);
    const evacuatedHosts = new EvacuatedHosts(kernel);
    this.#evacuatedHosts = evacuatedHosts;
    const health = this.#health;
    const former = this.#groupFormer;
    const dissolver = new GroupDissolver(
      kernel,
      orderSender,
      replaceableGroups,
    );
    const tasks = new PlacementTasks(kernel, evacuatedHosts, health);
    this.#tasks = tasks;
    const occupying = new OccupyingGroups(kernel, {
      tasks,
      replaceableGroups,
      unlistedLeads: this.#unlistedLeads,
      evacuatedHosts,
      warmer,
    });
    const freeHosts = new FreeHosts(
      kernel,
      evacuatedHosts,
      health,
      this.#weightStager,
      this.#releasedHosts,
      new LoadedModels(kernel),
      occupiedHosts,
    );
    this.#groupChecker = new GroupChecker(kernel, {
      health,
      dissolver,
      unlistedLeads: this.#unlistedLeads,
      replaceableGroups,
      occupiedHosts,
      isBusy: (group) =>
        tasks.isBusy(group) || evacuatedHosts.includesGroup(group),
      runTask: (group, work) => tasks.runGroup(group, "check", work),
      listFreeHosts: (service) =>
        freeHosts.list(service, occupying.list(service), tasks.busyHosts),
    });
    this.#groupRepairer = new GroupRepairer(kernel, {
      tasks,
      health,
      former,
      dissolver,
      checker: this.#groupChecker,
      occupying,
      evacuatedHosts,
      warmer,
    });
    const conversions = new Conversions(
      kernel,
      tasks,
      dissolver,
      evacuatedHosts,
    );
    this.#conversions = conversions;
    this.#planInputs = new PlanInputs(kernel, {
      tasks,
      occupying,
      freeHosts,
      health,
      evacuatedHosts,
      conversions,
      loadLimiter: this.#loadLimiter,
    });
  }

  start(): void {
    this.#mesh.onMessage("suspect", ({ group, epoch, instance, hasEnded }) => {
      this.#groups.suspect(group, epoch, `peer report about ${instance}`);
      this.#groupChecker.request(group, epoch, hasEnded ? "ended" : "stalled");
    });
    this.#processExaminer
      .onEnded((instance) => this.#reportEnd(instance));
    this.#tasks.run(
      "watch_instances",
      (signal) => this.#watchInstances(signal),
    );
    this.#tasks.repeat("evaluate", RECONCILE_INTERVAL_MS, () => {
      this.#reconcile();
      return Promise.resolve();
    });
  }

  stop(): Promise<void> {
    return this.#tasks.stop();
  }

  /** Checks all members of a stalled group, once this node holds placement. */
  checkGroup(name: string, epoch: number): void {
    this.#groupChecker.request(name, epoch, "stalled");
  }

  /** Suspects the group of a process that has ended, on all nodes. */
  #reportEnd(instance: Instance): void {
    const listed = this.#instances.find(instance.id);
    const { membership } = listed?.engine ?? {};
    if (membership === undefined || listed?.bornAt !== instance.bornAt) {
      return;
    }
    const { group, epoch } = membership;
    this.#groups.suspect(group, epoch, `end of ${instance.id}`);
    this.#groupChecker.request(group, epoch, "ended");
    const process = createProcessKey(instance);
    const now = this.#clock.now();
    const reportedAt = this.#endsReportedAt.get(process) ?? -Infinity;
    if (now - reportedAt >= REPORT_INTERVAL_MS) {
      this.#endsReportedAt.set(process, now);
      dropOldest(this.#endsReportedAt, MAX_REPORTED_ENDS);
      this.#mesh.broadcast({
        kind: "suspect",
        instance: instance.id,
        group,
        epoch,
        hasEnded: true,
      });
    }
  }

  /** Number of weight loads in progress that this node has permitted. */
  get runningWeightLoads(): number {
    return this.#loadLimiter.runningCount;
  }

  dump(): unknown {
    return {
      isHolder: this.#elector.isHolder,
      ...this.#tasks.dump(),
      conversions: this.#conversions.dump(),
      staging: this.#weightStager.dump(),
      warming: this.#spareWarmer.dump(),
      health: this.#health.dump(),
      loads: this.#loadLimiter.runningCount,
      unlistedLeads: this.#unlistedLeads.dump(),
      releasedHosts: this.#releasedHosts.dump(),
      occupiedHosts: this.#occupiedHosts.dump(),
      replaceableGroups: this.#replaceableGroups.dump(),
      pendingChecks: this.#groupChecker.dump(),
    };
  }

  async #watchInstances(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#instances.changed.wait(signal);
      await this.#clock.sleep(BATCH_DELAY_MS, signal);
      this.#reconcile();
    }
  }

  #reconcile(): void {
    if (!this.#elector.isHolder || this.#elector.heldMs < TAKEOVER_DELAY_MS) {
      return;
    }
    this.#recordEpochs();
    this.#groupChecker.requestPending();
    const services = this.#configuration.current?.services ?? [];
    for (const service of listEngineServices(services)) {
      this.#groupRepairer.repair(service);
      this.#carryOutPlan(service);
    }
  }

  #recordEpochs(): void {
    for (const { name, epoch } of this.#groups.list()) {
      if (!this.#epochs.record(epoch, this.#elector.fence)) {
        this.#logger.warn("group_epoch_implausible", { group: name, epoch });
      }
    }
  }

  #carryOutPlan(service: EngineService): void {
    const plan = createGroupPlan(this.#planInputs.create(service));
    plan.formations.forEach((formation) =>
      this.#startFormation(service, formation)
    );
    plan.conversions.forEach((conversion) =>
      this.#conversions.begin(service, conversion)
    );
    plan.stagings.forEach((staging) => this.#startStaging(service, staging));
    plan.warmings.forEach((warming) => this.#startWarming(service, warming));
  }

  #startFormation(service: EngineService, formation: Formation): void {
    const epoch = this.#epochs.next(this.#elector.fence);
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
      stagingMembers: new Set(
        formation.members.filter((id) =>
          this.#weightStager.findStagingModel(id) !== undefined
        ),
      ),
    };
    this.#conversions.recordFormation(formation.fabricDomain, formation.model);
    this.#tasks.runFormation(
      forming,
      (signal) => this.#groupFormer.form(forming, formation, signal),
    );
  }

  #startWarming(service: EngineService, { host, model }: Warming): void {
    const instance = this.#instances.find(host);
    const profile = findModel(service, model);
    if (
      instance === undefined || profile === undefined ||
      // A spare alone would be a complete group of the model.
      profile.hostCount === 1 || !this.#spareWarmer.canWarm(instance)
    ) {
      return;
    }
    const epoch = this.#epochs.next(this.#elector.fence);
    this.#tasks.run(
      `warm_${host}`,
      (signal) => this.#spareWarmer.warm(instance, profile, epoch, signal),
    );
  }

  #startStaging({ engine }: EngineService, staging: Staging): void {
    const { host } = staging;
    if (this.#weightStager.hasStaging(host)) {
      return;
    }
    const isBusy = () => this.#tasks.busyHosts.has(host);
    this.#tasks.run(
      `stage_${host}`,
      (signal) =>
        this.#evacuatedHosts.runUntilEvacuated(
          [host],
          signal,
          (ending) => this.#weightStager.stage(engine, staging, isBusy, ending),
        ),
    );
  }
}
