/**
 * Connections between nodes, independent of the messages' content.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { Condition, describeError, type Service } from "@zinniahill/kernel";
import { MAX_PEER_MESSAGE_BYTES } from "@zinniahill/schema";
import { WebSocket, WebSocketServer } from "ws";
import { hashSecret, isSameHash, readBearerToken } from "./secrets.ts";
import { TrafficCounter } from "./traffic-counter.ts";

/** One connection to another node. */
export interface PeerConnection {
  /** Bytes of sent messages that are still buffered in this process. */
  readonly queuedBytes: number;
  /** Why the connection failed; undefined if it has not. */
  readonly failure?: string | undefined;
  /** Sends one message; does nothing if the connection is closed. */
  send(message: Uint8Array): void;
  /** Waits for the next message; undefined once the connection is closed. */
  receive(signal: AbortSignal): Promise<Uint8Array | undefined>;
  /** Closes the connection immediately, without a closing handshake. */
  close(): void;
}

/** Opens and accepts connections between nodes. */
export interface PeerTransport extends Service {
  /** Accepts connections at an address and passes each to `onConnection`. */
  listen(
    address: string,
    onConnection: (connection: PeerConnection) => void,
  ): Promise<void>;
  /** Connects to a node. */
  connect(address: string, signal: AbortSignal): Promise<PeerConnection>;
}

/** Peer connections over WebSocket, authenticated by a shared token. */
export class WebSocketTransport implements PeerTransport {
  #token: string;
  #traffic: TrafficCounter;
  #server: WebSocketServer | undefined;

  constructor(token: string, traffic: TrafficCounter = new TrafficCounter()) {
    this.#token = token;
    this.#traffic = traffic;
  }

  stop(): void {
    for (const socket of this.#server?.clients ?? []) {
      socket.terminate();
    }
    this.#server?.close();
  }

  listen(
    address: string,
    onConnection: (connection: PeerConnection) => void,
  ): Promise<void> {
    const portSeparator = address.lastIndexOf(":");
    const expectedHash = hashSecret(this.#token);
    return new Promise((resolve, reject) => {
      const server = new WebSocketServer({
        host: address.slice(0, portSeparator).replace(/^\[(.*)\]$/, "$1"),
        port: Number(address.slice(portSeparator + 1)),
        maxPayload: MAX_PEER_MESSAGE_BYTES,
        verifyClient: ({ req }: { req: IncomingMessage }) =>
          isSameHash(hashSecret(readBearerToken(req)), expectedHash),
      }, resolve);
      server.on("error", reject);
      server.on("connection", (socket, request) => {
        this.#traffic.track("peers", request.socket);
        onConnection(new WebSocketConnection(socket));
      });
      this.#server = server;
    });
  }

  connect(address: string, signal: AbortSignal): Promise<PeerConnection> {
    const socket = new WebSocket(`ws://${address}`, {
      headers: { authorization: `Bearer ${this.#token}` },
      maxPayload: MAX_PEER_MESSAGE_BYTES,
    });
    socket.on("upgrade", (reply) => {
      this.#traffic.track("peers", reply.socket);
    });
    const connection = new WebSocketConnection(socket);
    return new Promise((resolve, reject) => {
      const onAbort = () => {
        socket.terminate();
        reject(signal.reason);
      };
      signal.addEventListener("abort", onAbort, { once: true });
      socket.on("open", () => {
        signal.removeEventListener("abort", onAbort);
        resolve(connection);
      });
      socket.on("error", (failure) => {
        signal.removeEventListener("abort", onAbort);
        reject(failure);
      });
    });
  }
}

class WebSocketConnection implements PeerConnection {
  #socket: WebSocket;
  #receivedMessages: Uint8Array[] = [];
  #stateChanged = new Condition();
  #isClosed = false;
  #failure: string | undefined;

  constructor(socket: WebSocket) {
    this.#socket = socket;
    socket.on("message", (bytes: Buffer) => {
      this.#receivedMessages.push(bytes);
      this.#stateChanged.notify();
    });
    socket.on("error", (failure) => {
      this.#failure = describeError(failure);
    });
    socket.on("close", () => {
      this.#isClosed = true;
      this.#stateChanged.notify();
    });
  }

  get queuedBytes(): number {
    return this.#socket.bufferedAmount;
  }

  get failure(): string | undefined {
    return this.#failure;
  }

  send(message: Uint8Array): void {
    if (this.#socket.readyState === WebSocket.OPEN) {
      this.#socket.send(message);
    }
  }

  async receive(signal: AbortSignal): Promise<Uint8Array | undefined> {
    await this.#stateChanged.until(
      () => this.#receivedMessages.length > 0 || this.#isClosed,
      signal,
    );
    return this.#receivedMessages.shift();
  }

  close(): void {
    this.#socket.terminate();
  }
}
