/**
 * Stand-in of the platform's rate-limited weight store.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";
import { StandInServer } from "./server.ts";

const MS_PER_SECOND = 1000;

/** Grants loads at a fixed rate. */
export class WeightStoreStandIn {
  /** Number of grants given. */
  granted = 0;
  #clock: Clock;
  #server = new StandInServer();
  #intervalMs: number;
  #nextAt = 0;

  constructor(clock: Clock, grantsPerSecond = 20) {
    this.#clock = clock;
    this.#intervalMs = MS_PER_SECOND / grantsPerSecond;
    this.#server.on("POST", "/grants", () => ({
      status: 200,
      body: this.#grant(),
    }));
  }

  /** Listens on a loopback address. */
  listen(port?: number): Promise<string> {
    return this.#server.listen(port);
  }

  /** Stops listening. */
  close(): Promise<void> {
    return this.#server.close();
  }

  #grant(): { granted: boolean; retryAfterMs: number } {
    const now = this.#clock.now();
    if (now < this.#nextAt) {
      return { granted: false, retryAfterMs: this.#nextAt - now };
    }
    this.#nextAt = now + this.#intervalMs;
    this.granted++;
    return { granted: true, retryAfterMs: 0 };
  }
}
