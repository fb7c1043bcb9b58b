/**
 * A node of one row: started, killed, paused, restarted and stopped.
 *
 * @module
 */
import { setMaxListeners } from "node:events";
import { type Logger, SeededRandom } from "@zinniahill/kernel";
import { createCoreNode, type NodeKernel } from "@zinniahill/node";
import { Settings } from "@zinniahill/schema";
import type { MemoryClients } from "@zinniahill/stand-ins";
import { PausableClock } from "./pausable-clock.ts";
import { bindClients, bindTransport } from "./process-clients.ts";
import { openSpan, type PlannedStop } from "./records.ts";
import type { World } from "./world.ts";

/** What makes one node differ from another. */
export interface MemoryNodeOptions {
  readonly name: string;
  readonly peerAddress: string;
  readonly peers: readonly string[];
  readonly seed: number;
}

const SEED_STRIDE = 1000;
const POLL_INTERVAL_MS = 50;
/** Below the retention of the rows whose records expire. */
const CHECKPOINT_INTERVAL = "2s";
const SILENT_LOGGER: Logger = {
  error: () => {},
  warn: () => {},
  info: () => {},
  debug: () => {},
};

/** One node; each start has empty memory. */
export class MemoryNode {
  readonly name: string;
  readonly peerAddress: string;
  /** Requests of callers that the node has not answered. */
  inFlight = 0;
  /** Orders of this node are under way for this long, even if it ends. */
  orderDelayMs = 0;
  #world: World;
  #options: MemoryNodeOptions;
  #kernel: NodeKernel | undefined;
  #clock: PausableClock;
  #start = 0;
  #isRunning = false;
  #avoidFrom = Infinity;
  #gone = new AbortController();
  #onStarted: () => void = () => {};

  constructor(world: World, options: MemoryNodeOptions) {
    this.name = options.name;
    this.peerAddress = options.peerAddress;
    this.#world = world;
    this.#options = options;
    this.#clock = new PausableClock(world.clock);
  }

  /** How often the node has been started. */
  get starts(): number {
    return this.#start;
  }

  /** The services of the current start. */
  get kernel(): NodeKernel | undefined {
    return this.#isRunning ? this.#kernel : undefined;
  }

  /** Whether callers that ask now, or have asked lately, use this node. */
  get isOffered(): boolean {
    return this.#isRunning && this.#world.clock.now() < this.#avoidFrom;
  }

  /** Starts the node with empty memory. */
  async start(): Promise<void> {
    if (this.#isRunning) {
      return;
    }
    this.#onStarted();
    this.#start++;
    this.#isRunning = true;
    this.#avoidFrom = Infinity;
    this.#gone = new AbortController();
    // Every request in flight listens on this signal.
    setMaxListeners(0, this.#gone.signal);
    this.#clock = new PausableClock(this.#world.clock);
    this.#kernel = this.#createKernel();
    await this.#world.holdTime(this.#kernel.start());
    this.#world.onEvent({ kind: "node-started", node: this.name });
  }

  /** Runs a caller's request; undefined when the node is gone before its end. */
  async handle<Value>(
    work: (kernel: NodeKernel) => Promise<Value>,
  ): Promise<Value | undefined> {
    const kernel = this.kernel;
    if (kernel === undefined) {
      return undefined;
    }
    const clock = this.#clock;
    this.inFlight++;
    try {
      return await Promise.race([
        clock.hold(Promise.resolve()).then(() => work(kernel)),
        waitForAbort(this.#gone.signal),
      ]);
    } finally {
      this.inFlight--;
    }
  }

  /** Ends the node without any message. */
  kill(): void {
    if (!this.#isRunning) {
      return;
    }
    this.#isRunning = false;
    this.#clock.end();
    this.#clock.continue();
    // Waits of an ended process never return, so its stop is not awaited.
    this.#kernel?.stop().catch(() => {});
    this.#onStarted = this.#noteStopped();
    this.#gone.abort();
  }

  /** Stops the node's time; the result continues it. */
  pause(): () => void {
    const clock = this.#clock;
    const noteStarted = this.#noteStopped();
    clock.pause();
    return () => {
      if (!clock.isEnded) {
        noteStarted();
        clock.continue();
      }
    };
  }

  /** Stops the node as an operator plans it. */
  async stopAsPlanned(): Promise<void> {
    const kernel = this.kernel;
    if (kernel === undefined) {
      return;
    }
    const { clock } = this.#world;
    const start = this.#start;
    const stop: PlannedStop = { node: this.name, start, from: clock.now() };
    this.#world.records.plannedStops.push(stop);
    this.#world.onEvent({ kind: "stop-begun", node: this.name });
    kernel.find("lifecycle").drain();
    const { timing } = kernel.find("settings");
    this.#avoidFrom = clock.now() + timing["lookup-validity"];
    if (!this.#world.mechanism.stopsAtOnce) {
      await clock.sleep(timing["lookup-validity"]);
      while (this.inFlight > 0 && this.#isRunning) {
        await clock.sleep(POLL_INTERVAL_MS);
      }
    }
    if (this.#start === start && this.#isRunning) {
      stop.to = clock.now();
      this.kill();
    }
  }

  #noteStopped(): () => void {
    const { clock, records } = this.#world;
    const closes = [records.stoppedNodes, records.cutFromLog].map((spans) =>
      openSpan(spans, this.name, clock.now())
    );
    return () => {
      for (const close of closes) {
        close(clock.now());
      }
    };
  }

  #createKernel(): NodeKernel {
    const { platform, transports, mechanism } = this.#world;
    const { name, peerAddress, seed } = this.#options;
    const bound = bindClients(
      this.#delayOrders(platform.createClients(name)),
      this.#clock,
    );
    const clients = mechanism.replaceClients?.(bound, name) ?? bound;
    const transport = bindTransport(
      transports.create(peerAddress),
      this.#clock,
    );
    return createCoreNode(this.#createSettings(), {
      clock: this.#clock,
      random: new SeededRandom(seed + SEED_STRIDE * this.#start),
      logger: SILENT_LOGGER,
      peerTransport: transport,
      ...clients,
    });
  }

  #delayOrders(clients: MemoryClients): MemoryClients {
    const { engines } = clients;
    return {
      ...clients,
      engines: {
        ...engines,
        sendOrder: async (address, order, timeoutMs, signal) => {
          if (this.orderDelayMs === 0) {
            return engines.sendOrder(address, order, timeoutMs, signal);
          }
          await this.#world.clock.sleep(this.orderDelayMs);
          // What was sent arrives, whether or not its sender still waits.
          const { signal: unbound } = new AbortController();
          return engines.sendOrder(address, order, timeoutMs, unbound);
        },
      },
    };
  }

  #createSettings(): Settings {
    const { name, peerAddress, peers } = this.#options;
    return Settings.parse({
      node: {
        name,
        "data-centre": "dc-1",
        "public-address": peerAddress,
        "admin-address": peerAddress,
        "peer-address": peerAddress,
        peers: peers.join(","),
        "admin-token": "matrix-admin-token-1",
        "peer-token": "matrix-peer-token-01",
      },
      platform: {
        log: "127.0.0.1:9301",
        "host-list": "127.0.0.1:9302",
        "weight-store": "127.0.0.1:9303",
      },
      timing: { "checkpoint-interval": CHECKPOINT_INTERVAL },
    });
  }
}

function waitForAbort(signal: AbortSignal): Promise<undefined> {
  return new Promise((resolve) => {
    signal.addEventListener("abort", () => resolve(undefined), { once: true });
  });
}
