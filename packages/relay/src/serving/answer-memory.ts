/**
 * The memory for answers: bytes that upstreams have sent and callers have not
 * read yet.
 *
 * Backpressure bounds what one answer holds. All of them together are bounded
 * here: if they exceed their share of the process's memory, the answer that
 * holds most is ended, so that a few endless ones cannot end the process or
 * take the place of small ones.
 *
 * @module
 */
import type { Logger, Service } from "@zinniahill/kernel";
import type { RelayKernel } from "../services.ts";

/** The rest is for the code, its state and bytes that wait to be freed. */
const SHARE_OF_MEMORY = 0.2;
/** Why an answer ends that holds more than all others. */
const MEMORY_EXCEEDED = new Error("the answers hold too much memory");

/** Ends an answer, which releases what it holds. */
type Eviction = (reason: Error) => void;

/** Bounds the bytes that the answers of a node hold. */
export class AnswerMemory implements Service {
  #logger: Logger;
  #limitBytes: number;
  #heldBytes = 0;
  #accounts = new Set<MemoryAccount>();

  constructor(kernel: RelayKernel) {
    this.#logger = kernel.find("logger");
    const { memoryBytes } = kernel.find("settings").limits;
    this.#limitBytes = memoryBytes * SHARE_OF_MEMORY;
  }

  /** Bytes that all answers hold. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Opens the account of a request; it must be closed. */
  open(request: string): MemoryAccount {
    const account: MemoryAccount = new MemoryAccount(
      request,
      (bytes) => this.#add(bytes),
      () => this.#accounts.delete(account),
    );
    this.#accounts.add(account);
    return account;
  }

  dump(): unknown {
    return { heldBytes: this.#heldBytes, limitBytes: this.#limitBytes };
  }

  #add(bytes: number): void {
    this.#heldBytes += bytes;
    while (bytes > 0 && this.#heldBytes > this.#limitBytes) {
      const largest = this.#findLargest();
      if (largest === undefined) {
        return;
      }
      this.#logger.warn("answer_evicted", {
        request: largest.request,
        bytes: largest.heldBytes,
        all_bytes: this.#heldBytes,
        limit_bytes: this.#limitBytes,
      });
      largest.evict(MEMORY_EXCEEDED);
    }
  }

  #findLargest(): MemoryAccount | undefined {
    let largest: MemoryAccount | undefined;
    for (const account of this.#accounts) {
      if (account.heldBytes > (largest?.heldBytes ?? 0)) {
        largest = account;
      }
    }
    return largest;
  }
}

/** The bytes that the answer to one request holds. */
export class MemoryAccount {
  readonly request: string;
  #heldBytes = 0;
  #isClosed = false;
  #isEvicted = false;
  #change: (bytes: number) => void;
  #onClose: () => void;
  #evictions: Eviction[] = [];

  constructor(
    request: string,
    change: (bytes: number) => void,
    onClose: () => void,
  ) {
    this.request = request;
    this.#change = change;
    this.#onClose = onClose;
  }

  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Whether the answer was ended, as it held more than all others. */
  get isEvicted(): boolean {
    return this.#isEvicted;
  }

  /** Adds bytes that the answer holds from now on. */
  add(bytes: number): void {
    if (!this.#isClosed) {
      this.#heldBytes += bytes;
      this.#change(bytes);
    }
  }

  /** Removes bytes that the answer does not hold any more. */
  remove(bytes: number): void {
    const removed = Math.min(bytes, this.#heldBytes);
    this.#heldBytes -= removed;
    this.#change(-removed);
  }

  /** Registers what ends the answer; the result withdraws it. */
  onEvict(eviction: Eviction): () => void {
    this.#evictions.push(eviction);
    return () => {
      this.#evictions = this.#evictions.filter((other) => other !== eviction);
    };
  }

  /** Ends the answer, whose bytes do not count any more. */
  evict(reason: Error): void {
    this.#isEvicted = true;
    this.close();
    this.#evictions.forEach((eviction) => eviction(reason));
  }

  /** Releases everything. */
  close(): void {
    this.#isClosed = true;
    this.remove(this.#heldBytes);
    this.#onClose();
  }
}
