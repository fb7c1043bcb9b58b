/**
 * A small fleet in memory: nodes, hosts and the platform on one manual clock.
 *
 * @module
 */
import {
  type Clock,
  ManualClock,
  SeededRandom,
  sleepUsing,
} from "@zinniahill/kernel";
import { createCoreNode, type NodeKernel } from "@zinniahill/node";
import {
  type ControlRecord,
  type ControlRecordOf,
  type GroupState,
  parseSettings,
  type Settings,
} from "@zinniahill/schema";
import {
  type EngineModel,
  type EngineOptions,
  type MemoryClients,
  MemoryPlatform,
  MemoryTransports,
} from "@zinniahill/stand-ins";

const SILENT_LOGGER = {
  error: () => {},
  warn: () => {},
  info: () => {},
  debug: () => {},
};
const DEFAULT_ENGINE = {
  batchSize: 4,
  stepMs: 20,
  checksFence: true,
  loadMs: 500,
};
const STEP_MS = 50;

/** A clock of one process: its timers and replies wait while it is paused. */
export class ProcessClock implements Clock {
  #clock: Clock;
  #held: (() => void)[] = [];
  #isPaused = false;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  now(): number {
    return this.#clock.now();
  }

  wallTime(): number {
    return this.#clock.wallTime();
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return sleepUsing(this, ms, signal);
  }

  schedule(ms: number, callback: () => void): () => void {
    let isCancelled = false;
    const fire = () => {
      if (!isCancelled) {
        callback();
      }
    };
    const cancel = this.#clock.schedule(
      ms,
      () => this.#isPaused ? this.#held.push(fire) : fire(),
    );
    return () => {
      isCancelled = true;
      cancel();
    };
  }

  pause(): void {
    this.#isPaused = true;
  }

  resume(): void {
    this.#isPaused = false;
    this.#held.splice(0).forEach((fire) => fire());
  }

  /** Resolves when the process runs. */
  running(): Promise<void> {
    return this.#isPaused
      ? new Promise((resolve) => this.#held.push(resolve))
      : Promise.resolve();
  }
}

/** One node and the clock of its process. */
export interface FleetNode {
  readonly name: string;
  readonly kernel: NodeKernel;
  readonly process: ProcessClock;
}

/** A fleet whose parts a test starts, cuts off and pauses. */
export class Fleet {
  readonly clock = new ManualClock();
  readonly platform = new MemoryPlatform(this.clock);
  readonly nodes: FleetNode[] = [];
  #transports = new MemoryTransports(this.platform.network);
  #hostNumber = 0;
  #version = 0;

  /** Adds hosts to a fabric domain. */
  addHosts(
    names: readonly string[],
    fabricDomain: string,
    dataCentre = "dc-1",
    options: Partial<EngineOptions> = {},
  ): EngineModel[] {
    return names.map((host) =>
      this.platform.addHost({
        host,
        address: `10.0.0.${++this.#hostNumber}:80`,
        dataCentre,
        fabricDomain,
        accelerators: 8,
        state: "live",
      }, { ...DEFAULT_ENGINE, ...options })
    );
  }

