/**
 * A TCP relay that can cut, refuse or silence connections.
 *
 * @module
 */
import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

/** What the relay does with bytes. */
export type RelayMode =
  | "pass"
  /** New and open connections are closed at once. */
  | "cut"
  /** Open connections go silent in both directions; new ones work. */
  | "silence-open"
  /** All connections go silent. */
  | "silence";

interface Link {
  readonly client: Socket;
  readonly target: Socket;
  silent: boolean;
}

/** Stands between two processes on loopback. */
export class Relay {
  #target: string;
  #server: Server;
  #links = new Set<Link>();
  #mode: RelayMode = "pass";

  constructor(target: string) {
    this.#target = target;
    this.#server = createServer((client) => this.#onConnection(client));
  }

  /** Changes what happens to open and new connections. */
  setMode(mode: RelayMode): void {
    this.#mode = mode;
    for (const link of this.#links) {
      APPLY_MODE[mode](link);
    }
    if (mode === "silence-open") {
      this.#mode = "pass";
    }
  }

  /** Listens on a loopback address. */
  listen(port = 0): Promise<string> {
    return new Promise((resolve) => {
      this.#server.listen(port, "127.0.0.1", () => {
        const address = this.#server.address() as AddressInfo;
        resolve(`127.0.0.1:${address.port}`);
      });
    });
  }

  /** Closes all connections and stops listening. */
  close(): Promise<void> {
    for (const { client, target } of this.#links) {
      client.destroy();
      target.destroy();
    }
    return new Promise((resolve) => this.#server.close(() => resolve()));
  }

  #onConnection(client: Socket): void {
    if (this.#mode === "cut") {
      client.destroy();
      return;
    }
    const separator = this.#target.lastIndexOf(":");
    const target = connect(
      Number(this.#target.slice(separator + 1)),
      this.#target.slice(0, separator),
    );
    const link: Link = { client, target, silent: this.#mode === "silence" };
    this.#links.add(link);
    forward(link, client, target);
    forward(link, target, client);
    const onEnd = () => {
      this.#links.delete(link);
      client.destroy();
      target.destroy();
    };
    for (const socket of [client, target]) {
      socket.on("error", () => {});
      socket.on("close", () => link.silent || onEnd());
    }
  }
}

const APPLY_MODE: { readonly [Mode in RelayMode]: (link: Link) => void } = {
  "pass": (link) => {
    link.silent = false;
  },
  "cut": ({ client, target }) => {
    client.destroy();
    target.destroy();
  },
  "silence-open": (link) => {
    link.silent = true;
  },
  "silence": (link) => {
    link.silent = true;
  },
};

function forward(link: Link, from: Socket, to: Socket): void {
  from.on("data", (bytes) => {
    if (!link.silent) {
      to.write(bytes);
    }
  });
}
