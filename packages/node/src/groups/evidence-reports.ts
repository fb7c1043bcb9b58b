/**
 * What a node tells its peers about hosts.
 *
 * @module
 */
import type { Peers } from "../peers/peers.ts";

/** Sends changes only, so that a fleet without faults sends nothing. */
export class EvidenceReports {
  #peers: Peers;
  /** Hosts that peers were told to be missing or in a wrong role. */
  #reported = new Set<string>();

  constructor(peers: Peers) {
    this.#peers = peers;
  }

  /** Tells peers which of `hosts` have become faulty, or are so no more. */
  send(hosts: readonly string[], faults: ReadonlySet<string>): void {
    const changes = hosts.filter((host) =>
      faults.has(host) !== this.#reported.has(host)
    );
    if (changes.length === 0) {
      return;
    }
    for (const host of changes) {
      if (faults.has(host)) {
        this.#reported.add(host);
      } else {
        this.#reported.delete(host);
      }
    }
    this.#peers.broadcast({
      kind: "evidence",
      hosts: changes.map((host) => ({
        host,
        missing: faults.has(host),
        ageMs: 0,
      })),
    });
  }
}
