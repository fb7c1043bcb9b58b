/**
 * Which client account a request belongs to.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import { type AccountRule, Refusal, type Rules } from "@zinniahill/schema";
import type { ControlState } from "../state/control-state.ts";
import { hashSecret, isSameHash, readBearerToken } from "@zinniahill/clients";

/** A client account and the rules under which it calls. */
export interface Caller {
  readonly account: AccountRule;
  readonly rules: Rules;
}

type AccountIndex = ReadonlyMap<string, AccountRule>;

/**
 * Finds the account of an API key. Accounts are indexed by the hash of their
 * key, so the time does not grow with their number, and the time of the look-up
 * depends on the hash alone, which a caller cannot choose.
 */
export class Authentication {
  #state: ControlState;
  #indices = new WeakMap<Rules, AccountIndex>();

  constructor(state: ControlState) {
    this.#state = state;
  }

  /** Returns the caller; throws a refusal when there is none. */
  authenticate(request: IncomingMessage): Caller {
    const rules = this.#state.rules;
    if (rules === undefined) {
      throw new Refusal(
        "no-configuration",
        "not-run",
        "no configuration is known",
      );
    }
    const key = readBearerToken(request);
    if (key === "") {
      throw new Refusal(
        "unauthorized",
        "not-run",
        "expected the header Authorization: Bearer with an API key",
      );
    }
    const hash = hashSecret(key);
    const account = this.#findIndex(rules).get(hash);
    if (account === undefined || !isSameHash(account.key, hash)) {
      throw new Refusal("unauthorized", "not-run", "the API key is not known");
    }
    return { account, rules };
  }

  #findIndex(rules: Rules): AccountIndex {
    const known = this.#indices.get(rules);
    if (known !== undefined) {
      return known;
    }
    const index = new Map(
      [...rules.accounts.values()].map((account) => [account.key, account]),
    );
    this.#indices.set(rules, index);
    return index;
  }
}
