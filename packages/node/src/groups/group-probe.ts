/**
 * One round of probes of a group.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";
import type { Engines } from "@zinniahill/clients";
import type { EngineStatus, GroupState } from "@zinniahill/schema";
import type { Sighting } from "./host-evidence.ts";

/** Why a host counts as missing. */
export type Absence =
  /** It did not answer in time, or its lead did not hear it. */
  | "silent"
  /** Nothing accepts connections at its address. */
  | "refused";

/** What one round says of a host. */
export type Observation = Sighting | Absence;

/** Whether an observation is that of a missing host. */
export function isAbsence(
  observation: Observation | undefined,
): observation is Absence {
  return typeof observation === "string";
}

/** What one round found; a host that is not in it was not observed. */
export interface ProbeRound {
  readonly startedAt: number;
  readonly hosts: ReadonlyMap<string, Observation>;
}

/** How a group is probed. */
export interface ProbeOptions {
  /** Whether every host is asked, and not only the lead. */
  readonly isDirect: boolean;
  readonly timeoutMs: number;
  /** A member that its lead has not heard for this long is missing. */
  readonly memberAgeMs: number;
  readonly signal: AbortSignal;
}

/** Probes the hosts of groups. */
export class GroupProbe {
  #clock: Clock;
  #engines: Engines;
  #findAddress: (host: string) => string | undefined;

  constructor(
    clock: Clock,
    engines: Engines,
    findAddress: (host: string) => string | undefined,
  ) {
    this.#clock = clock;
    this.#engines = engines;
    this.#findAddress = findAddress;
  }

  /** Asks the lead, and the other hosts if wanted, and combines the answers. */
  async run(group: GroupState, options: ProbeOptions): Promise<ProbeRound> {
    const startedAt = this.#clock.now();
    const asked = options.isDirect ? group.hosts : group.hosts.slice(0, 1);
    const answers = new Map(
      await Promise.all(asked.map(async (host) => {
        const answer = await this.#probeHost(host, options);
        return [host, answer] as const;
      })),
    );
    const hosts = new Map<string, Observation>();
    for (const [host, answer] of answers) {
      hosts.set(host, typeof answer === "string" ? answer : { status: answer });
    }
    const lead = answers.get(group.hosts[0]!);
    if (typeof lead === "object" && isServingLead(lead, group)) {
      addMembers(hosts, group, lead, options.memberAgeMs);
    }
    return { startedAt, hosts };
  }

  async #probeHost(
    host: string,
    { timeoutMs, signal }: ProbeOptions,
  ): Promise<EngineStatus | Absence> {
    const address = this.#findAddress(host);
    if (address === undefined) {
      return "silent";
    }
    const reply = await this.#engines.probe(address, timeoutMs, signal);
    if (reply.isErr) {
      return reply.error.isConnectionRefused ? "refused" : "silent";
    }
    // An address that was given to another host says nothing about this one.
    return reply.value.host === host ? reply.value : "silent";
  }
}

/** Whether the lead's report on the members counts. */
function isServingLead(lead: EngineStatus, group: GroupState): boolean {
  return group.phase === "ready" && lead.group === group.group &&
    lead.role === "serving";
}

/**
 * Adds what the lead says of the members. A member that the lead does not hear
 * is missing even if it answers this node, as the group cannot work then. One
 * that answers without its role is not missing: it is loaded again in place,
 * which takes longer than the time after which a missing host is replaced.
 */
function addMembers(
  hosts: Map<string, Observation>,
  group: GroupState,
  lead: EngineStatus,
  limitMs: number,
): void {
  for (const member of group.hosts.slice(1)) {
    const answer = hosts.get(member);
    if (answer !== undefined && !hasServingRole(answer, group)) {
      continue;
    }
    const ageMs = lead.members[member];
    if (ageMs === undefined || ageMs > limitMs) {
      hosts.set(member, answer === "refused" ? "refused" : "silent");
    } else if (answer === undefined) {
      hosts.set(member, { heardIn: group.group, ageMs });
    }
  }
}

function hasServingRole(answer: Observation, { group }: GroupState): boolean {
  return !isAbsence(answer) && "status" in answer &&
    answer.status.group === group && answer.status.role === "serving";
}
