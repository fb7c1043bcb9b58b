/**
 * A relay between one node and the store, whose connections a fault may harm.
 *
 * @module
 */
import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

/** What the relay does with bytes. */
export type RelayMode = "pass" | "slow" | "mute-replies" | "silent" | "reset";

const HOST = "127.0.0.1";
const SLOW_MS = 300;

type Forward = (from: Socket, to: Socket, chunk: Uint8Array) => void;

const pass: Forward = (_from, to, chunk) => {
  to.write(chunk);
};
const drop: Forward = () => {};

/** What becomes of bytes on their way to the store and back, by mode. */
const FORWARDS: Readonly<
  Record<RelayMode, { readonly out: Forward; readonly back: Forward }>
> = {
  pass: { out: pass, back: pass },
  slow: {
    out: pass,
    back: (_from, to, chunk) => {
      setTimeout(() => to.write(chunk), SLOW_MS);
    },
  },
  "mute-replies": { out: pass, back: drop },
  silent: { out: drop, back: drop },
  reset: {
    out: (from, to) => {
      from.resetAndDestroy();
      to.destroy();
    },
    back: drop,
  },
};

/** Forwards connections to an address until told otherwise. */
export class StoreRelay {
  mode: RelayMode = "pass";
  #server: Server;
  #sockets = new Set<Socket>();

  constructor(target: string) {
    const [host, port] = target.split(":");
    this.#server = createServer((near) => {
      const far = connect(Number(port), host);
      this.#join(near, far, "out");
      this.#join(far, near, "back");
    });
  }

  async start(): Promise<string> {
    await new Promise<void>((resolve) => this.#server.listen(0, HOST, resolve));
    return `${HOST}:${(this.#server.address() as AddressInfo).port}`;
  }

  stop(): void {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }

  #join(from: Socket, to: Socket, way: "out" | "back"): void {
    this.#sockets.add(from);
    from.on("data", (chunk) => FORWARDS[this.mode][way](from, to, chunk));
    // Either end may be reset; the other one is ended with it.
    from.on("error", () => to.destroy());
    from.on("close", () => {
      this.#sockets.delete(from);
      to.destroy();
    });
  }
}
