/**
 * Keeps idle connections to upstream instances for further requests.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";
import type { Instance } from "../model/instance.ts";
import { MAX_IDLE_MS, UpstreamConnection } from "./upstream-connection.ts";

/** An idle connection. */
interface IdleConnection {
  readonly connection: UpstreamConnection;
  readonly since: number;
}

/** More requests of a node at one instance at the same time are rare. */
const MAX_IDLE_PER_INSTANCE = 8;
/** Leaves most file descriptors of a small node to callers and requests. */
const MAX_IDLE_CONNECTIONS = 512;
const NOT_KEPT = new Error("the connection is not kept");

/** The idle connections of a node, by instance. */
export class ConnectionPool {
  #clock: Pick<Clock, "now">;
  #idle = new Map<string, IdleConnection[]>();
  #count = 0;

  constructor(clock: Pick<Clock, "now">) {
    this.#clock = clock;
  }

  /** Number of idle connections. */
  get size(): number {
    return this.#count;
  }

  /**
   * Takes the connection that was used last, as it is least likely to have
   * been closed; undefined if there is none.
   */
  take(instance: Instance): UpstreamConnection | undefined {
    const key = createKey(instance);
    for (;;) {
      const idle = this.#idle.get(key)?.pop();
      if (idle === undefined) {
        this.#idle.delete(key);
        return undefined;
      }
      this.#count--;
      const { connection, since } = idle;
      connection.onClose = () => {};
      if (connection.isOpen && this.#clock.now() - since < MAX_IDLE_MS) {
        return connection;
      }
      connection.close(NOT_KEPT);
    }
  }

  /** Keeps a connection whose last response was read completely. */
  put(instance: Instance, connection: UpstreamConnection): void {
    const key = createKey(instance);
    const idle = this.#idle.get(key) ?? [];
    const hasRoom = idle.length < MAX_IDLE_PER_INSTANCE &&
      this.#count < MAX_IDLE_CONNECTIONS;
    if (!hasRoom || !connection.isOpen) {
      connection.close(NOT_KEPT);
      return;
    }
    const entry = { connection, since: this.#clock.now() };
    idle.push(entry);
    this.#idle.set(key, idle);
    this.#count++;
    connection.onClose = () => this.#remove(key, entry);
    // What arrives now belongs to no request.
    connection.limitBytes(0);
  }

  /** Closes all idle connections. */
  close(): void {
    for (const { connection } of [...this.#idle.values()].flat()) {
      connection.close(NOT_KEPT);
    }
  }

  #remove(key: string, entry: IdleConnection): void {
    const idle = this.#idle.get(key) ?? [];
    const index = idle.indexOf(entry);
    if (index !== -1) {
      idle.splice(index, 1);
      this.#count--;
      entry.connection.close(NOT_KEPT);
    }
    if (idle.length === 0) {
      this.#idle.delete(key);
    }
  }
}

/** Another process may have the address or the id of an earlier one. */
function createKey({ id, bornAt, address }: Instance): string {
  return `${id} ${bornAt} ${address}`;
}
