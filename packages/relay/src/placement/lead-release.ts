/**
 * Orders a lead to leave its group when the store no longer lists it, or when
 * its process seems to have ended.
 *
 * Such a lead may only be disconnected from the store and from some nodes, and
 * would continue to serve for a group whose members have joined others. So
 * every node tries to reach it.
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

const MAX_ATTEMPTS = 2;
const ATTEMPT_TIMEOUT_MS = 250;
/** Time for one's own first attempt, those of all nodes, and their replies. */
const RELEASE_TIMEOUT_MS = 1550;

/**
 * Whether a lead is still in its group, by the attempts of all nodes: `absent`
 * if none of them reaches it, `unknown` if too few have answered.
 */
export type LeadPresence = "left" | "present" | "absent" | "unknown";

/** A release that waits for the attempts of all nodes. */
interface PendingRelease {
  /** Names of the nodes that try to reach the lead, including this one. */
  readonly askedNodes: ReadonlySet<string>;
  readonly attempts: Map<string, LeadReleaseOutcome>;
}

/** Orders such leads to leave, for this node and for the holder. */
export class LeadRelease implements Service {
  #clock: Clock;
  #logger: Logger;
  #engines: EngineControl;
  #mesh: Mesh;
  #tasks: TaskGroup;
  #pendingReleases = new Map<string, PendingRelease>();
  #changed = new Condition();

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#engines = kernel.find("engines");
    this.#mesh = kernel.find("mesh");
    this.#tasks = new TaskGroup(this.#clock, this.#logger);
    this.#mesh.onMessage("release", (message, sender) => {
      this.#tasks.run("release_for_peer", async (signal) => {
        const outcome = await this.#attemptRelease(message, signal);
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
      this.#recordAttempt(createGroupKey(group, epoch), sender.name, outcome);
    });
  }

  stop(): Promise<void> {
    return this.#tasks.stop();
  }

  /**
   * Orders the lead to leave, and asks every other node to do so if it does not
   * follow; combines the outcomes.
   */
  async release(
    { id, address }: InstanceEndpoint,
    group: string,
    epoch: number,
    fence: number,
    signal: AbortSignal,
  ): Promise<LeadPresence> {
    const key = createGroupKey(group, epoch);
    const ownName = this.#mesh.ownEntry.name;
    const peers = this.#mesh.list().map(({ entry }) => entry.name);
    const release: PendingRelease = {
      askedNodes: new Set([ownName, ...peers]),
      attempts: new Map(),
    };
    this.#pendingReleases.set(key, release);
    const message: MessageOf<"release"> = {
      kind: "release",
      lead: id,
      address,
      group,
      epoch,
      fence,
    };
    await withDeadline(
      this.#clock,
      RELEASE_TIMEOUT_MS,
      signal,
      async (bounded) => {
        const ownAttempt = this.#attemptRelease(message, bounded)
          .then((outcome) => this.#recordAttempt(key, ownName, outcome));
        await Promise.race([
          ownAttempt,
          this.#clock.sleep(ATTEMPT_TIMEOUT_MS, bounded),
        ]);
        // Most leads that are not listed are only disconnected from the store,
        // and then this node's order is enough.
        if (!isDecided(release)) {
          this.#mesh.broadcast(message);
          await ownAttempt;
        }
        await this.#changed.until(() => isDecided(release), bounded);
      },
    ).catch(() => {
      // Attempts without an answer by the deadline do not count.
      signal.throwIfAborted();
    });
    this.#pendingReleases.delete(key);
    const outcome = combineOutcomes(release, this.#mesh.countNodes());
    this.#logger.info("unlisted_lead_released", {
      group,
      epoch,
      lead: id,
      outcome,
      asked: release.askedNodes.size,
      answered: release.attempts.size,
    });
    return outcome;
  }

  dump(): unknown {
    return [...this.#pendingReleases].map((
      [key, { askedNodes, attempts }],
    ) => ({
      key,
      asked: [...askedNodes],
      attempts: Object.fromEntries(attempts),
    }));
  }

  #recordAttempt(key: string, node: string, outcome: LeadReleaseOutcome): void {
    this.#pendingReleases.get(key)?.attempts.set(node, outcome);
    this.#changed.notify();
  }

  /**
   * Orders the lead to leave. The order may stay unanswered although the lead
   * is running, so its report is requested as well.
   */
  async #attemptRelease(
    { lead, address, group, epoch, fence }: MessageOf<"release">,
    signal: AbortSignal,
  ): Promise<LeadReleaseOutcome> {
    const target = { id: lead, address };
    let outcome: LeadReleaseOutcome = "unreachable";
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
      const reply = await this.#engines.sendOrder(
        target,
        { kind: "leave", group, epoch },
        { fence },
        ATTEMPT_TIMEOUT_MS,
        signal,
      );
      signal.throwIfAborted();
      if (reply.isOk && HAS_LEFT_BY_REPLY[reply.value]) {
        return "left";
      }
      const report = await this.#engines.requestReport(
        target,
        ATTEMPT_TIMEOUT_MS,
        signal,
      );
      signal.throwIfAborted();
      if (report.isOk) {
        const isMember = isMemberOf(
          report.value.engine.membership,
          group,
          epoch,
        );
        outcome = isMember ? "present" : "left";
      } else if (report.error.isGone === true) {
        // A lead that drains refuses connections while it finishes its requests.
        // The connections of a process that has ended break at once.
        outcome = this.#mesh.countOwnOutstanding(lead) > 0
          ? "unreachable"
          : "ended";
      }
      if (outcome === "left") {
        return outcome;
      }
    }
    return outcome;
  }
}

/** Whether no further attempt can change the outcome. */
function isDecided({ askedNodes, attempts }: PendingRelease): boolean {
  const outcomes = [...attempts.values()];
  return outcomes.includes("left") ||
    [...askedNodes].every((node) => attempts.has(node));
}

/**
 * Combines the outcomes of all attempts; `left` takes precedence over
 * `present`. A lead is absent only if all connected nodes have tried and they
 * are more than half of all known nodes: a lead that is disconnected from some
 * nodes may be reached by another. If all of them found nothing at its address,
 * its process has ended.
 */
export function combineOutcomes(
  { askedNodes, attempts }: PendingRelease,
  knownNodeCount: number,
): LeadPresence {
  const outcomes = [...attempts.values()];
  if (outcomes.includes("left")) {
    return "left";
  }
  if (outcomes.includes("present")) {
    return "present";
  }
  const hasEveryNodeAnswered = [...askedNodes].every((node) =>
    attempts.has(node)
  );
  if (!hasEveryNodeAnswered || askedNodes.size * 2 <= knownNodeCount) {
    return "unknown";
  }
  return outcomes.every((outcome) => outcome === "ended") ? "left" : "absent";
}

/** Whether a reply to the order to leave means that the lead has left. */
const HAS_LEFT_BY_REPLY: Readonly<Record<OrderReply, boolean>> = {
  accepted: true,
  done: true,
  // Another process has the address, so the lead is gone.
  refused: true,
  conflict: false,
  fenced: false,
};
