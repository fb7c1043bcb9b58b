/**
 * A network in memory whose links can be cut, silenced and slowed.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";
import type { Fault } from "@zinniahill/clients";
import { Result } from "true-myth";

/** What a link does with a call. */
export type LinkMode =
  /** Calls and replies pass. */
  | "pass"
  /** The call is refused before it is sent. */
  | "refuse"
  /** The call never arrives and nothing answers. */
  | "silent"
  /** The call arrives and takes effect, but its reply never comes. */
  | "reply-lost";

const NOT_SENT: Fault = {
  verdict: "not-run",
  message: "connection refused",
  isConnectionRefused: true,
};
const NO_REPLY: Fault = { verdict: "may-have-run", message: "no reply came" };

/** Carries calls between named ends. */
export class MemoryNetwork {
  /** Time that a call takes to arrive, and a reply to come back. */
  latencyMs = 0.25;
  #clock: Clock;
  #modes = new Map<string, LinkMode>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Changes one direction of a link; `*` stands for every end. */
  setMode(from: string, to: string, mode: LinkMode): void {
    this.#modes.set(`${from}>${to}`, mode);
  }

  /** Changes all links of an end, in both directions. */
  setModeOfEnd(end: string, mode: LinkMode): void {
    this.setMode(end, "*", mode);
    this.setMode("*", end, mode);
  }

  /** Returns what a link does now. */
  findMode(from: string, to: string): LinkMode {
    const modes = [`${from}>${to}`, `${from}>*`, `*>${to}`]
      .map((link) => this.#modes.get(link))
      .filter((mode) => mode !== undefined && mode !== "pass");
    return modes[0] ?? "pass";
  }

  /** Carries one call; `work` runs at the other end. */
  async call<Value>(
    from: string,
    to: string,
    timeoutMs: number,
    work: () => Promise<Result<Value, Fault>> | Result<Value, Fault>,
    signal?: AbortSignal,
  ): Promise<Result<Value, Fault>> {
    const deadline = this.#clock.now() + timeoutMs;
    if (this.findMode(from, to) === "refuse") {
      return Result.err(NOT_SENT);
    }
    if (!await this.#travel(signal)) {
      return Result.err(NO_REPLY);
    }
    if (this.findMode(from, to) === "silent") {
      return this.#wait(deadline, signal);
    }
    const limit = this.#startLimit(deadline, signal);
    const reply = await Promise.race([work(), limit.ended]);
    // The unused timer would stay in the clock until the deadline.
    limit.cancel();
    if (!await this.#travel(signal)) {
      return Result.err(NO_REPLY);
    }
    const isLost = this.findMode(from, to) !== "pass" ||
      this.findMode(to, from) !== "pass";
    return isLost ? this.#wait(deadline, signal) : reply;
  }

  /** Crosses the link once; false when the caller gave the call up. */
  async #travel(signal: AbortSignal | undefined): Promise<boolean> {
    try {
      await this.#clock.sleep(this.latencyMs, signal);
      return true;
    } catch {
      return false;
    }
  }

  #wait(
    deadline: number,
    signal: AbortSignal | undefined,
  ): Promise<Result<never, Fault>> {
    return this.#startLimit(deadline, signal).ended;
  }

  /** Ends a call without a reply at its deadline, or when it is aborted. */
  #startLimit(deadline: number, signal: AbortSignal | undefined): Limit {
    let cancel = () => {};
    const ended = new Promise<Result<never, Fault>>((resolve) => {
      const end = () => {
        cancel();
        resolve(Result.err(NO_REPLY));
      };
      const remainingMs = Math.max(0, deadline - this.#clock.now());
      const cancelTimer = this.#clock.schedule(remainingMs, end);
      cancel = () => {
        cancelTimer();
        signal?.removeEventListener("abort", end);
      };
      signal?.addEventListener("abort", end, { once: true });
      if (signal?.aborted) {
        end();
      }
    });
    return { ended, cancel };
  }
}

interface Limit {
  readonly ended: Promise<Result<never, Fault>>;
  readonly cancel: () => void;
}
