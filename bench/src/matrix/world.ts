/**
 * Nodes, platform and upstreams of one row, on one clock.
 *
 * @module
 */
import { ManualClock, SeededRandom } from "@zinniahill/kernel";
import type { Host } from "@zinniahill/schema";
import {
  type AppendedEntry,
  type EngineModel,
  MemoryPlatform,
  MemoryTransports,
  type PlatformEvent,
  type RecordModel,
} from "@zinniahill/stand-ins";
import type { Mechanism } from "./mechanisms.ts";
import { MemoryNode } from "./memory-node.ts";
import { PausableClock } from "./pausable-clock.ts";
import { openSpan, Records } from "./records.ts";

/** Something that a step can be recognized by. */
export type WorldEvent =
  | PlatformEvent
  | { readonly kind: "append"; readonly entry: AppendedEntry }
  | { readonly kind: "node-started"; readonly node: string }
  | { readonly kind: "stop-begun"; readonly node: string };

/** Names of the nodes of every row. */
export const NODES = ["node-1", "node-2", "node-3"] as const;
/** Addresses of the record service. */
export const RECORD_SERVICES = ["127.0.0.1:9001", "127.0.0.1:9002"] as const;
/** Hosts in each fabric domain. */
const DOMAIN_SIZES = [3, 3, 2];
/** Engines of this domain ignore the fencing number. */
const IGNORING_DOMAIN = 0;
const LOAD_MS = 800;
const STEP_MS = 40;
const BATCH_SIZE = 16;
const ACCELERATORS = 8;
const FIRST_ENGINE_PORT = 9101;
const FIRST_PEER_PORT = 9201;
const SETTLE_STEP_MS = 25;

/** The system of one row. */
export class World {
  readonly clock = new ManualClock();
  readonly random: SeededRandom;
  readonly platform: MemoryPlatform;
  readonly transports: MemoryTransports;
  readonly records = new Records();
  readonly nodes = new Map<string, MemoryNode>();
  readonly mechanism: Mechanism;
  onEvent: (event: WorldEvent) => void = () => {};
  #engineClocks = new Map<string, PausableClock>();
  #seed: number;
  #failure: unknown;
  #holds = 0;

  constructor(seed: number, mechanism: Mechanism) {
    this.#seed = seed;
    this.mechanism = mechanism;
    this.random = new SeededRandom(seed);
    this.platform = new MemoryPlatform(this.clock);
    this.transports = new MemoryTransports(this.platform.network);
    this.platform.onEvent = (event) => this.onEvent(event);
    this.platform.log.onAppend = (entry) =>
      this.onEvent({ kind: "append", entry });
    this.#addHosts();
    for (const address of RECORD_SERVICES) {
      this.platform.addRecordService(address);
    }
    for (const [index, name] of NODES.entries()) {
      this.nodes.set(name, this.#createNode(name, index));
    }
  }

  /** The node of a name. */
  node(name: string): MemoryNode {
    return this.nodes.get(name)!;
  }

  /** The engine of a host. */
  engine(host: string): EngineModel {
    return this.platform.engines.get(this.host(host).address)!;
  }

  /** A host as the platform announces it. */
  host(name: string): Host {
    return this.platform.hosts.get(name)!;
  }

  /** All record services. */
  get recordServices(): readonly RecordModel[] {
    return [...this.platform.records.values()];
  }

  /** Starts every node. */
  async start(): Promise<void> {
    for (const node of this.nodes.values()) {
      await node.start();
    }
  }

  /** Runs a task of the row; a failure ends the row. */
  run(task: Promise<unknown>): void {
    task.catch((failure) => {
      this.#failure ??= failure;
    });
  }

  /**
   * Keeps the row's time still until `work` is done. A node that starts compiles
   * WebAssembly on another thread, so its start would else take a time in the
   * row that depends on the machine.
   */
  async holdTime<Value>(work: Promise<Value>): Promise<Value> {
    this.#holds++;
    try {
      return await work;
    } finally {
      this.#holds--;
    }
  }

  /** Moves time forward until a moment. */
  async runUntil(moment: number): Promise<void> {
    while (this.clock.now() < moment) {
      await this.clock.advance(SETTLE_STEP_MS);
      // Lets every task run that has become ready, however deep its chain.
      do {
        await new Promise<void>((resolve) => setImmediate(resolve));
      } while (this.#holds > 0);
      if (this.#failure !== undefined) {
        throw this.#failure;
      }
    }
  }

  /** Ends all nodes and the platform. */
  async stop(): Promise<void> {
    for (const node of this.nodes.values()) {
      node.kill();
    }
    await this.platform.stop();
  }

  /** Takes a host away without a word; its memory is lost. */
  loseHost(name: string): () => void {
    const { address } = this.host(name);
    this.platform.network.setModeOfEnd(address, "silent");
    this.engine(name).reset();
    const close = openSpan(
      this.records.missingHosts,
      name,
      this.clock.now(),
    );
    return () => {
      this.engine(name).reset();
      this.platform.network.setModeOfEnd(address, "pass");
      close(this.clock.now());
    };
  }

  /** Makes a host stand still; it keeps its memory. */
  pauseHost(name: string): () => void {
    const { address } = this.host(name);
    this.platform.network.setModeOfEnd(address, "silent");
    this.#engineClocks.get(name)!.pause();
    const close = openSpan(
      this.records.missingHosts,
      name,
      this.clock.now(),
    );
    return () => {
      this.platform.network.setModeOfEnd(address, "pass");
      this.#engineClocks.get(name)!.continue();
      close(this.clock.now());
    };
  }

  /** Cuts nodes from the log. */
  cutLog(
    names: readonly string[],
    cut: () => void,
  ): (heal: () => void) => void {
    cut();
    const closes = names.map((name) =>
      openSpan(this.records.cutFromLog, name, this.clock.now())
    );
    return (heal) => {
      heal();
      for (const close of closes) {
        close(this.clock.now());
      }
    };
  }

  #addHosts(): void {
    let number = 1;
    for (const [domain, size] of DOMAIN_SIZES.entries()) {
      for (let index = 0; index < size; index++) {
        const clock = new PausableClock(this.clock);
        const host = `host-${number}`;
        this.#engineClocks.set(host, clock);
        this.platform.addHost({
          host,
          address: `127.0.0.1:${FIRST_ENGINE_PORT + number}`,
          dataCentre: "dc-1",
          fabricDomain: `fabric-${domain + 1}`,
          accelerators: ACCELERATORS,
          state: "live",
        }, {
          batchSize: BATCH_SIZE,
          stepMs: STEP_MS,
          checksFence: domain !== IGNORING_DOMAIN &&
            this.mechanism.engines?.checksFence !== false,
          loadMs: LOAD_MS,
        }, clock);
        number++;
      }
    }
  }

  #createNode(name: string, index: number): MemoryNode {
    const addresses = NODES.map((_, peer) =>
      `127.0.0.1:${FIRST_PEER_PORT + peer}`
    );
    const peerAddress = addresses[index]!;
    return new MemoryNode(this, {
      name,
      peerAddress,
      peers: addresses.filter((address) => address !== peerAddress),
      seed: this.#seed + index,
    });
  }
}