  /** Publishes rules. */
  publish(...rules: string[]): void {
    const text = rules.map((rule) => `${rule} # asked by the test\n`).join("");
    this.#version = this.platform.log.append("control", [{
      kind: "configuration",
      id: `configuration-${this.#version}`,
      node: "test",
      basis: this.#version,
      text,
      author: "test",
    }]);
  }

  /** Appends an operator's command on a host. */
  setDrained(host: string, drained: boolean): void {
    this.platform.log.append("control", [{
      kind: "host-drained",
      id: `drained-${host}-${drained}-${this.clock.now()}`,
      node: "test",
      host,
      drained,
      author: "test",
    }]);
  }

  /** Starts a node that is connected to all nodes started before. */
  async start(name: string, dataCentre = "dc-1"): Promise<FleetNode> {
    const index = this.nodes.length + 1;
    const peers = this.nodes.map((_node, other) => createPeerAddress(other));
    const settings = createSettings(name, dataCentre, index - 1, peers);
    const process = new ProcessClock(this.clock);
    const kernel = createCoreNode(settings, {
      clock: process,
      random: new SeededRandom(index),
      logger: SILENT_LOGGER,
      peerTransport: this.#transports.create(settings.node["peer-address"]),
      ...guardClients(this.platform.createClients(name), process),
    });
    const node = { name, kernel, process };
    this.nodes.push(node);
    await kernel.start();
    return node;
  }

  /** Moves time in small steps until a condition holds; fails at a limit. */
  async until(limitMs: number, isMet: () => boolean): Promise<number> {
    const start = this.clock.now();
    while (!isMet()) {
      if (this.clock.now() - start >= limitMs) {
        throw new Error(`the condition did not hold within ${limitMs} ms`);
      }
      await this.clock.advance(STEP_MS);
    }
    return this.clock.now() - start;
  }

  /** Moves time in small steps, checking a condition after each. */
  async during(ms: number, check: () => void): Promise<void> {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      await this.clock.advance(STEP_MS);
      check();
    }
  }

  /** Waits until a node serves a number of groups. */
  untilServed(node: FleetNode, count = 1, model = "chat"): Promise<number> {
    return this.until(
      60_000,
      () => listServable(node, model).length === count,
    );
  }

  /** Returns the engine of a host. */
  engine(host: string): EngineModel {
    return this.platform.engines.get(this.address(host))!;
  }

  /** Returns the address of a host, its end in the network. */
  address(host: string): string {
    const engine = [...this.platform.engines].find(([, { options }]) =>
      options.host === host
    );
    return engine![0];
  }

  /** Cuts a host off, or connects it again. */
  setHost(host: string, mode: "pass" | "silent" | "refuse"): void {
    this.platform.network.setModeOfEnd(this.address(host), mode);
  }

  /** Returns the records of one kind, accepted or not. */
  records<Kind extends ControlRecord["kind"]>(
    kind: Kind,
  ): ControlRecordOf<Kind>[] {
    return this.platform.log.entries("control")
      .flatMap(({ records }) => records as ControlRecord[])
      .filter((record): record is ControlRecordOf<Kind> =>
        record.kind === kind
      );
  }

  async stop(): Promise<void> {
    const stopping = this.nodes.map(({ kernel, process }) => {
      process.resume();
      return kernel.stop();
    });
    await this.clock.advance(10_000);
    await Promise.all([...stopping, this.platform.stop()]);
  }
}

/** Groups that a node serves. */
export function listServable(node: FleetNode, model = "chat"): GroupState[] {
  return node.kernel.find("evidence").listServable(model);
}

/** Groups that a node has read from the log. */
export function listGroups({ kernel }: FleetNode): GroupState[] {
  return [...kernel.find("state").control.groups.values()];
}

/** The lease of a scope that a node holds. */
export function findLease({ kernel }: FleetNode, dataCentre = "dc-1") {
  return kernel.find("leases").findHeld(`placement/${dataCentre}`);
}

/** Starts a request on the lead of a group, as a node does. */
export function startRequest(
  lead: EngineModel,
  group: string,
  maxTokens: number,
): void {
  const body = {
    request: "r1",
    group,
    model: "chat",
    messages: [{ role: "user", content: "hello" }],
    maxTokens,
    priority: 1,
    offset: 0,
  };
  const sink = { write: () => {}, end: () => {}, drop: () => {} };
  const refusal = lead.generate(body, sink);
  if (refusal !== undefined) {
    throw new Error(`the lead refused the request: ${refusal}`);
  }
}

function createPeerAddress(index: number): string {
  return `10.1.0.${index + 1}:9000`;
}

function createSettings(
  name: string,
  dataCentre: string,
  index: number,
  peers: readonly string[],
): Settings {
  const text = `
[node]
name = ${name}
data-centre = ${dataCentre}
public-address = 10.1.0.${index + 1}:8000
admin-address = 10.1.0.${index + 1}:8001
peer-address = ${createPeerAddress(index)}
${peers.length === 0 ? "" : `peers = ${peers.join(",")}`}
admin-token = 0123456789abcdef
peer-token = 0123456789abcdef
[platform]
log = 10.2.0.1:80
host-list = 10.2.0.2:80
weight-store = 10.2.0.3:80
`;
  const settings = parseSettings("test.ini", text);
  if (settings.isErr) {
    throw new Error(JSON.stringify(settings.error));
  }
  return settings.value;
}

/** Makes replies wait while the process that asked is paused. */
function guardClients(
  clients: MemoryClients,
  process: ProcessClock,
): MemoryClients {
  const guard = async <Value>(reply: Promise<Value>): Promise<Value> => {
    const value = await reply;
    await process.running();
    return value;
  };
  const { log, hostList, weightStore, engines, plainServices } = clients;
  return {
    log: {
      append: (...call) => guard(log.append(...call)),
      read: (...call) => guard(log.read(...call)),
    },
    hostList: { list: (...call) => guard(hostList.list(...call)) },
    weightStore: {
      requestGrant: (...call) => guard(weightStore.requestGrant(...call)),
    },
    engines: {
      probe: (...call) => guard(engines.probe(...call)),
      sendOrder: (...call) => guard(engines.sendOrder(...call)),
      generate: (...call) => guard(engines.generate(...call)),
      cancel: (...call) => guard(engines.cancel(...call)),
      readCacheEvents: (...call) => guard(engines.readCacheEvents(...call)),
    },
    plainServices,
  };
}
