/**
 * What this node knows of the other nodes; one task for each connection.
 *
 * @module
 */
import {
  type Clock,
  type Logger,
  type Service,
  TaskGroup,
  withDeadline,
} from "@zinniahill/kernel";
import {
  decodePeerMessage,
  encodePeerMessage,
  type PeerMessage,
  type PeerMessageOf,
  PROTOCOL_VERSION,
  type Settings,
} from "@zinniahill/schema";
import type { Lifecycle } from "../lifecycle.ts";
import type { NodeKernel } from "../services.ts";
import type { ControlState } from "../state/control-state.ts";
import type { PeerConnection, PeerTransport } from "./transport.ts";

/** What is known of a peer that is connected. */
export interface Peer {
  readonly hello: PeerMessageOf<"hello">;
  heartbeat?: PeerMessageOf<"heartbeat">;
}

type PeerListener = (node: string, message: PeerMessage) => void;

const RECONNECT_PAUSE_MS = 500;

/** Knows the other nodes. */
export class Peers implements Service {
  #clock: Clock;
  #logger: Logger;
  #settings: Settings;
  #lifecycle: Lifecycle;
  #state: ControlState;
  #transport: PeerTransport;
  #tasks: TaskGroup;
  #peers = new Map<string, Peer>();
  #connections = new Set<PeerConnection>();
  #listeners = new Map<PeerMessage["kind"], PeerListener[]>();

  constructor(kernel: NodeKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#settings = kernel.find("settings");
    this.#lifecycle = kernel.find("lifecycle");
    this.#state = kernel.find("state");
    this.#transport = kernel.find("peerTransport");
    this.#tasks = new TaskGroup(this.#clock, this.#logger);
  }

  async start(): Promise<void> {
    const { "peer-address": ownAddress, peers = [] } = this.#settings.node;
    await this.#transport.listen(ownAddress, (connection) => {
      this.#tasks.run("serve_peer", (signal) => this.#talk(connection, signal));
    });
    for (const address of peers) {
      this.#tasks.repeat(
        "connect_peer",
        RECONNECT_PAUSE_MS,
        (signal) => this.#connect(address, signal),
      );
    }
  }

  stop(): Promise<void> {
    return this.#tasks.stop();
  }

  dump(): unknown {
    return { peers: [...this.#peers.values()] };
  }

  /** Peers that are connected. */
  list(): Peer[] {
    return [...this.#peers.values()];
  }

  /** Calls `listener` for every message of a kind that a peer sends. */
  onMessage<Kind extends PeerMessage["kind"]>(
    kind: Kind,
    listener: (node: string, message: PeerMessageOf<Kind>) => void,
  ): void {
    const listeners = this.#listeners.get(kind) ?? [];
    this.#listeners.set(kind, [...listeners, listener as PeerListener]);
  }

  /** Sends a message to every peer that is connected. */
  broadcast(message: PeerMessage): void {
    const bytes = encodePeerMessage(message);
    for (const connection of this.#connections) {
      connection.send(bytes);
    }
  }

  async #connect(address: string, signal: AbortSignal): Promise<void> {
    const limitMs = this.#settings.timing["peer-deadline"];
    try {
      const connection = await withDeadline(
        this.#clock,
        limitMs,
        signal,
        (limited) => this.#transport.connect(address, limited),
      );
      await this.#talk(connection, signal);
    } catch {
      this.#logger.debug("peer_unreachable", { address });
    }
  }

  /** Exchanges messages on one connection until it ends or goes silent. */
  async #talk(connection: PeerConnection, signal: AbortSignal): Promise<void> {
    const limitMs = this.#settings.timing["peer-deadline"];
    const ended = new AbortController();
    this.#connections.add(connection);
    const beating = this.#beat(
      connection,
      AbortSignal.any([signal, ended.signal]),
    ).catch(() => {});
    let name: string | undefined;
    try {
      for (;;) {
        const bytes = await withDeadline(
          this.#clock,
          limitMs,
          signal,
          (limited) => connection.receive(limited),
        );
        if (bytes === undefined) {
          return;
        }
        const message = decodePeerMessage(bytes);
        if (message.isErr) {
          this.#logger.warn("peer_message_invalid", { error: message.error });
          return;
        }
        name = this.#onMessage(name, message.value);
      }
    } finally {
      this.#connections.delete(connection);
      connection.close();
      ended.abort();
      await beating;
      if (name !== undefined) {
        this.#peers.delete(name);
      }
    }
  }

  #onMessage(
    name: string | undefined,
    message: PeerMessage,
  ): string | undefined {
    if (message.kind === "hello") {
      this.#peers.set(message.node, { hello: message });
      return message.node;
    }
    const peer = this.#peers.get(name ?? "");
    if (name === undefined || peer === undefined) {
      return name;
    }
    if (message.kind === "heartbeat") {
      peer.heartbeat = message;
    }
    for (const listener of this.#listeners.get(message.kind) ?? []) {
      listener(name, message);
    }
    return name;
  }

  async #beat(
    connection: PeerConnection,
    signal: AbortSignal,
  ): Promise<void> {
    const { node, timing } = this.#settings;
    connection.send(encodePeerMessage({
      kind: "hello",
      protocol: PROTOCOL_VERSION,
      node: node.name,
      dataCentre: node["data-centre"],
      publicAddress: node["public-address"],
      peerAddress: node["peer-address"],
    }));
    for (let sequence = 1;; sequence++) {
      connection.send(encodePeerMessage({
        kind: "heartbeat",
        sequence,
        configurationVersion: this.#state.control.configuration.version,
        controlOffset: this.#state.control.asOf,
        logReachable: this.#state.isLogReachable,
        load: 0,
        stopping: this.#lifecycle.isStopping,
      }));
      await this.#clock.sleep(timing["heartbeat-interval"], signal);
    }
  }
}
