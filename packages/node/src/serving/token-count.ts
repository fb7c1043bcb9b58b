/**
 * The tokens that one attempt has brought.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";
import type { TokenSink } from "./stream-attempt.ts";

/** Counts tokens on their way to a sink, apart from those of other attempts. */
export class TokenCount implements TokenSink {
  count = 0;
  /** When the last token came; undefined before the first one. */
  lastAt: number | undefined;
  #clock: Clock;
  #sink: TokenSink;
  #onTokens: () => void;

  /** Calls `onTokens` before new tokens are written. */
  constructor(clock: Clock, sink: TokenSink, onTokens: () => void) {
    this.#clock = clock;
    this.#sink = sink;
    this.#onTokens = onTokens;
  }

  write(events: Uint8Array, tokens: number): Promise<void> | void {
    this.count += tokens;
    this.lastAt = this.#clock.now();
    this.#onTokens();
    return this.#sink.write(events, tokens);
  }
}
