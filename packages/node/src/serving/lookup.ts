/**
 * Which address callers should use.
 *
 * @module
 */
import type { Clock, Random, Service } from "@zinniahill/kernel";
import { chooseEntryNode, type EntryNode } from "@zinniahill/policy";
import { type LookupReply, Refusal, type Settings } from "@zinniahill/schema";
import type { Lifecycle } from "../lifecycle.ts";
import type { Peer, Peers } from "../peers/peers.ts";
import type { NodeKernel } from "../services.ts";
import type { ControlState } from "../state/control-state.ts";

/** Heartbeats that a peer may miss before callers are kept away from it. */
export const MISSED_HEARTBEATS = 2;

/** Names an entry host for a caller. */
export class Lookup implements Service {
  #clock: Clock;
  #random: Random;
  #settings: Settings;
  #lifecycle: Lifecycle;
  #peers: Peers;
  #state: ControlState;

  constructor(kernel: NodeKernel) {
    this.#clock = kernel.find("clock");
    this.#random = kernel.find("random");
    this.#settings = kernel.find("settings");
    this.#lifecycle = kernel.find("lifecycle");
    this.#peers = kernel.find("peers");
    this.#state = kernel.find("state");
  }

  dump(): unknown {
    return { candidates: this.#listCandidates() };
  }

  /**
   * Chooses a node, in the caller's data centre if there is one. A refusal is
   * thrown when this node stops and knows no other.
   */
  find(dataCentre: string | undefined): LookupReply {
    const candidates = this.#listCandidates();
    const chosen = chooseEntryNode(candidates, dataCentre, this.#random);
    if (chosen === undefined) {
      throw new Refusal(
        "stopping",
        "not-run",
        "the node stops and knows no other node",
      );
    }
    const validMs = this.#settings.timing["lookup-validity"];
    const { address } = chosen;
    return { address, dataCentre: chosen.dataCentre, validMs };
  }

  /** Nodes that serve; this one if no node is known to. */
  #listCandidates(): EntryNode[] {
    const { node } = this.#settings;
    const own = {
      address: node["public-address"],
      dataCentre: node["data-centre"],
      load: this.#peers.load,
    };
    const others = this.#peers.list()
      .filter((peer) => this.#isServing(peer))
      .map(({ hello, heartbeat }) => ({
        address: hello.publicAddress,
        dataCentre: hello.dataCentre,
        load: heartbeat?.load ?? 0,
      }));
    if (this.#lifecycle.isStopping) {
      return others;
    }
    const isUseful = this.#state.rules !== undefined || others.length === 0;
    return isUseful ? [own, ...others] : others;
  }

  /** Whether a peer was heard lately, is not stopping and has rules. */
  #isServing({ heartbeat, heardAt }: Peer): boolean {
    const limitMs = MISSED_HEARTBEATS *
      this.#settings.timing["heartbeat-interval"];
    return heartbeat !== undefined && !heartbeat.stopping &&
      heartbeat.configurationVersion > 0 &&
      this.#clock.now() - heardAt <= limitMs;
  }
}
