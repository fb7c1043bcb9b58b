/**
 * Whether callers have sent requests to any node.
 *
 * @module
 */

/** What this node knows of the traffic at its peers. */
export interface PeerTraffic {
  readonly hasPeers: boolean;
  /** Whether any peer reports requests in progress. */
  readonly hasRequests: boolean;
}

/**
 * Recognizes the begin of traffic. A node that hears of requests in progress
 * when it first hears its peers has started during traffic. A first request of
 * its own, or one at a peer that had none before, is the first of any caller.
 */
export class TrafficStart {
  #isRunning = false;
  #hasHeardCalm = false;

  get isRunning(): boolean {
    return this.#isRunning;
  }

  /** Returns whether these are the first signs of traffic that began before. */
  observePeers({ hasPeers, hasRequests }: PeerTraffic): boolean {
    if (this.#isRunning || !hasPeers) {
      return false;
    }
    this.#isRunning = hasRequests;
    const hadBegunBefore = hasRequests && !this.#hasHeardCalm;
    this.#hasHeardCalm = true;
    return hadBegunBefore;
  }

  /** Records a request of a caller at this node. */
  recordRequest(): void {
    this.#isRunning = true;
  }
}
