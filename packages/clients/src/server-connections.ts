/**
 * The connections of an HTTP server, which end without losing an answer.
 *
 * An answer has arrived when its caller closes the connection, not when the
 * operating system has taken it: with the process, its host or its network may
 * end. So a connection is ended on this side only, and is open until the caller
 * has closed it, too.
 *
 * @module
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { Server as TcpServer, type Socket } from "node:net";
import type { ConnectionState, ConnectionUse } from "@zinniahill/policy";
import {
  ConnectionLimit,
  type ConnectionLimitOptions,
} from "./connection-limit.ts";

/** One connection and what it owes its caller. */
interface OpenConnection {
  /** Responses that are not sent, in the order of their requests. */
  readonly owed: Set<ServerResponse>;
  /** Bytes that had been received when the last response was sent. */
  bytesRead: number;
  /** When the last response was sent, or else the connection was accepted. */
  idleSince: number;
  /** Whether a request that cannot be read waits for its refusal. */
  isRefusing: boolean;
}

/** A failure of Node's HTTP parser. */
type ParserFailure = Error & { readonly code?: string };

/** Status lines for requests that Node's HTTP parser rejects, by error code. */
const UNREADABLE_STATUSES: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
  ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
};
/** The caller has ended its side, as Node's server then does with its own. */
const ENDED_WITHIN_REQUEST = "HPE_INVALID_EOF_STATE";
/** For requests that arrive at the end of the time; Node adds as much. */
const KEEP_ALIVE_SLACK_MS = 1000;
/** How long bytes may take from this process to a caller, or back. */
const LINGER_MS = 3000;

/** Tracks the connections of a server from its creation on. */
export class ServerConnections {
  #server: Server;
  #connections = new Map<Socket, OpenConnection>();
  #limit: ConnectionLimit | undefined;
  #onUnreadable: (failure: Error) => void;
  #isFinishing = false;
  /** Called when the last connection is closed. */
  #onEmpty: () => void = () => {};

  /**
   * Without a limit, it accepts as many connections as come. `onUnreadable` is
   * called for requests that the HTTP parser rejects.
   */
  constructor(
    server: Server,
    limit?: ConnectionLimitOptions,
    onUnreadable: (failure: Error) => void = () => {},
  ) {
    this.#server = server;
    this.#limit = limit && new ConnectionLimit(limit);
    this.#onUnreadable = onUnreadable;
    server.on("connection", (socket: Socket) => this.#add(socket));
    server.on("request", (request, response) => {
      if (!this.isLate(request)) {
        this.#addResponse(request.socket, response);
      }
    });
    server.on("clientError", (failure, socket) => {
      void this.#refuseUnreadable(failure, socket as Socket);
    });
  }

  /** Number of open connections. */
  get size(): number {
    return this.#connections.size;
  }

  /** Responses that are not sent, of all connections. */
  listOwed(): ServerResponse[] {
    return [...this.#connections.values()].flatMap(({ owed }) => [...owed]);
  }

  /** Number of responses that are not sent on one connection. */
  countOwed(socket: Socket): number {
    return this.#connections.get(socket)?.owed.size ?? 0;
  }

  /** Whether a request comes too late to be answered on its connection. */
  isLate({ socket }: IncomingMessage): boolean {
    return socket.writableEnded;
  }

  /** Lets the last response on each connection say that it will be closed. */
  announceClose(): void {
    this.#connections.forEach((connection) => announceClose(connection));
  }

  /** The same for the connection of one response. */
  announceCloseAfter(response: ServerResponse): void {
    const connection = this.#connections.get(response.req.socket);
    if (connection !== undefined) {
      announceClose(connection);
    }
  }

  /** Accepts no more connections; those that are open are served on. */
  stopAccepting(): void {
    // `close` of an HTTP server destroys connections whose answer is not sent.
    TcpServer.prototype.close.call(this.#server);
  }

  /**
   * Ends each connection after its last response, and waits until callers have
   * closed all of them, or until the limit.
   */
  async finish(limitMs: number): Promise<void> {
    this.stopAccepting();
    this.#isFinishing = true;
    for (const [socket, connection] of this.#connections) {
      this.#endIfIdle(socket, connection);
    }
    if (this.#connections.size === 0) {
      return;
    }
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, limitMs);
      this.#onEmpty = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  /** Closes all connections at once. */
  destroy(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      this.#connections.forEach((_connection, socket) => socket.destroy());
    });
  }

  #add(socket: Socket): void {
    const connection: OpenConnection = {
      owed: new Set(),
      bytesRead: 0,
      idleSince: performance.now(),
      isRefusing: false,
    };
    this.#connections.set(socket, connection);
    this.#limit?.admit(socket, () => describeState(socket, connection));
    // The server calls it after a response that says `connection: close`.
    socket.destroySoon = () => {
      connection.idleSince = performance.now();
      this.#end(socket, connection);
    };
    socket.once("close", () => {
      this.#connections.delete(socket);
      if (this.#connections.size === 0) {
        this.#onEmpty();
      }
    });
  }

