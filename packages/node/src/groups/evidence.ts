/**
 * Evidence of hosts: which group may be served.
 *
 * @module
 */
import {
  type Clock,
  Condition,
  type Logger,
  type Service,
  TaskGroup,
} from "@zinniahill/kernel";
import { createSubset } from "@zinniahill/policy";
import type {
  EngineStatus,
  GroupState,
  PeerMessageOf,
  Settings,
} from "@zinniahill/schema";
import type { Peers } from "../peers/peers.ts";
import type { NodeKernel } from "../services.ts";
import type { ControlState } from "../state/control-state.ts";
import type { Departures } from "./departures.ts";
import { EvidenceReports } from "./evidence-reports.ts";
import { GroupProbe, isAbsence, type ProbeRound } from "./group-probe.ts";
import { type HostEvidence, HostEvidenceTable } from "./host-evidence.ts";
import type { Hosts } from "./hosts.ts";
import { ProbeChoice } from "./probe-choice.ts";
import { waitUpTo } from "./wait.ts";

/** A host that returns is served again after this many probe intervals. */
const SETTLE_INTERVALS = 2;
/** Rounds that suspicions cause are this far apart, whatever peers send. */
const SUSPICION_PAUSE_MS = 100;
/**
 * Part of a probe interval that a probe of a group in doubt may take. With the
 * default times, one begins 1.7 s after the first probe that was missed, before
 * the evidence expires, so that a host that goes on by then is not given up.
 */
const DOUBT_TIMEOUT_SHARE = 0.5;

/** A group that this node probes. */
interface Watch {
  readonly wake: Condition;
  /** Counts suspicions; those up to `cleared` were followed by a probe. */
  suspicions: number;
  cleared: number;
  /** No suspicion causes a probe before this time. */
  quietUntil: number;
  /** Whether the last round found every host in its role. */
  isGood: boolean;
}

/** Probes the groups that concern this node; one task for each group. */
export class Evidence implements Service {
  /** Notified whenever a group may have become servable, or not servable. */
  readonly changed = new Condition();
  #clock: Clock;
  #logger: Logger;
  #peers: Peers;
  #state: ControlState;
  #hosts: Hosts;
  #departures: Departures;
  #settings: Settings;
  #tasks: TaskGroup;
  #probe: GroupProbe;
  #table: HostEvidenceTable;
  #choice: ProbeChoice;
  /** The groups that were last chosen to be probed. */
  #chosen: ReadonlyMap<string, GroupState> = new Map();
  #watches = new Map<string, Watch>();
  #reports: EvidenceReports;

