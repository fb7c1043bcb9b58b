/**
 * The configuration that this node has put in force.
 *
 * @module
 */
import type { Logger } from "@zinniahill/kernel";
import {
  type ConfigurationState,
  parseRules,
  type Rules,
} from "@zinniahill/schema";

/** Holds the rules in force; a version never goes back to a lower one. */
export class ConfigurationInForce {
  #logger: Logger;
  #configuration: ConfigurationState = { version: 0, text: "", author: "" };
  #rules: Rules | undefined;

  constructor(logger: Logger) {
    this.#logger = logger;
  }

  /** The newest configuration that was put in force. */
  get configuration(): ConfigurationState {
    return this.#configuration;
  }

  /** Its rules, or those of the version before if they are not valid. */
  get rules(): Rules | undefined {
    return this.#rules;
  }

  /** Puts a configuration in force unless a later one is. */
  update(configuration: ConfigurationState): void {
    const { version, text } = configuration;
    if (version <= this.#configuration.version) {
      return;
    }
    this.#configuration = configuration;
    parseRules(text).match({
      Ok: (rules) => {
        this.#rules = rules;
      },
      Err: ([fault]) =>
        this.#logger.error("configuration_invalid", {
          version,
          line: fault?.line,
          error: fault?.message,
        }),
    });
  }
}
