/**
 * A TCP server whose bytes a test writes itself.
 *
 * @module
 */
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";

/** When a connection is handled. */
export interface RawServerOptions {
  /**
   * Time after which a connection is handled although nothing of it was read.
   * If it is absent, the first bytes that arrive are read before.
   */
  readonly unreadMs?: number;
}

const HOST = "127.0.0.1";

/** Hands each connection to a handler; errors of connections are ignored. */
export class RawServer {
  #server: Server;

  constructor(
    handle: (socket: Socket) => void,
    { unreadMs }: RawServerOptions = {},
  ) {
    const isUnread = unreadMs !== undefined;
    this.#server = createServer(
      { allowHalfOpen: isUnread, pauseOnConnect: isUnread },
      (socket) => {
        socket.on("error", () => {});
        if (isUnread) {
          setTimeout(() => handle(socket), unreadMs);
        } else {
          socket.once("data", () => handle(socket));
        }
      },
    );
  }

  /** Starts to listen on a free port and returns the address. */
  async listen(): Promise<string> {
    await new Promise<void>((resolve) => this.#server.listen(0, HOST, resolve));
    return `${HOST}:${(this.#server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.#server.close();
  }
}
