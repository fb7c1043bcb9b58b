/**
 * Nodes on one clock, with the platform and the links in memory.
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

/** Rules that a test publishes; the name tells versions apart. */
export function createRulesText(name: string): string {
  return `model ${name} version=1 hosts=1 replicas=0 # asked by the test`;
}

/** Creates a record with a new configuration. */
export function createConfiguration(
  id: string,
  basis: number,
  name: string,
): ControlRecord {
  const text = createRulesText(name);
  return { kind: "configuration", id, node: "test", basis, text, author: "a" };
}

/** Creates an operator's command about a host. */
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

/** Address on which a node listens for peers. */
export function createPeerAddress(index: number): string {
  return `127.0.0.1:${7000 + index}`;
}

/** What the settings of a node in a test may change. */
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
  change: SettingsOverrides = {},
): Settings {
  const { peers = [], timing = [], limits = [] } = change;
  const text = [
    "[node]",
    `name = ${change.name ?? `n${index}`}`,
    `data-centre = ${change.dataCentre ?? "dc-1"}`,
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

/** Collects events instead of writing them. */
export class RecordingLogger implements Logger {
  readonly events: { event: string; fields: Fields }[] = [];
  error = (event: string, fields: Fields = {}) => this.#note(event, fields);
  warn = (event: string, fields: Fields = {}) => this.#note(event, fields);
  info = (event: string, fields: Fields = {}) => this.#note(event, fields);
  debug = (event: string, fields: Fields = {}) => this.#note(event, fields);

  /** The number of events of a name. */
  count(event: string): number {
    return this.events.filter((entry) => entry.event === event).length;
  }

  #note(event: string, fields: Fields): void {
    this.events.push({ event, fields });
  }
}

/** Creates the `state` service alone. */
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

/** Nodes that know each other, and the platform that they share. */
export class Cluster {
  readonly clock = new ManualClock();
  readonly platform = new MemoryPlatform(this.clock);
  readonly nodes: NodeKernel[] = [];
  readonly transports = new MemoryTransports(this.platform.network);
  #addresses: string[];
  #changes: (index: number) => SettingsOverrides;
  #starts = 0;

  constructor(
    size: number,
    change: (index: number) => SettingsOverrides = () => ({}),
  ) {
    this.#addresses = Array.from(
      { length: size },
      (_, index) => createPeerAddress(index),
    );
    this.#changes = change;
  }

  /** Starts all nodes and gives them time to connect. */
  async startAll(settleMs = 1000): Promise<void> {
    for (const index of this.#addresses.keys()) {
      await this.startNode(index);
    }
    await this.clock.advance(settleMs);
  }

  /** Starts the node at an index, with an empty memory. */
  async startNode(
    index: number,
    replacements: Replacements = {},
  ): Promise<NodeKernel> {
    const peers = this.#addresses.filter((_, other) => other !== index);
    const settings = createSettings(index, { peers, ...this.#changes(index) });
    this.#starts++;
    const node = createCoreNode(settings, {
      clock: this.clock,
      random: new SeededRandom(1000 + this.#starts),
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

  /** Stops a node, as the end of its process does. */
  async stopNode(index: number): Promise<void> {
    await this.nodes[index]?.stop();
  }

  /** Stops everything. */
  async stop(): Promise<void> {
    await Promise.allSettled(this.nodes.map((node) => node.stop()));
    await this.platform.stop();
  }

  /** Versions of the configuration that the nodes have in force. */
  get activeVersions(): number[] {
    return this.nodes.map((node) => {
      const { rules, control } = node.find("state");
      return rules === undefined ? 0 : control.configuration.version;
    });
  }

  /** Advances in small steps until a condition holds; returns the time taken. */
  async advanceUntil(limitMs: number, isMet: () => boolean): Promise<number> {
    const startedAt = this.clock.now();
    while (!isMet() && this.clock.now() - startedAt < limitMs) {
      await this.clock.advance(10);
    }
    return this.clock.now() - startedAt;
  }
}
