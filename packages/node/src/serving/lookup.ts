/**
 * Which address callers should use.
 *
 * @module
 */
import type { Service } from "@zinniahill/kernel";
import type { LookupReply, Settings } from "@zinniahill/schema";
import type { Lifecycle } from "../lifecycle.ts";
import type { Peers } from "../peers/peers.ts";
import type { NodeKernel } from "../services.ts";

/** Names an entry host for a caller. */
export class Lookup implements Service {
  #settings: Settings;
  #lifecycle: Lifecycle;
  #peers: Peers;

  constructor(kernel: NodeKernel) {
    this.#settings = kernel.find("settings");
    this.#lifecycle = kernel.find("lifecycle");
    this.#peers = kernel.find("peers");
  }

  dump(): unknown {
    return { answer: this.find(undefined) };
  }

  /** Chooses a node, in the caller's data centre if there is one. */
  find(dataCentre: string | undefined): LookupReply {
    const { node, timing } = this.#settings;
    const own = {
      address: node["public-address"],
      dataCentre: node["data-centre"],
      load: 0,
    };
    const others = this.#peers.list()
      .filter(({ heartbeat }) => heartbeat?.stopping === false)
      .map(({ hello, heartbeat }) => ({
        address: hello.publicAddress,
        dataCentre: hello.dataCentre,
        load: heartbeat?.load ?? 0,
      }));
    const all = this.#lifecycle.isStopping && others.length > 0
      ? others
      : [own, ...others];
    const near = all.filter((entry) => entry.dataCentre === dataCentre);
    const [best = own] = (near.length > 0 ? near : all)
      .sort((a, b) => a.load - b.load);
    return {
      address: best.address,
      dataCentre: best.dataCentre,
      validMs: timing["lookup-validity"],
    };
  }
}
