/**
 * Bounds the open connections of one listener.
 *
 * @module
 */
import type { Socket } from "node:net";
import {
  chooseClosed,
  type ConnectionState,
  listExcessHeads,
} from "@zinniahill/policy";

/** What one listener may have open. */
export interface ConnectionLimitOptions {
  readonly maxConnections: number;
  /** Bytes of all heads that have not arrived completely. */
  readonly maxHeadBytes?: number;
  /** Called for each connection that is closed, with its caller's address. */
  readonly onClose?: (address: string, open: number) => void;
}

/** Heads arrive by a few hundred KB at most in this time, even on fast links. */
const HEAD_CHECK_INTERVAL_MS = 100;

/** Closes connections of a listener that has too many. */
export class ConnectionLimit {
  #options: ConnectionLimitOptions;
  #connections = new Map<Socket, () => ConnectionState>();
  #headCheck: ReturnType<typeof setInterval> | undefined;

  constructor(options: ConnectionLimitOptions) {
    this.#options = options;
  }

  /** Number of open connections. */
  get size(): number {
    return this.#connections.size;
  }

  /** Counts a connection until it is closed or released. */
  admit(socket: Socket, describe: () => ConnectionState): void {
    if (this.#connections.size >= this.#options.maxConnections) {
      const chosen = chooseClosed(this.#listStates(), performance.now());
      if (chosen === undefined) {
        this.#close(socket);
        return;
      }
      this.#close(chosen.socket);
    }
    this.#connections.set(socket, describe);
    socket.once("close", () => this.release(socket));
    this.#watchHeads();
  }

  /** Counts a connection no more. */
  release(socket: Socket): void {
    this.#connections.delete(socket);
    if (this.#connections.size === 0) {
      clearInterval(this.#headCheck);
      this.#headCheck = undefined;
    }
  }

  #watchHeads(): void {
    const { maxHeadBytes } = this.#options;
    if (maxHeadBytes === undefined) {
      return;
    }
    this.#headCheck ??= setInterval(() => {
      listExcessHeads(this.#listStates(), maxHeadBytes)
        .forEach(({ socket }) => this.#close(socket));
    }, HEAD_CHECK_INTERVAL_MS).unref();
  }

  #listStates(): (ConnectionState & { readonly socket: Socket })[] {
    return [...this.#connections]
      .map(([socket, describe]) => ({ socket, ...describe() }));
  }

  #close(socket: Socket): void {
    const address = socket.remoteAddress ?? "";
    const open = this.#connections.size;
    this.release(socket);
    socket.destroy();
    this.#options.onClose?.(address, open);
  }
}
