/**
 * The memory for callers: heads and bodies of their requests, and answers that
 * they have not read yet.
 *
 * The size of a body and backpressure bound what one request holds. All of them
 * together are bounded here: if they exceed their share of the process's
 * memory, one is given up, so that a few endless ones cannot end the process or
 * take the place of small ones.
 *
 * @module
 */
import type { Clock, Logger, Service } from "@zinniahill/kernel";
import {
  chooseEviction,
  computeMemoryLimits,
  isOverLimit,
  type MemoryAmounts,
  UnfreedMemory,
} from "@zinniahill/policy";
import type { AppliedLimits } from "./applied-limits.ts";
import type { CallerServices } from "./caller-services.ts";
import { MemoryAccount } from "./memory-account.ts";

/** Why an answer ends that holds more than all others. */
const MEMORY_EXCEEDED = new Error("the answers hold too much memory");

/** Bounds the bytes that a node holds for its callers. */
export class CallerMemory implements Service {
  #clock: Clock;
  #logger: Logger;
  #appliedLimits: AppliedLimits;
  #limits: MemoryAmounts;
  #unfreed: UnfreedMemory;
  #isTurnEnding = false;
  #held = { allBytes: 0, incompleteBytes: 0 };
  #accounts = new Set<MemoryAccount>();

  constructor(kernel: CallerServices, memoryBytes: number) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#appliedLimits = kernel.find("appliedLimits");
    this.#limits = computeMemoryLimits(memoryBytes);
    this.#unfreed = new UnfreedMemory(memoryBytes);
  }

  /** Bytes that all requests and answers hold. */
  get heldBytes(): number {
    return this.#held.allBytes;
  }

  /** Bytes of requests that have not arrived completely. */
  get incompleteBytes(): number {
    return this.#held.incompleteBytes;
  }

  /** Number of requests whose answer is not sent. */
  get size(): number {
    return this.#accounts.size;
  }

  /** Opens the account of a request; it must be closed. */
  open(request: string, address = ""): MemoryAccount {
    const account: MemoryAccount = new MemoryAccount(
      request,
      address,
      {
        onChange: (bytes, incompleteBytes) =>
          this.#change(bytes, incompleteBytes),
        onCopy: (chunkBytes, bodyBytes) => this.#copy(chunkBytes, bodyBytes),
        onClose: () => this.#accounts.delete(account),
      },
    );
    this.#accounts.add(account);
    return account;
  }

  /** Notes a request without an account, whose connection is closed. */
  noteClosed(bytes: number): void {
    this.#unfreed.close(bytes);
    this.#awaitTurnEnd();
  }

  dump(): unknown {
    return {
      held: this.#held,
      requests: this.size,
      unfreedBytes: this.#unfreed.bytes,
      limits: this.#limits,
    };
  }

  #change(bytes: number, incompleteBytes: number): void {
    this.#held.allBytes += bytes;
    this.#held.incompleteBytes += incompleteBytes;
    if (bytes > 0) {
      this.#evict();
      this.#collect();
    } else {
      this.#unfreed.drop(-bytes);
    }
  }

  #copy(chunkBytes: number, bodyBytes: number): void {
    this.#unfreed.copy(chunkBytes, bodyBytes);
    this.#collect();
  }

  #evict(): void {
    while (isOverLimit(this.#held, this.#limits)) {
      const now = this.#clock.now();
      const evicted = chooseEviction(
        this.#accounts,
        this.#held,
        this.#limits,
        now,
      );
      if (evicted === undefined) {
        return;
      }
      this.#report(evicted);
      this.#noteEvicted(evicted.heldBytes);
      evicted.evict(MEMORY_EXCEEDED);
    }
  }

  /** Connections that close refer to their answers until the turn ends. */
  #noteEvicted(bytes: number): void {
    this.#unfreed.evict(bytes);
    this.#awaitTurnEnd();
  }

  #awaitTurnEnd(): void {
    if (this.#isTurnEnding) {
      return;
    }
    this.#isTurnEnding = true;
    this.#clock.schedule(0, () => {
      this.#isTurnEnding = false;
      this.#unfreed.endTurn();
      this.#collect();
    });
  }

  /** Frees large buffers that nothing refers to; V8 is in no hurry to do so. */
  #collect(): void {
    if (this.#unfreed.tryCollect()) {
      globalThis.gc?.();
    }
  }

  #report({ request, address, heldBytes, isIncomplete }: MemoryAccount): void {
    const fields = {
      request,
      bytes: heldBytes,
      all_bytes: this.#held.allBytes,
      limit_bytes: this.#limits.allBytes,
    };
    if (!isIncomplete) {
      this.#logger.warn("answer_evicted", fields);
    }
    const limit = isIncomplete ? "incomplete-requests" : "answers";
    this.#appliedLimits.record(limit, { address, ...fields });
  }
}
