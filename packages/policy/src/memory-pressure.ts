/**
 * Which request is given up when callers' requests and answers hold too much.
 *
 * @module
 */

/** What the node holds for one request. */
export interface MemoryHolder {
  /** Who sent the request. */
  readonly address: string;
  readonly heldBytes: number;
  /** Whether a part of its body has not arrived. */
  readonly isIncomplete: boolean;
  /** When bytes of its body last arrived. */
  readonly progressAt: number;
}

/** Bytes that requests hold together, or may hold. */
export interface MemoryAmounts {
  readonly allBytes: number;
  readonly incompleteBytes: number;
}

/** The rest is for the code, its state and bytes that wait to be freed. */
const SHARE_OF_MEMORY = 0.2;
/** The rest of the account is kept for complete requests and answers. */
const INCOMPLETE_SHARE = 0.75;
/** A full collection takes a few ms, so it is not made for less. */
const UNFREED_SHARE = 1 / 16;
/** Longer than the gaps of a body on a lossy link. */
const STALLED_MS = 500;

/**
 * Whether buffers that nothing refers to any more are freed now. V8 frees them
 * some 64 MB of allocations later, which the smallest hosts do not have.
 */
export function isCollectionDue(
  unfreedBytes: number,
  memoryBytes: number,
): boolean {
  return unfreedBytes > memoryBytes * UNFREED_SHARE;
}

/** Computes what all requests may hold in a process with so much memory. */
export function computeMemoryLimits(memoryBytes: number): MemoryAmounts {
  const allBytes = memoryBytes * SHARE_OF_MEMORY;
  return { allBytes, incompleteBytes: allBytes * INCOMPLETE_SHARE };
}

/** Whether a request has to be given up. */
export function isOverLimit(
  held: MemoryAmounts,
  limits: MemoryAmounts,
): boolean {
  return held.allBytes > limits.allBytes ||
    held.incompleteBytes > limits.incompleteBytes;
}

/**
 * Chooses the request to give up; undefined while no limit is exceeded. Bodies
 * that have not arrived completely go before answers: of the address that
 * holds most, the largest that makes no progress, or else the largest.
 */
export function chooseEviction<Holder extends MemoryHolder>(
  holders: Iterable<Holder>,
  held: MemoryAmounts,
  limits: MemoryAmounts,
  now: number,
): Holder | undefined {
  if (!isOverLimit(held, limits)) {
    return undefined;
  }
  const all = [...holders].filter(({ heldBytes }) => heldBytes > 0);
  const incomplete = all.filter(({ isIncomplete }) => isIncomplete);
  if (incomplete.length === 0) {
    return findLargest(all);
  }
  const address = findLargestAddress(incomplete);
  const bodies = incomplete.filter((body) => body.address === address);
  const stalled = bodies
    .filter(({ progressAt }) => now - progressAt > STALLED_MS);
  return findLargest(stalled) ?? findLargest(bodies);
}

function findLargestAddress(holders: readonly MemoryHolder[]): string {
  const sums = new Map<string, number>();
  for (const { address, heldBytes } of holders) {
    sums.set(address, (sums.get(address) ?? 0) + heldBytes);
  }
  const [[address]] = [...sums].sort(([, a], [, b]) => b - a) as [
    [string, number],
  ];
  return address;
}

function findLargest<Holder extends MemoryHolder>(
  holders: readonly Holder[],
): Holder | undefined {
  let largest: Holder | undefined;
  for (const holder of holders) {
    if (holder.heldBytes > (largest?.heldBytes ?? 0)) {
      largest = holder;
    }
  }
  return largest;
}
