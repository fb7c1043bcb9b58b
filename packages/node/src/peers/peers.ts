/**
 * Connections between nodes; one task for each connection.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import {
  type Clock,
  Condition,
  type Logger,
  type Service,
  TaskGroup,
  withDeadline,
} from "@zinniahill/kernel";
import {
  decodePeerMessage,
  encodePeerMessage,
  MAX_PEER_MESSAGE_BYTES,
  type PeerMessage,
  type PeerMessageOf,
  PROTOCOL_VERSION,
  type Settings,
} from "@zinniahill/schema";
import { WebSocket, WebSocketServer } from "ws";
import type { Lifecycle } from "../lifecycle.ts";
import type { NodeKernel } from "../services.ts";
import type { ControlState } from "../state/control-state.ts";

/** What is known of a peer that is connected. */
export interface Peer {
  readonly hello: PeerMessageOf<"hello">;
  heartbeat?: PeerMessageOf<"heartbeat">;
}

const RECONNECT_PAUSE_MS = 500;

/** Knows the other nodes. */
export class Peers implements Service {
  #clock: Clock;
  #logger: Logger;
  #settings: Settings;
  #lifecycle: Lifecycle;
  #state: ControlState;
  #tasks: TaskGroup;
  #server: WebSocketServer | undefined;
  #peers = new Map<string, Peer>();

  constructor(kernel: NodeKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#settings = kernel.find("settings");
    this.#lifecycle = kernel.find("lifecycle");
    this.#state = kernel.find("state");
    this.#tasks = new TaskGroup(this.#clock, this.#logger);
  }

  async start(): Promise<void> {
    await this.#listen();
    for (const address of this.#settings.node.peers ?? []) {
      this.#tasks.repeat("connect_peer", RECONNECT_PAUSE_MS, async (signal) => {
        const socket = new WebSocket(`ws://${address}`, {
          headers: {
            authorization: `Bearer ${this.#settings.node["peer-token"]}`,
          },
          maxPayload: MAX_PEER_MESSAGE_BYTES,
        });
        await this.#talk(socket, signal);
      });
    }
  }

  async stop(): Promise<void> {
    await this.#tasks.stop();
    this.#server?.close();
  }

  dump(): unknown {
    return { peers: [...this.#peers.values()] };
  }

  /** Peers that are connected. */
  list(): Peer[] {
    return [...this.#peers.values()];
  }

  #listen(): Promise<void> {
    const address = this.#settings.node["peer-address"];
    const separator = address.lastIndexOf(":");
    return new Promise((resolve) => {
      const server = new WebSocketServer({
        host: address.slice(0, separator),
        port: Number(address.slice(separator + 1)),
        maxPayload: MAX_PEER_MESSAGE_BYTES,
        verifyClient: ({ req }: { req: IncomingMessage }) =>
          req.headers.authorization ===
            `Bearer ${this.#settings.node["peer-token"]}`,
      }, resolve);
      server.on("connection", (socket) => {
        this.#tasks.run("serve_peer", (signal) => this.#talk(socket, signal));
      });
      this.#server = server;
    });
  }

  /** Exchanges messages on one connection until it ends or goes silent. */
  async #talk(socket: WebSocket, signal: AbortSignal): Promise<void> {
    const inbox: PeerMessage[] = [];
    const arrived = new Condition();
    let isOpen = true;
    let name: string | undefined;
    socket.on("message", (bytes: Buffer) => {
      decodePeerMessage(bytes).match({
        Ok: (message) => {
          inbox.push(message);
        },
        Err: (error) => {
          this.#logger.warn("peer_message_invalid", { error });
          socket.close();
        },
      });
      arrived.notify();
    });
    socket.on("error", () => {});
    socket.on("close", () => {
      isOpen = false;
      arrived.notify();
    });
    const beating = this.#tasks.run("heartbeat", async () => {
      await this.#beat(socket, () => isOpen, signal);
    });
    try {
      while (isOpen) {
        const message = inbox.shift();
        if (message === undefined) {
          const limitMs = this.#settings.timing["peer-deadline"];
          await withDeadline(
            this.#clock,
            limitMs,
            signal,
            (limited) => arrived.wait(limited),
          );
          continue;
        }
        if (message.kind === "hello") {
          name = message.node;
          this.#peers.set(name, { hello: message });
        } else if (message.kind === "heartbeat" && name !== undefined) {
          this.#peers.get(name)!.heartbeat = message;
        }
      }
    } finally {
      socket.terminate();
      if (name !== undefined) {
        this.#peers.delete(name);
      }
      await beating;
    }
  }

  async #beat(
    socket: WebSocket,
    isOpen: () => boolean,
    signal: AbortSignal,
  ): Promise<void> {
    const intervalMs = this.#settings.timing["heartbeat-interval"];
    const { node } = this.#settings;
    let sequence = 0;
    while (isOpen()) {
      if (socket.readyState === WebSocket.OPEN) {
        if (sequence === 0) {
          socket.send(encodePeerMessage({
            kind: "hello",
            protocol: PROTOCOL_VERSION,
            node: node.name,
            dataCentre: node["data-centre"],
            publicAddress: node["public-address"],
            peerAddress: node["peer-address"],
          }));
        }
        socket.send(encodePeerMessage({
          kind: "heartbeat",
          sequence: sequence++,
          configurationVersion: this.#state.control.configuration.version,
          controlOffset: this.#state.control.asOf,
          logReachable: this.#state.isLogReachable,
          load: 0,
          stopping: this.#lifecycle.isStopping,
        }));
      }
      await this.#clock.sleep(intervalMs, signal);
    }
  }
}
