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
import type { Engines } from "../outside.ts";
import type { Mesh, MessageOf } from "../peers/mesh.ts";
import type { RelayKernel } from "../services.ts";

const ATTEMPTS = 2;
const ATTEMPT_TIMEOUT_MS = 250;
/** Time for the attempts of all nodes and for their replies. */
const RELEASE_TIMEOUT_MS = 800;

/** Sends leads away, for itself and for the node that holds placement. */
export class LeadRelease implements Service {
  #clock: Clock;
  #logger: Logger;
  #engines: Engines;
  #mesh: Mesh;
  #tasks: TaskGroup;
  #released = new Set<string>();
  #changed = new Condition();

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#engines = kernel.find("engines");
    this.#mesh = kernel.find("mesh");
    this.#tasks = new TaskGroup(this.#clock, this.#logger);
    this.#mesh.on("release", (message, sender) => {
      this.#tasks.run("release_for_peer", async (signal) => {
        if (await this.#try(message, signal)) {
          const { lead, address, group, epoch } = message;
          const reply = { lead, address, group, epoch };
          this.#mesh.sendTo(sender, { kind: "released", ...reply });
        }
      });
    });
    this.#mesh.on("released", ({ group, epoch }) => {
      this.#released.add(createGroupKey(group, epoch));
      this.#changed.notify();
    });
  }

  stop(): Promise<void> {
    return this.#tasks.stop();
  }

  /** Whether some node made the lead leave; otherwise none reaches it. */
  async release(
    { id, address }: Target,
    group: string,
    epoch: number,
    fence: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    const key = createGroupKey(group, epoch);
    const message: MessageOf<"release"> = {
      kind: "release",
      lead: id,
      address,
      group,
      epoch,
      fence,
    };
    this.#mesh.broadcast(message);
    if (await this.#try(message, signal)) {
      this.#released.add(key);
    }
    await withDeadline(
      this.#clock,
      RELEASE_TIMEOUT_MS,
      signal,
      (bounded) => this.#changed.until(() => this.#released.has(key), bounded),
    ).catch(() => {
      signal.throwIfAborted();
    });
    const isReleased = this.#released.delete(key);
    this.#logger.info("unlisted_lead_released", {
      group,
      epoch,
      lead: id,
      answered: isReleased,
    });
    return isReleased;
  }

  dump(): unknown {
    return { released: [...this.#released] };
  }

  async #try(
    { lead, address, group, epoch, fence }: MessageOf<"release">,
    signal: AbortSignal,
  ): Promise<boolean> {
    for (let attempt = 1; attempt <= ATTEMPTS; attempt++) {
      const reply = await this.#engines.order(
        { id: lead, address },
        { kind: "leave", group, epoch },
        { fence },
        ATTEMPT_TIMEOUT_MS,
        signal,
      );
      signal.throwIfAborted();
      if (reply.isOk) {
        return true;
      }
    }
    return false;
  }
}
