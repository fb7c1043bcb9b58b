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
import { createGroupKey, type Target } from "../hosts/groups.ts";
import type { OrderReply } from "../model/order.ts";
import type { Engines } from "../outside.ts";
import type { Mesh, MessageOf } from "../peers/mesh.ts";
import type { RelayKernel } from "../services.ts";
import { isMemberOf } from "./orders.ts";

const ATTEMPTS = 2;
const ATTEMPT_TIMEOUT_MS = 250;
/** Time for the attempts of all nodes and for their replies. */
const RELEASE_TIMEOUT_MS = 1300;

/** What became of a lead, as far as any node could find out. */
export type ReleaseOutcome = "left" | "present" | "unreachable";

/** Sends leads away, for itself and for the node that holds placement. */
export class LeadRelease implements Service {
  #clock: Clock;
  #logger: Logger;
  #engines: Engines;
  #mesh: Mesh;
  #tasks: TaskGroup;
  #outcomes = new Map<string, ReleaseOutcome>();
  #changed = new Condition();

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#engines = kernel.find("engines");
    this.#mesh = kernel.find("mesh");
    this.#tasks = new TaskGroup(this.#clock, this.#logger);
    this.#mesh.on("release", (message, sender) => {
      this.#tasks.run("release_for_peer", async (signal) => {
        const outcome = await this.#try(message, signal);
        if (outcome !== "unreachable") {
          const { lead, address, group, epoch } = message;
          this.#mesh.sendTo(sender, {
            kind: "released",
            lead,
            address,
            group,
            epoch,
            hasLeft: outcome === "left",
          });
        }
      });
    });
    this.#mesh.on("released", ({ group, epoch, hasLeft }) => {
      this.#note(group, epoch, hasLeft ? "left" : "present");
    });
  }

  stop(): Promise<void> {
    return this.#tasks.stop();
  }

  /** Asks every node to make the lead leave; the best outcome counts. */
  async release(
    { id, address }: Target,
    group: string,
    epoch: number,
    fence: number,
    signal: AbortSignal,
  ): Promise<ReleaseOutcome> {
    const key = createGroupKey(group, epoch);
    this.#outcomes.delete(key);
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
        this.#note(group, epoch, await this.#try(message, bounded));
        await this.#changed.until(
          () => this.#outcomes.get(key) === "left",
          bounded,
        );
      },
    ).catch(() => {
      // Without a reply that says so, the lead has not left.
      signal.throwIfAborted();
    });
    const outcome = this.#outcomes.get(key) ?? "unreachable";
    this.#outcomes.delete(key);
    this.#logger.info("unlisted_lead_released", {
      group,
      epoch,
      lead: id,
      outcome,
    });
    return outcome;
  }

  dump(): unknown {
    return Object.fromEntries(this.#outcomes);
  }

  /** Keeps what says most: that the lead has left, then that it is there. */
  #note(group: string, epoch: number, outcome: ReleaseOutcome): void {
    const key = createGroupKey(group, epoch);
    const known = this.#outcomes.get(key);
    if (known !== "left" && outcome !== "unreachable") {
      this.#outcomes.set(key, outcome);
    }
    this.#changed.notify();
  }

  /**
   * Orders the lead to leave. An order may stay unanswered although the lead is
   * there, which its report shows.
   */
  async #try(
    { lead, address, group, epoch, fence }: MessageOf<"release">,
    signal: AbortSignal,
  ): Promise<ReleaseOutcome> {
    const target = { id: lead, address };
    let outcome: ReleaseOutcome = "unreachable";
    for (let attempt = 1; attempt <= ATTEMPTS; attempt++) {
      const reply = await this.#engines.order(
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
      const report = await this.#engines.report(
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

/** Whether a reply to the order to leave says that the lead has left. */
const HAS_LEFT: Readonly<Record<OrderReply, boolean>> = {
  accepted: true,
  done: true,
  // Another process has the address, so the lead is gone.
  refused: true,
  conflict: false,
  fenced: false,
};
