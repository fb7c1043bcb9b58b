/**
 * Nodes on one manual clock, with an in-memory platform and network.
 *
 * @module
 */
import {
  type Fields,
  Kernel,
  type Logger,
  ManualClock,
  SeededRandom,
} from "@zinniahill/kernel";
import {
  createCoreNode,
  type NodeKernel,
  type PeerTransport,
  type Replacements,
  type Services,
} from "@zinniahill/node";
import type { Log } from "@zinniahill/clients";
import {
  type ControlRecord,
  parseSettings,
  Settings,
} from "@zinniahill/schema";
import { MemoryPlatform, MemoryTransports } from "@zinniahill/stand-ins";
import { ControlState } from "../../src/state/control-state.ts";

/** Creates rules with one model, whose name tells versions apart. */
export function createRulesText(name: string): string {
  return `model ${name} version=1 hosts=1 replicas=0 # asked by the test`;
}

/** Creates a record that publishes a configuration based on a version. */
export function createConfiguration(
  id: string,
  basis: number,
  name: string,
): ControlRecord {
  const text = createRulesText(name);
  return { kind: "configuration", id, node: "test", basis, text, author: "a" };
}

/** Creates an operator's command to drain a host or to undo that. */
export function createHostDrain(id: string, drained: boolean): ControlRecord {
  const author = "operator";
  return {
    kind: "host-drained",
    id,
    node: "test",
    host: "h1",
    drained,
    author,
  };
}

/** Creates the address at which the node at an index listens for peers. */
export function createPeerAddress(index: number): string {
  return `127.0.0.1:${7000 + index}`;
}

/** Settings of a node that a test may override. */
export interface SettingsOverrides {
  readonly name?: string;
  readonly dataCentre?: string;
  readonly peers?: readonly string[];
  readonly timing?: readonly string[];
  readonly limits?: readonly string[];
}

/** Creates the settings of the node at an index. */
export function createSettings(
  index: number,
  overrides: SettingsOverrides = {},
): Settings {
  const { peers = [], timing = [], limits = [] } = overrides;
  const text = [
    "[node]",
    `name = ${overrides.name ?? `n${index}`}`,
    `data-centre = ${overrides.dataCentre ?? "dc-1"}`,
    `public-address = 127.0.0.1:${8000 + index}`,
    `admin-address = 127.0.0.1:${9000 + index}`,
    `peer-address = ${createPeerAddress(index)}`,
    ...(peers.length > 0 ? [`peers = ${peers.join(",")}`] : []),
    "admin-token = 0123456789abcdef",
    "peer-token = 0123456789abcdef",
    "[platform]",
    "log = 127.0.0.1:1",
    "host-list = 127.0.0.1:2",
    "weight-store = 127.0.0.1:3",
    "[timing]",
    ...timing,
    "[limits]",
    ...limits,
    "[output]",
    "log-level = silent",
  ].join("\n");
  return parseSettings("test.ini", text).unwrapOrElse((faults) => {
    throw new Error(JSON.stringify(faults));
  });
}

/** Collects log events instead of writing them. */
export class RecordingLogger implements Logger {
  readonly events: { event: string; fields: Fields }[] = [];
  error = (event: string, fields: Fields = {}) => this.#record(event, fields);
  warn = (event: string, fields: Fields = {}) => this.#record(event, fields);
  info = (event: string, fields: Fields = {}) => this.#record(event, fields);
  debug = (event: string, fields: Fields = {}) => this.#record(event, fields);

  /** Counts the events of a name. */
  count(event: string): number {
    return this.events.filter((entry) => entry.event === event).length;
  }

  #record(event: string, fields: Fields): void {
    this.events.push({ event, fields });
  }
}

/** Creates and starts the `state` service without the rest of a node. */
export function createControlState(
  clock: ManualClock,
  log: Log,
  logger: Logger = new RecordingLogger(),
): ControlState {
  const kernel: NodeKernel = new Kernel<Services>();
  kernel
    .provide("clock", [], () => clock)
    .provide("logger", [], () => logger)
    .provide("settings", [], () => createSettings(1))
    .provide("log", [], () => log)
    .provide(
      "state",
      ["clock", "logger", "settings", "log"],
      (services) => new ControlState(services),
    );
  void kernel.start();
  return kernel.find("state");
}

/** Nodes that are peers of each other, and the platform that they share. */
export class Cluster {
  readonly clock = new ManualClock();
  readonly platform = new MemoryPlatform(this.clock);
  readonly nodes: NodeKernel[] = [];
  readonly transports = new MemoryTransports(this.platform.network);
  #addresses: string[];
  #createOverrides: (index: number) => SettingsOverrides;
  #startCount = 0;

  constructor(
    size: number,
    overrides: (index: number) => SettingsOverrides = () => ({}),
  ) {
    this.#addresses = Array.from(
      { length: size },
      (_, index) => createPeerAddress(index),
    );
    this.#createOverrides = overrides;
  }

  /** Starts all nodes and gives them time to connect. */
  async startAll(settleMs = 1000): Promise<void> {
    for (const index of this.#addresses.keys()) {
      await this.startNode(index);
    }
    await this.clock.advance(settleMs);
  }

  /** Starts the node at an index without any earlier state. */
  async startNode(
    index: number,
    replacements: Replacements = {},
  ): Promise<NodeKernel> {
    const peers = this.#addresses.filter((_, other) => other !== index);
    const settings = createSettings(index, {
      peers,
      ...this.#createOverrides(index),
    });
    this.#startCount++;
    const node = createCoreNode(settings, {
      clock: this.clock,
      random: new SeededRandom(1000 + this.#startCount),
      peerTransport: this.createTransport(index),
      ...this.platform.createClients(settings.node.name),
      ...replacements,
    });
    this.nodes[index] = node;
    await node.start();
    return node;
  }

  /** Creates the transport of the node at an index. */
  createTransport(index: number): PeerTransport {
    return this.transports.create(createPeerAddress(index));
  }

  /** Stops the node at an index, as if its process ended. */
  async stopNode(index: number): Promise<void> {
    await this.nodes[index]?.stop();
  }

  /** Stops all nodes and the platform. */
  async stop(): Promise<void> {
    await Promise.allSettled(this.nodes.map((node) => node.stop()));
    await this.platform.stop();
  }

  /** The version of the configuration in force at each node; 0 without one. */
  get activeVersions(): number[] {
    return this.nodes.map((node) => {
      const { rules, control } = node.find("state");
      return rules === undefined ? 0 : control.configuration.version;
    });
  }

  /**
   * Advances the clock in small steps until a condition holds or the limit has
   * passed. Returns the time that passed, in ms.
   */
  async advanceUntil(limitMs: number, isMet: () => boolean): Promise<number> {
    const startedAt = this.clock.now();
    while (!isMet() && this.clock.now() - startedAt < limitMs) {
      await this.clock.advance(10);
    }
    return this.clock.now() - startedAt;
  }
}
