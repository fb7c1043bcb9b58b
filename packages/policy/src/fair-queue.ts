/**
 * Weighted fair queueing of client accounts on tokens served.
 *
 * @module
 */
import { Heap, type HeapItem } from "./heap.ts";

/** What waits in the queue. */
export interface QueuedItem {
  readonly account: string;
  /** Tokens charged at dispatch; corrected when the real number is known. */
  readonly cost: number;
}

interface Flow<Item> extends HeapItem {
  readonly account: string;
  readonly waiting: Set<Item>;
  weight: number;
  /** Virtual time at which the next item may start. */
  tag: number;
  waitingCost: number;
  inFlight: number;
}

/**
 * Start-time fair queueing: the account with the lowest virtual start time
 * goes next, and is charged tokens divided by its weight. A decision costs the
 * logarithm of the number of accounts that wait. An account is forgotten when
 * it has nothing waiting or running and virtual time has passed its charge.
 */
export class FairQueue<Item extends QueuedItem> {
  #flows = new Map<string, Flow<Item>>();
  #backlogged = new Heap<Flow<Item>>(({ tag }) => tag);
  #charged = new Heap<Flow<Item>>(({ tag }) => tag);
  #virtualTime = 0;
  #size = 0;
  #inFlight = 0;
  #waitingCost = 0;
  #waitingWeight = 0;

  /** The number of items that wait. */
  get size(): number {
    return this.#size;
  }

  /** The number of accounts that are remembered. */
  get accountCount(): number {
    return this.#flows.size;
  }

  /** Tokens of all items that wait. */
  get waitingCost(): number {
    return this.#waitingCost;
  }

  /** Adds an item behind the others of its account. */
  add(item: Item, weight: number): void {
    const flow = this.#findFlow(item.account, weight);
    if (flow.waiting.size === 0) {
      this.#charged.remove(flow);
      flow.tag = Math.max(flow.tag, this.#virtualTime);
      flow.weight = weight;
      this.#waitingWeight += weight;
      this.#backlogged.add(flow);
    }
    flow.waiting.add(item);
    flow.waitingCost += item.cost;
    this.#waitingCost += item.cost;
    this.#size++;
  }

  /** Tokens that are served before a new item of an account can start. */
  countTokensAhead(account: string, weight: number): number {
    const flow = this.#flows.get(account);
    const lead = Math.max(0, (flow?.tag ?? 0) - this.#virtualTime);
    const isWaiting = flow !== undefined && flow.waiting.size > 0;
    const others = this.#waitingWeight - (isWaiting ? flow.weight : 0);
    const own = flow?.waitingCost ?? 0;
    const ahead = own + others * (lead + own / weight);
    return Math.min(ahead, this.#waitingCost);
  }

  /** Takes the next item and charges its account. */
  take(): Item | undefined {
    const flow = this.#backlogged.first;
    if (flow === undefined) {
      return undefined;
    }
    const [item] = flow.waiting;
    // Corrections may move the lowest tag back. Virtual time follows it, or an
    // account that starts now would stand behind all corrected ones.
    this.#virtualTime = flow.tag;
    flow.tag += item!.cost / flow.weight;
    flow.inFlight++;
    this.#inFlight++;
    this.#drop(flow, item!);
    this.#backlogged.update(flow);
    this.#forgetPassed();
    return item;
  }

  /** Removes an item that no longer waits. */
  remove(item: Item): boolean {
    const flow = this.#flows.get(item.account);
    if (flow === undefined || !flow.waiting.has(item)) {
      return false;
    }
    this.#drop(flow, item);
    this.#forget(flow);
    return true;
  }

  /** Ends an item that was taken, and corrects the charge. */
  end(item: Item, tokens: number): void {
    const flow = this.#flows.get(item.account);
    if (flow === undefined) {
      return;
    }
    flow.inFlight--;
    this.#inFlight--;
    flow.tag += (tokens - item.cost) / flow.weight;
    this.#backlogged.update(flow);
    this.#forget(flow);
    if (this.#inFlight + this.#size === 0) {
      this.#flows.clear();
      this.#charged = new Heap<Flow<Item>>(({ tag }) => tag);
      this.#virtualTime = 0;
    }
  }

  #findFlow(account: string, weight: number): Flow<Item> {
    let flow = this.#flows.get(account);
    if (flow === undefined) {
      flow = {
        account,
        weight,
        waiting: new Set(),
        tag: this.#virtualTime,
        waitingCost: 0,
        inFlight: 0,
        place: -1,
      };
      this.#flows.set(account, flow);
    }
    return flow;
  }

  #drop(flow: Flow<Item>, item: Item): void {
    flow.waiting.delete(item);
    flow.waitingCost -= item.cost;
    this.#waitingCost -= item.cost;
    this.#size--;
    if (flow.waiting.size === 0) {
      this.#waitingWeight -= flow.weight;
      this.#backlogged.remove(flow);
    }
  }

  #forget(flow: Flow<Item>): void {
    if (flow.waiting.size > 0 || flow.inFlight > 0) {
      return;
    }
    this.#charged.remove(flow);
    if (flow.tag <= this.#virtualTime) {
      this.#flows.delete(flow.account);
    } else {
      this.#charged.add(flow);
    }
  }

  #forgetPassed(): void {
    for (
      let flow = this.#charged.first;
      flow !== undefined && flow.tag <= this.#virtualTime;
      flow = this.#charged.first
    ) {
      this.#charged.remove(flow);
      this.#flows.delete(flow.account);
    }
  }
}
