/**
 * The state derived from the control stream, over restores of the log.
 *
 * @module
 */
import { ControlReducer } from "@zinniahill/policy";

/**
 * Holds the state and, while a restored log is read from its start, the state
 * that will replace it. Until then the one from before the restore stays.
 */
export class RestorableState {
  #current = new ControlReducer();
  #era = 0;
  #rebuilt:
    | { readonly era: number; readonly reducer: ControlReducer }
    | undefined;

  /** The state that is in use. */
  get current(): ControlReducer {
    return this.#current;
  }

  /** Era of the log that the state in use belongs to. */
  get era(): number {
    return this.#era;
  }

  /** Latest era of the log that was seen. */
  get logEra(): number {
    return this.#rebuilt?.era ?? this.#era;
  }

  /** The state to which the records that are read next belong. */
  get reading(): ControlReducer {
    return this.#rebuilt?.reducer ?? this.#current;
  }

  /** Whether a restored log is being read. */
  get isRebuilding(): boolean {
    return this.#rebuilt !== undefined;
  }

  /**
   * Begins a later era. Returns whether the log has to be read again, which a
   * state without any record need not.
   */
  beginEra(era: number): boolean {
    if (this.#current.asOf === 0) {
      this.#era = era;
      return false;
    }
    this.#rebuilt = { era, reducer: new ControlReducer() };
    return true;
  }

  /** Puts another state in use, by default the one that was rebuilt. */
  replace(reducer = this.reading, era = this.logEra): void {
    this.#current = reducer;
    this.#era = era;
    this.#rebuilt = undefined;
  }
}