  #addResponse(socket: Socket, response: ServerResponse): void {
    const connection = this.#connections.get(socket);
    if (connection === undefined) {
      return;
    }
    connection.owed.add(response);
    const { keepAliveTimeout: announcedMs } = this.#server;
    response.once("close", () => {
      connection.owed.delete(response);
      connection.bytesRead = socket.bytesRead;
      connection.idleSince = performance.now();
      if (connection.owed.size === 0) {
        extendIdleTimeout(socket, announcedMs);
      }
      if (this.#isFinishing) {
        this.#endIfIdle(socket, connection);
      }
    });
  }

  /** Ends a connection, unless it owes a response or a request arrives. */
  #endIfIdle(socket: Socket, connection: OpenConnection): void {
    const { owed, bytesRead } = connection;
    if (owed.size > 0) {
      return;
    }
    if (socket.bytesRead === bytesRead && bytesRead > 0) {
      this.#end(socket, connection);
      return;
    }
    // A request has come in part, or the first one may be on its way.
    const waitMs = bytesRead === socket.bytesRead
      ? computeLeftMs(connection)
      : LINGER_MS;
    const timer = setTimeout(() => {
      if (owed.size === 0) {
        this.#end(socket, connection);
      }
    }, waitMs).unref();
    socket.once("close", () => clearTimeout(timer));
  }

  /**
   * Refuses a request that cannot be read, or whose rest does not come, after
   * the answers to earlier ones, and ends the connection.
   */
  async #refuseUnreadable(
    failure: ParserFailure,
    socket: Socket,
  ): Promise<void> {
    const { code = "" } = failure;
    const connection = this.#connections.get(socket);
    if (
      connection === undefined || !socket.writable || code === "ECONNRESET"
    ) {
      socket.destroy();
      return;
    }
    if (code === ENDED_WITHIN_REQUEST) {
      connection.idleSince = performance.now();
      this.#end(socket, connection);
      return;
    }
    // The parser reports each further read of the connection, too.
    if (connection.isRefusing) {
      return;
    }
    connection.isRefusing = true;
    const { owed } = connection;
    const unread = [...owed].find(({ req }) => !req.complete);
    await waitUntilAnswered(socket, [...owed]);
    connection.isRefusing = false;
    // After a time-out, the rest may have come, or the request was refused.
    const isSettled = unread === undefined
      ? owed.size > 0
      : unread.req.complete || unread.headersSent;
    if (!isSettled && socket.writable) {
      this.#onUnreadable(failure);
      const status = UNREADABLE_STATUSES[code] ?? "400 Bad Request";
      connection.idleSince = performance.now();
      this.#end(
        socket,
        connection,
        `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
      );
    }
  }

  /** Ends this side; the caller closes the other one once it has all bytes. */
  #end(socket: Socket, connection: OpenConnection, lastBytes = ""): void {
    if (socket.writableEnded) {
      return;
    }
    socket.end(lastBytes);
    const timer = setTimeout(
      () => socket.destroy(),
      computeLeftMs(connection),
    ).unref();
    socket.once("close", () => clearTimeout(timer));
  }
}

function findUse(owed: readonly ServerResponse[]): ConnectionUse {
  if (owed.length === 0) {
    return "idle";
  }
  if (!owed.some(({ req }) => req.complete)) {
    return "receiving";
  }
  return owed.every(({ writableEnded }) => writableEnded)
    ? "unread"
    : "serving";
}

function describeState(
  socket: Socket,
  { owed, bytesRead, idleSince }: OpenConnection,
): ConnectionState {
  return {
    use: findUse([...owed]),
    idleSince,
    headBytes: socket.bytesRead - bytesRead,
  };
}

/** A caller may send requests before it has the answers to earlier ones. */
function announceClose({ owed }: OpenConnection): void {
  const last = [...owed].at(-1);
  for (const response of owed) {
    if (response.headersSent) {
      continue;
    }
    if (response === last) {
      response.setHeader("connection", "close");
    } else if (response.hasHeader("connection")) {
      response.removeHeader("connection");
    }
  }
}

/**
 * Keeps an idle connection open for the time that its last response announces,
 * which the server's setting may have fallen below meanwhile.
 */
function extendIdleTimeout(socket: Socket, announcedMs: number): void {
  const { timeout = 0 } = socket;
  if (timeout > 0 && timeout < announcedMs) {
    socket.setTimeout(announcedMs + KEEP_ALIVE_SLACK_MS);
  }
}

/** Waits until all complete requests are answered, or the connection closes. */
async function waitUntilAnswered(
  socket: Socket,
  owed: readonly ServerResponse[],
): Promise<void> {
  const last = owed.filter(({ req }) => req.complete).at(-1);
  if (last !== undefined) {
    await new Promise<void>((resolve) => {
      last.once("close", resolve);
      socket.once("close", () => resolve());
    });
  }
}

function computeLeftMs({ idleSince }: OpenConnection): number {
  return Math.max(0, idleSince + LINGER_MS - performance.now());
}
