/**
 * Connections between nodes, independent of the messages' content.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { createServer, type IncomingMessage, type Server } from "node:http";
import type { Socket } from "node:net";
import { Condition, describeError, type Service } from "@zinniahill/kernel";
import { MAX_PEER_MESSAGE_BYTES } from "@zinniahill/schema";
import { WebSocket, WebSocketServer } from "ws";
import { ConnectionLimit } from "./connection-limit.ts";
import { hashSecret, isSameHash, readBearerToken } from "./secrets.ts";
import { TrafficCounter } from "./traffic-counter.ts";
import { hasBody, refuseBody } from "./unwanted-body.ts";

const UPGRADE_REQUIRED = 426;
/** Longer than a connection over a lossy link takes. */
const HANDSHAKE_TIMEOUT_MS = 5000;
const TIMEOUT_CHECK_INTERVAL_MS = 1000;
const DEFAULT_MAX_UNKNOWN = 64;

/** Limits of a transport's listener. */
export interface TransportLimits {
  /** Connections that are not authenticated yet. */
  readonly maxUnknown?: number;
  /** Called for each connection that is closed, with its caller's address. */
  readonly onClose?: (address: string, open: number) => void;
}

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
  #limits: TransportLimits;
  #server: WebSocketServer | undefined;
  #httpServer: Server | undefined;

  constructor(
    token: string,
    traffic: TrafficCounter = new TrafficCounter(),
    limits: TransportLimits = {},
  ) {
    this.#token = token;
    this.#traffic = traffic;
    this.#limits = limits;
  }

  stop(): void {
    for (const socket of this.#server?.clients ?? []) {
      socket.terminate();
    }
    this.#server?.close();
    this.#httpServer?.close();
    this.#httpServer?.closeAllConnections();
  }

  listen(
    address: string,
    onConnection: (connection: PeerConnection) => void,
  ): Promise<void> {
    const portSeparator = address.lastIndexOf(":");
    const expectedHash = hashSecret(this.#token);
    const { maxUnknown = DEFAULT_MAX_UNKNOWN, onClose } = this.#limits;
    const unknown = new ConnectionLimit({
      maxConnections: maxUnknown,
      ...(onClose && { onClose }),
    });
    const httpServer = createPeerServer(unknown);
    this.#httpServer = httpServer;
    return new Promise((resolve, reject) => {
      const server = new WebSocketServer({
        server: httpServer,
        maxPayload: MAX_PEER_MESSAGE_BYTES,
        verifyClient: ({ req }: { req: IncomingMessage }) =>
          isSameHash(hashSecret(readBearerToken(req)), expectedHash),
      });
      server.on("error", reject);
      server.on("connection", (socket, request) => {
        unknown.release(request.socket);
        this.#traffic.track("peers", request.socket);
        onConnection(new WebSocketConnection(socket));
      });
      this.#server = server;
      httpServer.listen({
        host: address.slice(0, portSeparator).replace(/^\[(.*)\]$/, "$1"),
        port: Number(address.slice(portSeparator + 1)),
      }, resolve);
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

/** Creates a server that answers nothing but upgrades. */
function createPeerServer(unknown: ConnectionLimit): Server {
  const server = createServer({
    headersTimeout: HANDSHAKE_TIMEOUT_MS,
    connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
  }, (request, response) => {
    if (hasBody(request)) {
      refuseBody(request, response);
    } else {
      response.writeHead(UPGRADE_REQUIRED, { connection: "close" }).end();
    }
  });
  server.on("connection", (socket: Socket) => {
    const idleSince = performance.now();
    unknown.admit(
      socket,
      () => ({ use: "idle", idleSince, headBytes: socket.bytesRead }),
    );
  });
  return server;
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
