/**
 * Opens and accepts connections to other nodes, with one task for each.
 *
 * @module
 */
import type { PeerConnection, PeerTransport } from "@zinniahill/clients";
import {
  type Clock,
  describeError,
  type Logger,
  type Random,
  TaskGroup,
  withDeadline,
} from "@zinniahill/kernel";
import type {
  MessageOf,
  PeerMessage,
  TopologyRole,
} from "../model/peer-message.ts";
import type { RelayKernel } from "../services.ts";
import { IdleTimeout } from "./idle-timeout.ts";
import { type Link, LinkTable } from "./link.ts";
import type { NodeDirectory } from "./node-directory.ts";
import { decodeMessage, encodeMessage } from "./peer-codec.ts";
import { planTopology, type Topology } from "./topology.ts";

/** Handles what happens on links. */
export interface LinkListener {
  /** Creates the messages that follow the greeting. */
  createFirstMessages(): readonly PeerMessage[];
  /** Returns the time without a message after which a connection is closed. */
  getIdleTimeoutMs(): number;
  onMessage(link: Link, message: PeerMessage): void;
  onClose(link: Link): void;
}

const CONNECT_TIMEOUT_MS = 500;
const RECONNECT_DELAY_MS = 200;
const MAX_RECONNECT_DELAY_MS = 2000;
/**
 * Nodes that start together are announced one after the other. A plan for only
 * some of them would open connections that the next one closes.
 */
const SETTLE_MS_PER_NODE = 20;
const MAX_SETTLE_MS = 600;
/** The interval at which a hub that was unreachable is tried. */
const RETRY_INTERVAL_MS = 5000;
/** The role of a link's other end for the node that dials, by its own role. */
const DIALED_ROLES: Readonly<Record<TopologyRole, TopologyRole>> = {
  peer: "peer",
  hub: "hub",
  spoke: "hub",
};

/** Keeps the connections that the topology plans. */
export class Connector {
  readonly links: LinkTable;
  #clock: Clock;
  #logger: Logger;
  #random: Random;
  #transport: PeerTransport;
  #directory: NodeDirectory;
  #listener: LinkListener;
  #tasks: TaskGroup;
  #topology: Topology = { role: "peer", targets: new Set() };
  /** Ends the task of each node that this node connects to. */
  #dials = new Map<string, AbortController>();
  /** Hubs that another node replaces until they answer again. */
  #unusable = new Set<string>();
  #connections = new Set<PeerConnection>();
  #isPlanDue = false;

