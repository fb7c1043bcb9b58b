/**
 * Reducer of the control stream: the same records in the same order give
 * every node the same state. It reads no clock.
 *
 * @module
 */
import type {
  ControlRecord,
  ControlRecordOf,
  ControlSnapshot,
  GroupPhase,
  GroupState,
  LeaseState,
} from "@zinniahill/schema";
import { createPosition, findEra } from "./log-position.ts";

/** Whether a record was accepted, and if not, why. */
export type Decision =
  | { readonly accepted: true }
  | { readonly accepted: false; readonly reason: string };

const ACCEPTED: Decision = { accepted: true };

function refuse(reason: string): Decision {
  return { accepted: false, reason };
}

/**
 * Number of decisions that are remembered. Writers repeat an append within
 * seconds, so the window only has to cover the records of that time; forming
 * 150 groups again takes about 450 records.
 */
export const DECISION_WINDOW = 512;

/**
 * Kinds whose decisions are remembered by id. A repeated lease record is
 * refused because of its basis, and a checkpoint changes nothing.
 */
const IS_REMEMBERED: {
  readonly [Kind in ControlRecord["kind"]]: boolean;
} = {
  "configuration": true,
  "lease": false,
  "group-assigned": true,
  "group-loading": true,
  "group-ready": true,
  "group-draining": true,
  "group-retired": true,
  "host-released": true,
  "host-drained": true,
  "checkpoint": false,
};

const NO_CONFIGURATION = { version: 0, text: "", author: "" };

/** Phases that a group may enter next, by phase. */
const NEXT_PHASES: { readonly [Phase in GroupPhase]: readonly GroupPhase[] } = {
  assigned: ["loading", "draining", "retired"],
  loading: ["ready", "draining", "retired"],
  ready: ["draining", "retired"],
  draining: ["retired"],
  retired: [],
};

interface HeldHost {
  readonly host: string;
  readonly group: string;
  readonly scope: string;
}

type Handler<Kind extends ControlRecord["kind"]> = (
  record: ControlRecordOf<Kind>,
  /** Position of the record, which is its offset in era 0. */
  offset: number,
) => Decision;

/** Applies control records in the order of their offsets. */
export class ControlReducer {
  #asOf = 0;
  #lastId = "";
  #era = 0;
  #configuration: ControlSnapshot["configuration"] = NO_CONFIGURATION;
  #leases = new Map<string, LeaseState>();
  #groups = new Map<string, GroupState>();
  #heldHosts = new Map<string, HeldHost>();
  #drainedHosts = new Set<string>();
  #decisions = new Map<string, boolean>();

  /** Offset of the last record that the state includes. */
  get asOf(): number {
    return this.#asOf;
  }

  /** The configuration in force; its version is 0 when there is none. */
  get configuration(): ControlSnapshot["configuration"] {
    return this.#configuration;
  }

  /** Leases by scope. */
  get leases(): ReadonlyMap<string, LeaseState> {
    return this.#leases;
  }

  /** Groups that are not retired, by id. */
  get groups(): ReadonlyMap<string, GroupState> {
    return this.#groups;
  }

  /** Hosts of retired groups whose unload is not confirmed. */
  get heldHosts(): ReadonlyMap<string, HeldHost> {
    return this.#heldHosts;
  }

  /** Hosts that an operator has taken out of service. */
  get drainedHosts(): ReadonlySet<string> {
    return this.#drainedHosts;
  }

  /**
   * Applies one record; records must come in the order of their offsets. The
   * first record with an id decides, and a repeat of it changes nothing. A
   * record that names an earlier era than one before it is refused: its writer
   * did not know that the log was restored, and might repeat lost offsets.
   */
  apply(offset: number, record: ControlRecord): Decision {
    this.#asOf = Math.max(this.#asOf, offset);
    this.#lastId = record.id;
    if (this.#decisions.has(record.id)) {
      return refuse("the record repeats one that has been decided");
    }
    const { era = 0 } = record;
    if (era < this.#era) {
      return refuse("the log was restored after the record was made");
    }
    this.#era = era;
    const handler = this.#handlers[record.kind] as Handler<typeof record.kind>;
    const decision = handler(record, createPosition(era, offset));
    if (IS_REMEMBERED[record.kind]) {
      this.#remember(record.id, decision);
    }
    return decision;
  }

  /** Whether a record was accepted; undefined if it is not remembered. */
  findDecision(id: string): boolean | undefined {
    return this.#decisions.get(id);
  }

  /** Moves the state past an entry that holds no known record. */
  skipTo(offset: number): void {
    if (offset > this.#asOf) {
      this.#asOf = offset;
      this.#lastId = "";
    }
  }

