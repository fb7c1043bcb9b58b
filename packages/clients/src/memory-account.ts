/**
 * What one request holds of the memory for callers.
 *
 * @module
 */
import type { MemoryHolder } from "@zinniahill/policy";

/** Ends a request or an answer, which releases what it holds. */
type Eviction = (reason: Error) => void;

/** Why a request cannot be served yet. */
export type IncompleteReason = "body" | "turn";

/** What all accounts report to their owner. */
interface AccountListener {
  /** Changes the bytes of all requests, and of those that are incomplete. */
  onChange(bytes: number, incompleteBytes: number): void;
  onCopy(chunkBytes: number, bodyBytes: number): void;
  onClose(): void;
}

/** The bytes that one request and its answer hold. */
export class MemoryAccount implements MemoryHolder {
  readonly request: string;
  readonly address: string;
  /** When bytes of the request's body last arrived. */
  progressAt = 0;
  #heldBytes = 0;
  #reasons = new Set<IncompleteReason>();
  #isClosed = false;
  #isEvicted = false;
  #listener: AccountListener;
  #evictions: Eviction[] = [];

  constructor(request: string, address: string, listener: AccountListener) {
    this.request = request;
    this.address = address;
    this.#listener = listener;
  }

  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Whether the request has not arrived completely, or waits for its turn. */
  get isIncomplete(): boolean {
    return this.#reasons.size > 0;
  }

  /** Counts the request as incomplete until `resolve` with the same reason. */
  await(reason: IncompleteReason): void {
    if (!this.isIncomplete) {
      this.#listener.onChange(0, this.#heldBytes);
    }
    this.#reasons.add(reason);
  }

  /** Removes a reason why the request was incomplete. */
  resolve(reason: IncompleteReason): void {
    if (this.#reasons.delete(reason) && !this.isIncomplete) {
      this.#listener.onChange(0, -this.#heldBytes);
    }
  }

  /** Whether the request was given up, as others needed its memory. */
  get isEvicted(): boolean {
    return this.#isEvicted;
  }

  /** Adds bytes that are held from now on. */
  add(bytes: number): void {
    if (!this.#isClosed) {
      this.#heldBytes += bytes;
      this.#listener.onChange(bytes, this.isIncomplete ? bytes : 0);
    }
  }

  /** Removes bytes that are not held any more. */
  remove(bytes: number): void {
    const removed = Math.min(bytes, this.#heldBytes);
    this.#heldBytes -= removed;
    this.#listener.onChange(-removed, this.isIncomplete ? -removed : 0);
  }

  /** Notes that nothing refers to a chunk that was copied to a body. */
  noteCopied(chunkBytes: number, bodyBytes: number): void {
    this.#listener.onCopy(chunkBytes, bodyBytes);
  }

  /** Registers what ends the request; the result withdraws it. */
  onEvict(eviction: Eviction): () => void {
    this.#evictions.push(eviction);
    return () => {
      this.#evictions = this.#evictions.filter((other) => other !== eviction);
    };
  }

  /** Ends the request, whose bytes do not count any more. */
  evict(reason: Error): void {
    this.#isEvicted = true;
    this.close();
    this.#evictions.forEach((eviction) => eviction(reason));
  }

  /** Releases everything. */
  close(): void {
    this.#isClosed = true;
    this.remove(this.#heldBytes);
    this.#listener.onClose();
  }
}
