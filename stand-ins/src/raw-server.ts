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

/** Handles connections, by default once they have sent their first bytes. */
export interface RawServerOptions {
  /** Time after which a connection is handled of which nothing is read. */
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
    const pauses = unreadMs !== undefined;
    this.#server = createServer(
      { allowHalfOpen: pauses, pauseOnConnect: pauses },
      (socket) => {
        socket.on("error", () => {});
        if (pauses) {
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