  /** Returns the whole state for storage. */
  createSnapshot(): ControlSnapshot {
    return {
      asOf: this.#asOf,
      lastId: this.#lastId,
      era: this.#era,
      configuration: this.#configuration,
      leases: [...this.#leases.values()],
      groups: [...this.#groups.values()],
      heldHosts: [...this.#heldHosts.values()],
      drainedHosts: [...this.#drainedHosts],
      decisions: [...this.#decisions].map(([id, accepted]) => ({
        id,
        accepted,
      })),
    };
  }

  /** Replaces the state by a stored snapshot. */
  restore(snapshot: ControlSnapshot): void {
    this.#asOf = snapshot.asOf;
    this.#lastId = snapshot.lastId;
    this.#era = snapshot.era;
    this.#configuration = snapshot.configuration;
    this.#leases = indexBy(snapshot.leases, ({ scope }) => scope);
    this.#groups = indexBy(snapshot.groups, ({ group }) => group);
    this.#heldHosts = indexBy(snapshot.heldHosts, ({ host }) => host);
    this.#drainedHosts = new Set(snapshot.drainedHosts);
    this.#decisions = new Map(
      snapshot.decisions.map(({ id, accepted }) => [id, accepted]),
    );
  }

  /** Whether a host belongs to no group and is not held by a retired one. */
  isFree(host: string): boolean {
    return !this.#heldHosts.has(host) && this.findGroup(host) === undefined;
  }

  /** Returns the group that a host belongs to. */
  findGroup(host: string): GroupState | undefined {
    return [...this.#groups.values()].find(({ hosts }) => hosts.includes(host));
  }

  readonly #handlers: {
    readonly [Kind in ControlRecord["kind"]]: Handler<Kind>;
  } = {
    "configuration": (record, offset) => {
      if (record.basis !== this.#configuration.version) {
        return refuse(`version ${this.#configuration.version} is in force`);
      }
      const { text, author } = record;
      this.#configuration = { version: offset, text, author };
      return ACCEPTED;
    },
    "lease": (record, offset) => this.#applyLease(record, offset),
    "group-assigned": (record, offset) => this.#assignGroup(record, offset),
    "group-loading": (record, offset) =>
      this.#changePhase(record, "loading", offset),
    "group-ready": (record, offset) =>
      this.#changePhase(record, "ready", offset),
    "group-draining": (record, offset) =>
      this.#changePhase(record, "draining", offset),
    "group-retired": (record, offset) => this.#retireGroup(record, offset),
    "host-released": (record) => {
      const held = this.#heldHosts.get(record.host);
      if (!this.#isFenceCurrent(record)) {
        return refuse("the fencing number is not current");
      }
      if (held?.scope !== record.scope) {
        return refuse("the host is not held in this scope");
      }
      this.#heldHosts.delete(record.host);
      return ACCEPTED;
    },
    "host-drained": (record) => {
      if (record.drained) {
        this.#drainedHosts.add(record.host);
      } else {
        this.#drainedHosts.delete(record.host);
      }
      return ACCEPTED;
    },
    "checkpoint": () => ACCEPTED,
  };

  #remember(id: string, decision: Decision): void {
    this.#decisions.set(id, decision.accepted);
    if (this.#decisions.size > DECISION_WINDOW) {
      const [oldest] = this.#decisions.keys();
      this.#decisions.delete(oldest!);
    }
  }

  #isFenceCurrent(record: { scope: string; fence: number }): boolean {
    return this.#leases.get(record.scope)?.fence === record.fence;
  }

  #applyLease(
    record: ControlRecordOf<"lease">,
    offset: number,
  ): Decision {
    const current = this.#leases.get(record.scope);
    if (record.basis !== (current?.last ?? 0)) {
      return refuse("another lease record was appended first");
    }
    const isRenewal = record.fence !== 0;
    if (isRenewal && record.fence !== current?.fence) {
      return refuse("the fencing number is not current");
    }
    if (isRenewal && findEra(record.fence) < this.#era) {
      return refuse("the log was restored and may have lost a later claim");
    }
    this.#leases.set(record.scope, {
      scope: record.scope,
      holder: record.node,
      fence: isRenewal ? record.fence : offset,
      last: offset,
      lastId: record.id,
    });
    return ACCEPTED;
  }

  #assignGroup(
    record: ControlRecordOf<"group-assigned">,
    offset: number,
  ): Decision {
    if (!this.#isFenceCurrent(record)) {
      return refuse("the fencing number is not current");
    }
    if (this.#groups.has(record.group)) {
      return refuse("the group already exists");
    }
    const occupied = record.hosts.find((host) => !this.isFree(host));
    if (occupied !== undefined) {
      return refuse(`host ${occupied} is not free`);
    }
    this.#groups.set(record.group, {
      group: record.group,
      scope: record.scope,
      phase: "assigned",
      model: record.model,
      version: record.version,
      hosts: record.hosts,
      fabricDomain: record.fabricDomain,
      dataCentre: record.dataCentre,
      ...(record.replaces === undefined ? {} : { replaces: record.replaces }),
      fence: record.fence,
      since: offset,
    });
    return ACCEPTED;
  }

  #changePhase(
    record: { scope: string; fence: number; group: string },
    phase: GroupPhase,
    offset: number,
  ): Decision {
    const group = this.#groups.get(record.group);
    if (!this.#isFenceCurrent(record) || group?.scope !== record.scope) {
      return refuse("the fencing number or the group is not current");
    }
    if (!NEXT_PHASES[group.phase].includes(phase)) {
      return refuse(`the phase cannot change from ${group.phase} to ${phase}`);
    }
    this.#groups.set(record.group, {
      ...group,
      phase,
      fence: record.fence,
      since: offset,
    });
    return ACCEPTED;
  }

  #retireGroup(
    record: ControlRecordOf<"group-retired">,
    offset: number,
  ): Decision {
    const group = this.#groups.get(record.group);
    const decision = this.#changePhase(record, "retired", offset);
    if (!decision.accepted || group === undefined) {
      return decision;
    }
    this.#groups.delete(record.group);
    for (const host of group.hosts) {
      if (!record.released.includes(host)) {
        const { group: id, scope } = group;
        this.#heldHosts.set(host, { host, group: id, scope });
      }
    }
    return ACCEPTED;
  }
}

function indexBy<Item>(
  items: readonly Item[],
  key: (item: Item) => string,
): Map<string, Item> {
  return new Map(items.map((item) => [key(item), item]));
}