  constructor(kernel: NodeKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#peers = kernel.find("peers");
    this.#reports = new EvidenceReports(this.#peers);
    this.#state = kernel.find("state");
    this.#hosts = kernel.find("hosts");
    this.#departures = kernel.find("departures");
    this.#choice = new ProbeChoice(kernel, (group) => this.#isAbsent(group));
    this.#settings = kernel.find("settings");
    this.#tasks = new TaskGroup(this.#clock, this.#logger);
    this.#probe = new GroupProbe(
      this.#clock,
      kernel.find("engines"),
      (host) => this.#hosts.findAddress(host),
    );
    const intervalMs = this.#settings.timing["probe-interval"];
    this.#table = new HostEvidenceTable(SETTLE_INTERVALS * intervalMs);
  }

  async start(): Promise<void> {
    const { name, "data-centre": dataCentre } = this.#settings.node;
    const subset = await createSubset(name, dataCentre);
    this.#choice.useSubset(subset);
    this.#peers.onMessage("evidence", (_node, message) => {
      this.#onPeerEvidence(message);
    });
    this.#tasks.run("watch_groups", async (signal) => {
      while (!signal.aborted) {
        this.#startProbes();
        const intervalMs = this.#settings.timing["probe-interval"];
        await waitUpTo(this.#clock, this.#state.changed, intervalMs, signal);
      }
    });
    this.#tasks.run("watch_hosts", async (signal) => {
      while (!signal.aborted) {
        await this.#hosts.changed.wait(signal);
        this.changed.notify();
      }
    });
  }

  stop(): Promise<void> {
    return this.#tasks.stop();
  }

  dump(): unknown {
    return {
      hosts: Object.fromEntries(this.#table.all),
      probed: [...this.#watches.keys()],
    };
  }

  /** Returns what is known of a host. */
  find(host: string): HostEvidence {
    return this.#table.find(host);
  }

  /** Notes the status that a host gave in reply to an order. */
  noteStatus(host: string, status: EngineStatus, sentAt: number): void {
    this.#table.notePresent(host, { status }, sentAt);
    this.changed.notify();
  }

  /** Whether a host of the group is missing, if only for a moment. */
  isMissing({ hosts }: GroupState): boolean {
    return hosts.some((host) => this.find(host).missingSince !== undefined);
  }

  /**
   * Whether a host of the group is missing for good: it refuses connections, or
   * its last positive evidence has expired. One missed probe does not show
   * this, as a sound host may be silent for a second.
   */
  isGone({ hosts }: GroupState): boolean {
    return hosts.some((host) => {
      const { missingSince, hasRefused } = this.find(host);
      return missingSince !== undefined &&
        (hasRefused === true || !this.#isFresh(host));
    });
  }

  /** A group that may only be silent for a moment is probed more often. */
  #isInDoubt(group: GroupState): boolean {
    return this.isMissing(group) && !this.isGone(group);
  }

  /** Whether the host's own status is known and still counts. */
  hasFreshStatus(host: string): boolean {
    const { status, missingSince } = this.find(host);
    return status !== undefined && missingSince === undefined &&
      this.#isFresh(host);
  }

  /**
   * Notes that something speaks against a group, such as a broken stream. The
   * group is not served until a probe that begins after this is positive.
   */
  noteSuspect(group: string): void {
    const watch = this.#watches.get(group);
    if (watch !== undefined) {
      watch.suspicions++;
      watch.wake.notify();
      this.changed.notify();
    }
  }

  /** Whether a suspicion was noted and no probe has answered it yet. */
  isSuspect(group: string): boolean {
    const watch = this.#watches.get(group);
    return watch !== undefined && watch.suspicions !== watch.cleared;
  }

  /** Why a group is not served; undefined when it is. */
  findObstacle(group: GroupState): string | undefined {
    if (group.phase !== "ready") {
      return `the group is ${group.phase}`;
    }
    const watch = this.#watches.get(group.group);
    if (watch === undefined) {
      return "this node does not probe the group";
    }
    if (this.isSuspect(group.group)) {
      return "the group is suspect until it is probed again";
    }
    return group.hosts
      .map((host) => this.#findHostObstacle(host, group))
      .find((obstacle) => obstacle !== undefined);
  }

  /** Groups of a model that may be served now. */
  listServable(model: string): GroupState[] {
    return [...this.#watches.keys()]
      .map((id) => this.#state.control.groups.get(id))
      .filter((group) => group !== undefined)
      .filter((group) =>
        group.model === model && this.findObstacle(group) === undefined
      );
  }

  #findHostObstacle(host: string, group: GroupState): string | undefined {
    if (!this.#hosts.all.has(host)) {
      return `host ${host} is not in the host list`;
    }
    if (this.#departures.endsNewWork(host)) {
      return `host ${host} is leaving`;
    }
    const { missingSince, returnedAt, heardIn } = this.find(host);
    if (missingSince !== undefined) {
      return `host ${host} is missing`;
    }
    if (!this.#isFresh(host)) {
      return `host ${host} was not seen lately`;
    }
    if (returnedAt !== undefined) {
      return `host ${host} has returned but is not settled`;
    }
    return heardIn === group.group || this.#hasRole(host, group)
      ? undefined
      : `host ${host} does not serve this group`;
  }

  /** Whether the host's own status shows the right role and number. */
  #hasRole(host: string, group: GroupState): boolean {
    const { status } = this.find(host);
    const ignoresFence = this.#state.rules?.unfencedHosts.has(host) ?? false;
    return status?.group === group.group && status.role === "serving" &&
      (ignoresFence || status.fence >= group.fence);
  }

  #isFresh(host: string): boolean {
    const { seenAt } = this.find(host);
    const validMs = this.#settings.timing["evidence-validity"];
    return seenAt !== undefined && this.#clock.now() - seenAt <= validMs;
  }

  #startProbes(): void {
    this.#chosen = this.#choice.list();
    const groups = [...this.#chosen.values()];
    this.#table.retain(new Set(groups.flatMap(({ hosts }) => hosts)));
    for (const id of this.#chosen.keys()) {
      if (!this.#watches.has(id)) {
        this.#watches.set(id, {
          wake: new Condition(),
          suspicions: 0,
          cleared: 0,
          quietUntil: 0,
          isGood: false,
        });
        this.#tasks.run("probe_group", (signal) => this.#watch(id, signal));
      }
    }
  }

  #isAbsent(group: GroupState): boolean {
    return this.isMissing(group) ||
      group.hosts.some((host) =>
        this.#hosts.readAt !== undefined && !this.#hosts.all.has(host)
      );
  }

  #findChosen(id: string): GroupState | undefined {
    return this.#chosen.has(id)
      ? this.#state.control.groups.get(id)
      : undefined;
  }

  /** Probes one group until it no longer concerns this node. */
  async #watch(id: string, signal: AbortSignal): Promise<void> {
    const watch = this.#watches.get(id)!;
    try {
      for (
        let group = this.#findChosen(id);
        group !== undefined;
        group = this.#findChosen(id)
      ) {
        await this.#runRound(group, watch, signal);
        if (watch.suspicions === watch.cleared) {
          const pauseMs = this.#isInDoubt(group)
            ? SUSPICION_PAUSE_MS
            : this.#settings.timing["probe-interval"];
          await waitUpTo(this.#clock, watch.wake, pauseMs, signal);
        }
        if (watch.suspicions !== watch.cleared) {
          const pauseMs = Math.max(0, watch.quietUntil - this.#clock.now());
          await this.#clock.sleep(pauseMs, signal);
          watch.quietUntil = this.#clock.now() + SUSPICION_PAUSE_MS;
        }
      }
    } finally {
      this.#watches.delete(id);
      this.changed.notify();
    }
  }

  async #runRound(
    group: GroupState,
    watch: Watch,
    signal: AbortSignal,
  ): Promise<void> {
    const suspicions = watch.suspicions;
    const isDirect = !watch.isGood || suspicions !== watch.cleared ||
      this.#choice.needsDirectProbe(group);
    const memberAgeMs = this.#settings.timing["probe-interval"];
    const timeoutMs = this.#isInDoubt(group)
      ? memberAgeMs * DOUBT_TIMEOUT_SHARE
      : memberAgeMs;
    const options = { isDirect, timeoutMs, memberAgeMs, signal };
    const round = await this.#probe.run(group, options);
    if (signal.aborted) {
      return;
    }
    this.#apply(round);
    watch.cleared = suspicions;
    const current = this.#state.control.groups.get(group.group);
    if (current?.phase === "ready") {
      const faults = this.#listFaults(current, round);
      watch.isGood = faults.size === 0;
      this.#reports.send(current.hosts, faults);
    }
    this.changed.notify();
  }

  #apply({ startedAt, hosts }: ProbeRound): void {
    for (const [host, observation] of hosts) {
      if (isAbsence(observation)) {
        if (this.find(host).missingSince === undefined) {
          this.#logger.warn("host_missing", { host });
        }
        const isRefused = observation === "refused";
        this.#table.noteMissing(host, this.#clock.now(), isRefused);
      } else {
        this.#table.notePresent(host, observation, startedAt);
      }
    }
  }

  /** Hosts of a ready group that are missing or in a wrong role. */
  #listFaults(group: GroupState, { hosts }: ProbeRound): Set<string> {
    const faults = group.hosts.filter((host) => {
      const observation = hosts.get(host);
      if (observation === undefined || isAbsence(observation)) {
        return observation !== undefined;
      }
      return !("heardIn" in observation) && !this.#hasRole(host, group);
    });
    return new Set(faults);
  }

  /**
   * A peer's report stops a group at once but does not count longer than the
   * probe takes that it causes: one peer with a broken link must not take a
   * group away from all nodes.
   */
  #onPeerEvidence({ hosts }: PeerMessageOf<"evidence">): void {
    for (const { host, missing } of hosts) {
      const group = this.#state.control.findGroup(host);
      if (missing && group !== undefined) {
        this.noteSuspect(group.group);
      }
    }
  }
}
