/**
 * Weighted fair queueing of client accounts by tokens served.
 *
 * @module
 */
import { Heap, type HeapItem } from "./heap.ts";

/** An item of the queue. */
export interface QueuedItem {
  readonly account: string;
  /** Tokens charged at dispatch; corrected once the real number is known. */
  readonly cost: number;
}

interface Flow<Item> extends HeapItem {
  readonly account: string;
  readonly waiting: Set<Item>;
  weight: number;
  /** Virtual start time of the next item. */
  startTag: number;
  waitingCost: number;
  inFlight: number;
}

/**
 * Start-time fair queueing: the account with the lowest virtual start time goes
 * next and is charged its tokens divided by its weight. A decision takes time
 * logarithmic in the number of waiting accounts. An account is forgotten when
 * it has nothing waiting or running and virtual time has passed its start time.
 */
export class FairQueue<Item extends QueuedItem> {
  #flows = new Map<string, Flow<Item>>();
  #backloggedFlows = new Heap<Flow<Item>>(({ startTag }) => startTag);
  #idleFlows = new Heap<Flow<Item>>(({ startTag }) => startTag);
  #virtualTime = 0;
  #size = 0;
  #inFlight = 0;
  #waitingCost = 0;
  #waitingWeight = 0;

  /** The number of waiting items. */
  get size(): number {
    return this.#size;
  }

  /** The number of remembered accounts. */
  get accountCount(): number {
    return this.#flows.size;
  }

  /** Tokens of all waiting items. */
  get waitingCost(): number {
    return this.#waitingCost;
  }

  /** Adds an item behind the others of its account. */
  add(item: Item, weight: number): void {
    const flow = this.#findFlow(item.account, weight);
    if (flow.waiting.size === 0) {
      this.#idleFlows.remove(flow);
      flow.startTag = Math.max(flow.startTag, this.#virtualTime);
      flow.weight = weight;
      this.#waitingWeight += weight;
      this.#backloggedFlows.add(flow);
    }
    flow.waiting.add(item);
    flow.waitingCost += item.cost;
    this.#waitingCost += item.cost;
    this.#size++;
  }

  /** Estimates the tokens served before a new item of an account starts. */
  countTokensAhead(account: string, weight: number): number {
    const flow = this.#flows.get(account);
    const virtualDelay = Math.max(0, (flow?.startTag ?? 0) - this.#virtualTime);
    const isWaiting = flow !== undefined && flow.waiting.size > 0;
    const otherWeight = this.#waitingWeight - (isWaiting ? flow.weight : 0);
    const ownTokens = flow?.waitingCost ?? 0;
    const tokensAhead = ownTokens +
      otherWeight * (virtualDelay + ownTokens / weight);
    return Math.min(tokensAhead, this.#waitingCost);
  }

  /** Takes the next item and charges its account. */
  take(): Item | undefined {
    const flow = this.#backloggedFlows.first;
    if (flow === undefined) {
      return undefined;
    }
    const [item] = flow.waiting;
    // Corrections may lower the lowest start tag. Virtual time follows it back;
    // otherwise a new account would queue behind all corrected ones.
    this.#virtualTime = flow.startTag;
    flow.startTag += item!.cost / flow.weight;
    flow.inFlight++;
    this.#inFlight++;
    this.#removeWaiting(flow, item!);
    this.#backloggedFlows.update(flow);
    this.#forgetIdle();
    return item;
  }

  /** Removes a waiting item; false if it does not wait. */
  remove(item: Item): boolean {
    const flow = this.#flows.get(item.account);
    if (flow === undefined || !flow.waiting.has(item)) {
      return false;
    }
    this.#removeWaiting(flow, item);
    this.#updateIdle(flow);
    return true;
  }

  /** Ends an item that was taken, and corrects its charge. */
  end(item: Item, tokens: number): void {
    const flow = this.#flows.get(item.account);
    if (flow === undefined) {
      return;
    }
    flow.inFlight--;
    this.#inFlight--;
    flow.startTag += (tokens - item.cost) / flow.weight;
    this.#backloggedFlows.update(flow);
    this.#updateIdle(flow);
    if (this.#inFlight + this.#size === 0) {
      this.#flows.clear();
      this.#idleFlows = new Heap<Flow<Item>>(({ startTag }) => startTag);
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
        startTag: this.#virtualTime,
        waitingCost: 0,
        inFlight: 0,
        index: -1,
      };
      this.#flows.set(account, flow);
    }
    return flow;
  }

  #removeWaiting(flow: Flow<Item>, item: Item): void {
    flow.waiting.delete(item);
    flow.waitingCost -= item.cost;
    this.#waitingCost -= item.cost;
    this.#size--;
    if (flow.waiting.size === 0) {
      this.#waitingWeight -= flow.weight;
      this.#backloggedFlows.remove(flow);
    }
  }

  #updateIdle(flow: Flow<Item>): void {
    if (flow.waiting.size > 0 || flow.inFlight > 0) {
      return;
    }
    this.#idleFlows.remove(flow);
    if (flow.startTag <= this.#virtualTime) {
      this.#flows.delete(flow.account);
    } else {
      this.#idleFlows.add(flow);
    }
  }

  #forgetIdle(): void {
    for (
      let flow = this.#idleFlows.first;
      flow !== undefined && flow.startTag <= this.#virtualTime;
      flow = this.#idleFlows.first
    ) {
      this.#idleFlows.remove(flow);
      this.#flows.delete(flow.account);
    }
  }
}