  constructor(
    kernel: RelayKernel,
    directory: NodeDirectory,
    listener: LinkListener,
  ) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#random = kernel.find("random");
    this.#transport = kernel.find("peerTransport");
    this.#directory = directory;
    this.#listener = listener;
    this.links = new LinkTable(directory.own.name);
    this.#tasks = new TaskGroup(this.#clock, this.#logger);
  }

  async start(): Promise<void> {
    await this.#transport.listen(
      this.#directory.own.peerAddress,
      (connection) => this.#accept(connection),
    );
  }

  async stop(): Promise<void> {
    this.#connections.forEach((connection) => connection.close());
    await this.#tasks.stop();
  }

  get role(): TopologyRole {
    return this.#topology.role;
  }

  /** Plans the topology again, once no further node has been added for a time. */
  planSoon(): void {
    if (!this.#isPlanDue) {
      this.#isPlanDue = true;
      this.#tasks.run("plan_topology", async (signal) => {
        await this.#waitUntilSettled(signal);
        this.#isPlanDue = false;
        this.#plan();
      });
    }
  }

  async #waitUntilSettled(signal: AbortSignal): Promise<void> {
    let count: number;
    do {
      count = this.#directory.count;
      const settleMs = Math.min(MAX_SETTLE_MS, count * SETTLE_MS_PER_NODE);
      await this.#clock.sleep(settleMs, signal);
    } while (count !== this.#directory.count);
  }

  #plan(): void {
    const { own } = this.#directory;
    const planned = planTopology(
      own,
      this.#directory.list(),
      (name) => !this.#unusable.has(name),
    );
    const isRoleChanged = planned.role !== this.#topology.role;
    if (isRoleChanged) {
      this.#logger.info("topology_changed", {
        role: planned.role,
        before: this.#topology.role,
        nodes: this.#directory.count,
      });
    }
    this.#topology = planned;
    for (const [name, controller] of this.#dials) {
      // The roles of a connection's ends do not change while it is open.
      if (isRoleChanged || !planned.targets.has(name)) {
        this.#dials.delete(name);
        controller.abort();
      }
    }
    for (const name of planned.targets) {
      if (!this.#dials.has(name)) {
        this.#startDial(name);
      }
    }
  }

  #startDial(name: string): void {
    const controller = new AbortController();
    this.#dials.set(name, controller);
    this.#tasks.run(`dial_${name}`, async (stopSignal) => {
      const onStop = () => controller.abort();
      stopSignal.addEventListener("abort", onStop, { once: true });
      try {
        await this.#dial(name, controller.signal);
      } catch (failure) {
        // The wait of a node that is no longer a target ends with an error.
        if (!controller.signal.aborted) {
          throw failure;
        }
      } finally {
        stopSignal.removeEventListener("abort", onStop);
      }
    });
  }

  async #dial(name: string, signal: AbortSignal): Promise<void> {
    let failures = 0;
    while (!signal.aborted) {
      if (this.links.find(name) === undefined) {
        const hasConnected = await this.#connect(name, signal);
        failures = hasConnected ? 0 : failures + 1;
      }
      const delayMs = Math.min(
        MAX_RECONNECT_DELAY_MS,
        RECONNECT_DELAY_MS * 2 ** failures,
      );
      await this.#clock.sleep(
        delayMs * (1 + this.#random.fraction()) / 2,
        signal,
      );
    }
  }

  /** Connects once and serves the connection; false if it was not opened. */
  async #connect(name: string, signal: AbortSignal): Promise<boolean> {
    const { peerAddress } = this.#directory.find(name)!;
    let connection: PeerConnection;
    try {
      connection = await withDeadline(
        this.#clock,
        CONNECT_TIMEOUT_MS,
        signal,
        (connectSignal) => this.#transport.connect(peerAddress, connectSignal),
      );
    } catch (error) {
      signal.throwIfAborted();
      this.#logger.debug("peer_unreachable", {
        peer: name,
        error: describeError(error),
      });
      this.#markUnusable(name);
      return false;
    }
    const { role } = this.#topology;
    const hasTimedOut = await this.#serve(
      connection,
      role,
      DIALED_ROLES[role],
      signal,
    );
    if (hasTimedOut) {
      this.#markUnusable(name);
    }
    return !hasTimedOut;
  }

  /** Lets another node take a hub's place until it answers again. */
  #markUnusable(name: string): void {
    if (this.#topology.role === "peer" || this.#unusable.has(name)) {
      return;
    }
    this.#unusable.add(name);
    this.#plan();
    this.#tasks.run(`probe_${name}`, async (signal) => {
      do {
        await this.#clock.sleep(RETRY_INTERVAL_MS, signal);
      } while (!await this.#isResponding(name, signal));
      this.#unusable.delete(name);
      this.#plan();
    });
  }

  /** Whether a node accepts a connection and greets. */
  async #isResponding(name: string, signal: AbortSignal): Promise<boolean> {
    const { peerAddress } = this.#directory.find(name)!;
    let connection: PeerConnection | undefined;
    try {
      const greeting = await withDeadline(
        this.#clock,
        CONNECT_TIMEOUT_MS,
        signal,
        async (probeSignal) => {
          connection = await this.#transport.connect(peerAddress, probeSignal);
          return await connection.receive(probeSignal);
        },
      );
      return greeting !== undefined;
    } catch {
      // The node is still unreachable.
      signal.throwIfAborted();
      return false;
    } finally {
      connection?.close();
    }
  }

  #accept(connection: PeerConnection): void {
    this.#tasks.run("accepted_peer", async (signal) => {
      await this.#serve(connection, this.#topology.role, undefined, signal);
    });
  }

  /**
   * Serves one connection until it ends; returns whether it timed out.
   * `dialedRole` is the role of the other end if this node has dialed.
   */
  async #serve(
    connection: PeerConnection,
    ownRole: TopologyRole,
    dialedRole: TopologyRole | undefined,
    stopSignal: AbortSignal,
  ): Promise<boolean> {
    let link: Link | undefined;
    let hasTimedOut = false;
    const idleTimeout = new IdleTimeout(
      this.#clock,
      this.#listener.getIdleTimeoutMs(),
      () => {
        hasTimedOut = true;
        connection.close();
      },
    );
    const onStop = () => connection.close();
    stopSignal.addEventListener("abort", onStop, { once: true });
    this.#connections.add(connection);
    const greeting: MessageOf<"hello"> = {
      kind: "hello",
      entry: this.#directory.own,
      role: ownRole,
      known: this.#directory.listAll(),
    };
    for (
      const message of [greeting, ...this.#listener.createFirstMessages()]
    ) {
      connection.send(encodeMessage(message));
    }
    // Closing the connection ends the wait; a signal that all connections share
    // would hold a listener of each.
    const { signal } = new AbortController();
    try {
      for (;;) {
        const bytes = await connection.receive(signal);
        if (bytes === undefined || stopSignal.aborted) {
          return hasTimedOut;
        }
        idleTimeout.reset(this.#listener.getIdleTimeoutMs());
        const message = this.#decode(link, bytes);
        if (message?.kind === "hello") {
          const isDialed = dialedRole !== undefined;
          const role = dialedRole ?? message.role;
          const { entry } = message;
          link = { entry, connection, role, isDialed };
          if (!this.links.add(link)) {
            return false;
          }
          this.#logger.info("peer_connected", { peer: entry.name, role });
        }
        if (link !== undefined && message !== undefined) {
          this.#listener.onMessage(link, message);
        }
      }
    } finally {
      idleTimeout.cancel();
      stopSignal.removeEventListener("abort", onStop);
      this.#connections.delete(connection);
      connection.close();
      if (link !== undefined && this.links.remove(link)) {
        this.#listener.onClose(link);
      }
    }
  }

  #decode(link: Link | undefined, bytes: Uint8Array): PeerMessage | undefined {
    const decoded = decodeMessage(bytes);
    if (decoded.isErr) {
      this.#logger.warn("peer_message_unreadable", {
        peer: link?.entry.name,
        error: decoded.error,
      });
      return undefined;
    }
    return decoded.value;
  }
}
