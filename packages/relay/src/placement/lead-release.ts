/**
 * Makes a lead leave its group when the store no longer lists it.
 *
 * Such a lead may only be cut off from the store, and from some nodes: it would
 * go on serving for a group whose members have joined others. So every node
 * tries to reach it.
 *
 * @module
 */
import {
  type Clock,
  Condition,
  type Logger,
  type Service,
  TaskGroup,
  withDeadline,
} from "@zinniahill/kernel";
import { createGroupKey, type InstanceEndpoint } from "../hosts/groups.ts";
import type { OrderReply } from "../model/order.ts";
import type { LeadReleaseOutcome, MessageOf } from "../model/peer-message.ts";
import type { EngineControl } from "../adapter.ts";
import type { Mesh } from "../peers/mesh.ts";
import type { RelayKernel } from "../services.ts";
import { isMemberOf } from "./order-sender.ts";

const ATTEMPTS = 2;
const ATTEMPT_TIMEOUT_MS = 250;
/** Time for the attempts of all nodes and for their replies. */
const RELEASE_TIMEOUT_MS = 1300;

/**
 * What became of a lead, as far as all nodes together could find out: it is
 * `absent` when none of them reaches it, and `unknown` when too few answered.
 */
export type LeadPresence = "left" | "present" | "absent" | "unknown";

/** A release that waits for the attempts of all nodes. */
interface Release {
  /** Names of the nodes that try. */
  readonly nodes: ReadonlySet<string>;
  readonly attempts: Map<string, LeadReleaseOutcome>;
}

/** Sends leads away, for itself and for the node that holds placement. */
export class LeadRelease implements Service {
  #clock: Clock;
  #logger: Logger;
  #engines: EngineControl;
  #mesh: Mesh;
  #tasks: TaskGroup;
  #releases = new Map<string, Release>();
  #changed = new Condition();

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#engines = kernel.find("engines");
    this.#mesh = kernel.find("mesh");
    this.#tasks = new TaskGroup(this.#clock, this.#logger);
    this.#mesh.onMessage("release", (message, sender) => {
      this.#tasks.run("release_for_peer", async (signal) => {
        const outcome = await this.#try(message, signal);
        const { lead, address, group, epoch } = message;
        this.#mesh.sendTo(sender, {
          kind: "released",
          lead,
          address,
          group,
          epoch,
          outcome,
        });
      });
    });
    this.#mesh.onMessage("released", ({ group, epoch, outcome }, sender) => {
      this.#note(createGroupKey(group, epoch), sender.name, outcome);
    });
  }

  stop(): Promise<void> {
    return this.#tasks.stop();
  }

  /** Asks every node to make the lead leave; the best outcome counts. */
  async release(
    { id, address }: InstanceEndpoint,
    group: string,
    epoch: number,
    fence: number,
    signal: AbortSignal,
  ): Promise<LeadPresence> {
    const key = createGroupKey(group, epoch);
    const own = this.#mesh.ownEntry.name;
    const peers = this.#mesh.list().map(({ entry }) => entry.name);
    const release: Release = {
      nodes: new Set([own, ...peers]),
      attempts: new Map(),
    };
    this.#releases.set(key, release);
    const message: MessageOf<"release"> = {
      kind: "release",
      lead: id,
      address,
      group,
      epoch,
      fence,
    };
    this.#mesh.broadcast(message);
    await withDeadline(
      this.#clock,
      RELEASE_TIMEOUT_MS,
      signal,
      async (bounded) => {
        this.#note(key, own, await this.#try(message, bounded));
        await this.#changed.until(() => isSettled(release), bounded);
      },
    ).catch(() => {
      // What has not been answered by now does not count.
      signal.throwIfAborted();
    });
    this.#releases.delete(key);
    const outcome = combineOutcomes(release, this.#mesh.countNodes());
    this.#logger.info("unlisted_lead_released", {
      group,
      epoch,
      lead: id,
      outcome,
      asked: release.nodes.size,
      answered: release.attempts.size,
    });
    return outcome;
  }

  dump(): unknown {
    return [...this.#releases].map(([key, { nodes, attempts }]) => ({
      key,
      asked: [...nodes],
      attempts: Object.fromEntries(attempts),
    }));
  }

  #note(key: string, node: string, outcome: LeadReleaseOutcome): void {
    this.#releases.get(key)?.attempts.set(node, outcome);
    this.#changed.notify();
  }

  /**
   * Orders the lead to leave. An order may stay unanswered although the lead is
   * there, which its report shows.
   */
  async #try(
    { lead, address, group, epoch, fence }: MessageOf<"release">,
    signal: AbortSignal,
  ): Promise<LeadReleaseOutcome> {
    const target = { id: lead, address };
    let outcome: LeadReleaseOutcome = "unreachable";
    for (let attempt = 1; attempt <= ATTEMPTS; attempt++) {
      const reply = await this.#engines.sendOrder(
        target,
        { kind: "leave", group, epoch },
        { fence },
        ATTEMPT_TIMEOUT_MS,
        signal,
      );
      signal.throwIfAborted();
      if (reply.isOk && HAS_LEFT[reply.value]) {
        return "left";
      }
      const report = await this.#engines.requestReport(
        target,
        ATTEMPT_TIMEOUT_MS,
        signal,
      );
      signal.throwIfAborted();
      if (report.isOk) {
        const isThere = isMemberOf(
          report.value.engine.membership,
          group,
          epoch,
        );
        outcome = isThere ? "present" : "left";
      }
      if (outcome === "left") {
        return outcome;
      }
    }
    return outcome;
  }
}

/** Whether nothing more can change the outcome. */
function isSettled({ nodes, attempts }: Release): boolean {
  const outcomes = [...attempts.values()];
  return outcomes.includes("left") ||
    [...nodes].every((node) => attempts.has(node));
}

/**
 * The best of all attempts. That a lead is absent takes the attempts of all
 * connected nodes, and of more than half of all that are known: a lead that is
 * cut off from some of them is reached by another.
 */
export function combineOutcomes(
  { nodes, attempts }: Release,
  knownNodes: number,
): LeadPresence {
  const outcomes = [...attempts.values()];
  if (outcomes.includes("left")) {
    return "left";
  }
  if (outcomes.includes("present")) {
    return "present";
  }
  const haveAllTried = [...nodes].every((node) => attempts.has(node));
  return haveAllTried && nodes.size * 2 > knownNodes ? "absent" : "unknown";
}

/** Whether a reply to the order to leave says that the lead has left. */
const HAS_LEFT: Readonly<Record<OrderReply, boolean>> = {
  accepted: true,
  done: true,
  // Another process has the address, so the lead is gone.
  refused: true,
  conflict: false,
  fenced: false,
};
