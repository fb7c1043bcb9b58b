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
import {
  createGroupName,
  type Group,
  Groups,
  readGroupLead,
} from "../hosts/groups.ts";
import type { Instances } from "../hosts/instances.ts";
import type {
  EngineProfile,
  Service as ServiceProfile,
} from "../model/configuration.ts";
import type { Instance, Report } from "../model/instance.ts";
import type { Mesh } from "../peers/mesh.ts";
import type { RelayKernel } from "../services.ts";
import type { Demand } from "./demand.ts";
import { Formations, type FormingGroup } from "./formation.ts";
import type { Holder } from "./holder.ts";
import type { LeadRelease } from "./lead-release.ts";
import { LoadLimit } from "./loads.ts";
import { isMemberOf, Orders } from "./orders.ts";
import {
  createPlan,
  type Formation,
  type FreeHost,
  type Plan,
  type Staging,
} from "./plan.ts";

const CHECK_INTERVAL_MS = 500;
/** Changes that come together are looked at together. */
const COLLECT_MS = 40;
/** Without a new host for this long, the list counts as complete. */
const GROWTH_MS = 500;
/** After placement moves, the first orders wait for a read of the store. */
const SETTLE_MS = 300;
/** Epochs of a later holder are always higher, whatever it has read. */
const EPOCHS_PER_FENCE = 10_000;
/** A host that did not answer is asked again after this time. */
const MISSING_RETRY_MS = 1500;
/** An engine that is this many times slower than its profile is replaced. */
const SLOW_PACE = 2;
const SLOW_RETRY_MS = 6000;
const CLOSE_WAIT_MS = 10_000;
/** Time between two checks of the members of one suspected group. */
const RECHECK_MS = 400;

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
  #instances: Instances;
  #groups: Groups;
  #mesh: Mesh;
  #holder: Holder;
  #demand: Demand;
  #leadRelease: LeadRelease;
  #tasks: TaskGroup;
  #orders: Orders;
  #loads: LoadLimit;
  #formations: Formations;
  #highestEpoch = 0;
  /** Groups and hosts that a task is working on. */
  #busyGroups = new Set<string>();
  #busyHosts = new Set<string>();
  /** Hosts whose staging has begun or waits for permission to load. */
  #stagingRequested = new Set<string>();
  /** Models that spares are staging, by host. */
  #staging = new Map<string, string>();
  /** Members of groups that are being formed, by group name. */
  #forming = new Map<string, FormingGroup>();
  /** Hosts that did not answer, and until when they are left alone. */
  #missingUntil = new Map<string, number>();
  /** Hosts that were seen to be slow, and until when others go first. */
  #slowUntil = new Map<string, number>();
  #checkedAt = new Map<string, number>();
  /** Groups whose lead has gone and was told to leave. */
  #releasedLeads = new Set<string>();

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#configuration = kernel.find("configuration");
    this.#instances = kernel.find("instances");
    this.#groups = kernel.find("groups");
    this.#mesh = kernel.find("mesh");
    this.#holder = kernel.find("holder");
    this.#demand = kernel.find("demand");
    this.#leadRelease = kernel.find("leadRelease");
    this.#tasks = new TaskGroup(this.#clock, this.#logger);
    this.#orders = new Orders(kernel);
    this.#loads = new LoadLimit(this.#clock, () => this.#demand.hasBegun);
    this.#formations = new Formations(kernel, this.#orders, this.#loads);
  }

  start(): void {
    this.#mesh.on("suspect", ({ group, epoch, instance }) => {
      this.#groups.suspect(group, epoch, `peer about ${instance}`);
      this.check(group, epoch);
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

  /** Asks every member of a suspected group, if this node gives the orders. */
  check(name: string, epoch: number): void {
    const group = this.#groups.find(name, epoch);
    const isDue = this.#clock.now() - (this.#checkedAt.get(name) ?? -Infinity) >
      RECHECK_MS;
    if (
      group === undefined || !isDue || !this.#holder.isHolder ||
      this.#busyGroups.has(name)
    ) {
      return;
    }
    this.#checkedAt.set(name, this.#clock.now());
    this.#runOnGroup(group, "check", (signal) => this.#check(group, signal));
  }

  dump(): unknown {
    return {
      isHolder: this.#holder.isHolder,
      forming: [...this.#forming.keys()],
      busyHosts: [...this.#busyHosts],
      staging: Object.fromEntries(this.#staging),
      missing: [...this.#missingUntil.keys()],
      loads: this.#loads.running,
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
        this.#forming.has(group.name) || !this.#isLed(group)
      ) {
        continue;
      }
      const size = findModel(service, group.model)?.hosts ?? 0;
      const isWhole = group.members.length === size &&
        group.members.every((member) => !this.#isMissing(member));
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
          (signal) => this.#dissolve(group, signal),
        );
      }
    }
  }

  #repairServing(group: Group, isWhole: boolean): void {
    if (group.members.some(({ isDraining }) => isDraining)) {
      this.#runOnGroup(
        group,
        "drain",
        (signal) => this.#drain(group, signal),
      );
    } else if (!isWhole) {
      this.check(group.name, group.epoch);
    }
  }

  /** Whether the lead can be given orders. */
  #isLed({ lead }: Group): boolean {
    return lead !== undefined && !this.#isMissing(lead);
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
      loads: new Set(),
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
    plan.stagings.forEach((staging) => this.#stage(service, staging));
  }

  #createPlan(service: EngineService): Plan {
    const groups = this.#groups.list().filter((group) =>
      group.service === service.name && this.#isStanding(group)
    );
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
      free: this.#listFree(service, groups),
      groupCounts: counts,
      domainModels,
      demand: this.#demand.readShares(service.engine),
      isGrowing: this.#clock.now() - this.#instances.grownAt < GROWTH_MS,
    });
  }

  /**
   * Whether a group's members are not free for another one. A lead that does
   * not answer may still serve; one that the store no longer lists is told to
   * leave first, as it may only be cut off from the store.
   */
  #isStanding(group: Group): boolean {
    if (group.lead !== undefined || this.#busyGroups.has(group.name)) {
      return true;
    }
    const lead = readGroupLead(group.name);
    const listed = lead && this.#instances.find(lead.id);
    // A lead that is listed without the group has left it.
    if (
      lead === undefined || listed !== undefined ||
      this.#releasedLeads.has(group.name)
    ) {
      return false;
    }
    this.#runOnGroup(
      group,
      "release_lead",
      async (signal) => {
        const { name, epoch } = group;
        const { fence } = this.#holder;
        await this.#leadRelease.release(lead, name, epoch, fence, signal);
        this.#releasedLeads.add(name);
      },
    );
    return true;
  }

  #listFree(service: EngineService, standing: readonly Group[]): FreeHost[] {
    const taken = new Set(
      standing.flatMap(({ members }) => members.map(({ id }) => id)),
    );
    return this.#instances.listReady(service.name)
      .filter((instance) =>
        instance.engine !== undefined && !taken.has(instance.id) &&
        !this.#busyHosts.has(instance.id) && !this.#isMissing(instance)
      )
      .map(({ id, engine }) => ({
        id,
        fabricDomain: engine!.fabricDomain,
        lastModel: engine!.model,
        staged: engine!.staged,
        staging: this.#staging.get(id),
        isSlow: this.#isSlow(id),
      }));
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
        formation.members.filter((id) => this.#staging.has(id)),
      ),
    };
    this.#runFormation(
      forming,
      (signal) => this.#formations.form(forming, signal),
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
        await this.#findMissing(members, signal);
      } finally {
        this.#forming.delete(name);
        members.forEach((id) => this.#busyHosts.delete(id));
        this.#instances.changed.notify();
      }
    });
  }

  #stage(
    service: EngineService,
    { host, model, loadPriority }: Staging,
  ): void {
    if (this.#stagingRequested.has(host)) {
      return;
    }
    this.#stagingRequested.add(host);
    const { loadMs } = findModel(service, model)!;
    this.#tasks.run(`stage_${host}`, async (signal) => {
      let release = () => {};
      try {
        release = await this.#loads.acquire(
          service.engine,
          loadPriority,
          signal,
        );
        if (this.#busyHosts.has(host)) {
          return;
        }
        this.#staging.set(host, model);
        const hasModel = (staged: readonly string[]) => staged.includes(model);
        await this.#orders.give(
          host,
          { kind: "stage", model },
          ({ engine }) => hasModel(engine.staged),
          signal,
        );
        const until = this.#clock.now() + loadMs * 2;
        while (
          this.#clock.now() < until &&
          !hasModel(this.#instances.find(host)?.engine?.staged ?? [model])
        ) {
          await this.#clock.sleep(CHECK_INTERVAL_MS, signal);
        }
      } catch (failure) {
        this.#logger.warn("staging_failed", {
          instance: host,
          model,
          error: describeError(failure),
        });
      } finally {
        release();
        this.#staging.delete(host);
        this.#stagingRequested.delete(host);
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

  /** Ends a group of which a member is away or has left. */
  async #check(group: Group, signal: AbortSignal): Promise<void> {
    const service = this.#listEngineServices()
      .find(({ name }) => name === group.service);
    const size = service && findModel(service, group.model)?.hosts;
    const reports = await Promise.all(
      group.members.map((member) => this.#ask(member, signal)),
    );
    const present = reports.filter((report) =>
      isMemberOf(report?.engine.membership, group.name, group.epoch)
    );
    const isWhole = present.length === size;
    const slow = reports.filter((report) => (report?.pace ?? 1) >= SLOW_PACE);
    const canReplace = slow.length > 0 && service !== undefined &&
      slow.length <= this.#countSpares(service, group);
    this.#logger.info("group_checked", {
      group: group.name,
      epoch: group.epoch,
      present: present.length,
      listed: group.members.length,
      expected: size,
      slow: slow.length,
      can_replace_slow: canReplace,
    });
    if (!isWhole || canReplace) {
      await this.#dissolve(group, signal);
    }
  }

  /** Asks a member for its state and remembers if it is away or slow. */
  async #ask(
    member: Instance,
    signal: AbortSignal,
  ): Promise<Report | undefined> {
    const report = await this.#orders.ask(member, signal);
    if (report === undefined) {
      this.#noteMissing(member);
    } else if (report.pace >= SLOW_PACE) {
      this.#slowUntil.set(
        createProcessKey(member),
        this.#clock.now() + SLOW_RETRY_MS,
      );
    }
    return report;
  }

  /** Spares of the group's domain that can join without a load. */
  #countSpares(service: EngineService, { model, lead }: Group): number {
    const standing = this.#groups.list().filter((group) =>
      group.service === service.name && this.#isStanding(group)
    );
    return this.#listFree(service, standing).filter((host) =>
      host.fabricDomain === readDomain(lead) && !host.isSlow &&
      host.staged.includes(model)
    ).length;
  }

  /** Lets a group with a leaving member finish, then frees the others. */
  async #drain(group: Group, signal: AbortSignal): Promise<void> {
    const { name, epoch, lead } = group;
    if (lead === undefined) {
      return;
    }
    if (group.state === "open") {
      await this.#orders.give(
        lead.id,
        { kind: "close", group: name, epoch, isImmediate: false },
        ({ engine }) => engine.membership?.state !== "open",
        signal,
      );
    }
    const until = this.#clock.now() + CLOSE_WAIT_MS;
    const isServing = () => {
      const state = this.#groups.find(name, epoch)?.state;
      return state === "open" || state === "closing";
    };
    while (isServing() && this.#clock.now() < until) {
      await this.#clock.sleep(COLLECT_MS, signal);
    }
    await this.#dissolve(group, signal);
  }

  /**
   * Takes the lead out of its group, so that no other member can be missed by
   * an open lead when it joins elsewhere.
   */
  async #dissolve(group: Group, signal: AbortSignal): Promise<void> {
    const { name, epoch, lead } = group;
    if (lead === undefined || this.#instances.find(lead.id) === undefined) {
      return;
    }
    await this.#orders.give(
      lead.id,
      { kind: "leave", group: name, epoch },
      ({ engine }) => !isMemberOf(engine.membership, name, epoch),
      signal,
    );
    this.#logger.info("group_dissolved", { group: name, epoch, lead: lead.id });
    // The store shows the lead's leaving a moment later.
    const until = this.#clock.now() + MISSING_RETRY_MS;
    while (
      this.#clock.now() < until &&
      isMemberOf(
        this.#instances.find(lead.id)?.engine?.membership,
        name,
        epoch,
      )
    ) {
      await this.#clock.sleep(COLLECT_MS, signal);
    }
  }

  async #findMissing(
    members: readonly string[],
    signal: AbortSignal,
  ): Promise<void> {
    await Promise.all(members.map(async (id) => {
      const instance = this.#instances.find(id);
      if (instance === undefined) {
        return;
      }
      if (await this.#orders.ask(instance, signal) === undefined) {
        this.#noteMissing(instance);
      }
    }));
  }

  #noteMissing(instance: Instance): void {
    if (!this.#isMissing(instance)) {
      this.#logger.info("instance_missing", { instance: instance.id });
    }
    this.#missingUntil.set(
      createProcessKey(instance),
      this.#clock.now() + MISSING_RETRY_MS,
    );
  }

  #isSlow(id: string): boolean {
    const instance = this.#instances.find(id);
    const until = instance && this.#slowUntil.get(createProcessKey(instance));
    return until !== undefined && this.#clock.now() < until;
  }

  #isMissing(instance: Instance): boolean {
    const until = this.#missingUntil.get(createProcessKey(instance));
    return until !== undefined && this.#clock.now() < until;
  }
}

function createProcessKey({ id, bornAt }: Instance): string {
  return `${id}/${bornAt}`;
}

function findModel({ engine }: EngineService, name: string) {
  return engine.models.find((model) => model.name === name);
}

function readDomain(instance: Instance | undefined): string {
  return instance?.engine?.fabricDomain ?? "";
}
