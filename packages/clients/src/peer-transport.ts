/**
 * Connections between nodes, apart from what is said on them.
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
  /** Bytes that were sent but have not left this process. */
  readonly queuedBytes: number;
  /** Why the connection broke; undefined while it has not. */
  readonly failure?: string | undefined;
  /** Sends one message; does nothing when the connection has ended. */
  send(message: Uint8Array): void;
  /** Waits for the next message; undefined when the connection has ended. */
  receive(signal: AbortSignal): Promise<Uint8Array | undefined>;
  /** Ends the connection at once. */
  close(): void;
}

/** Makes and accepts connections between nodes. */
export interface PeerTransport extends Service {
  /** Accepts connections at an address; each one is given to `onConnection`. */
  listen(
    address: string,
    onConnection: (connection: PeerConnection) => void,
  ): Promise<void>;
  /** Connects to a node. */
  connect(address: string, signal: AbortSignal): Promise<PeerConnection>;
}

/** Connections over WebSocket; both ends know the same token. */
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
    const separator = address.lastIndexOf(":");
    const expected = hashSecret(this.#token);
    return new Promise((resolve, reject) => {
      const server = new WebSocketServer({
        host: address.slice(0, separator).replace(/^\[(.*)\]$/, "$1"),
        port: Number(address.slice(separator + 1)),
        maxPayload: MAX_PEER_MESSAGE_BYTES,
        verifyClient: ({ req }: { req: IncomingMessage }) =>
          isSameHash(hashSecret(readBearerToken(req)), expected),
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
  #inbox: Uint8Array[] = [];
  #changed = new Condition();
  #isEnded = false;
  #failure: string | undefined;

  constructor(socket: WebSocket) {
    this.#socket = socket;
    socket.on("message", (bytes: Buffer) => {
      this.#inbox.push(bytes);
      this.#changed.notify();
    });
    socket.on("error", (failure) => {
      this.#failure = describeError(failure);
    });
    socket.on("close", () => {
      this.#isEnded = true;
      this.#changed.notify();
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
    await this.#changed.until(
      () => this.#inbox.length > 0 || this.#isEnded,
      signal,
    );
    return this.#inbox.shift();
  }

  close(): void {
    this.#socket.terminate();
  }
}
