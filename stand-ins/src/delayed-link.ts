/**
 * A TCP link with a delay and a bandwidth, whose ends may go with it.
 *
 * @module
 */
import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/** How bytes travel. */
export interface LinkQuality {
  /** One way. */
  readonly delayMs: number;
  /** In each direction of each connection; absent for no bound. */
  readonly bytesPerMs?: number;
}

/** A direction reads no further while it holds more than this. */
const MAX_HELD_BYTES = 4096;
const HOST = "127.0.0.1";

/** Stands between callers and a server; each connection is one link. */
export class DelayedLink {
  #server: Server;
  #sockets = new Set<Socket>();

  constructor(target: string, quality: LinkQuality) {
    const separator = target.lastIndexOf(":");
    const host = target.slice(0, separator);
    const port = Number(target.slice(separator + 1));
    this.#server = createServer({ allowHalfOpen: true }, (near) => {
      const far = connect({ host, port, allowHalfOpen: true });
      this.#join(near, far, quality);
      this.#join(far, near, quality);
    });
  }

  /** Listens on a loopback address. */
  async listen(): Promise<string> {
    await new Promise<void>((resolve) => this.#server.listen(0, HOST, resolve));
    return `${HOST}:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Loses all bytes on their way, as if one end had lost its network. */
  cut(): void {
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
  }

  close(): void {
    this.#server.close();
    this.cut();
  }

  #join(
    from: Socket,
    to: Socket,
    { delayMs, bytesPerMs = Infinity }: LinkQuality,
  ): void {
    this.#sockets.add(from);
    let heldBytes = 0;
    let busyUntil = 0;
    let last = Promise.resolve();
    // What has arrived first leaves first, ends and resets included.
    const forward = (bytes: number, deliver: () => void) => {
      busyUntil = Math.max(busyUntil, performance.now()) + bytes / bytesPerMs;
      const dueAt = busyUntil + delayMs;
      last = last.then(async () => {
        await sleep(Math.max(0, dueAt - performance.now()));
        deliver();
      });
    };
    from.on("data", (chunk) => {
      heldBytes += chunk.length;
      if (heldBytes > MAX_HELD_BYTES && bytesPerMs < Infinity) {
        from.pause();
      }
      forward(chunk.length, () => {
        heldBytes -= chunk.length;
        to.write(chunk);
        from.resume();
      });
    });
    from.on("end", () => forward(0, () => to.end()));
    from.on("error", () => forward(0, () => to.resetAndDestroy()));
    from.on("close", () => this.#sockets.delete(from));
  }
}
