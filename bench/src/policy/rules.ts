/**
 * Rules that the measurements use.
 *
 * @module
 */
import { parseRules, type Rules } from "@zinniahill/schema";

/** Rules with three ranks; `floors` off is the baseline without floors. */
export function createRules(
  { floors = true, accounts = [] }: {
    floors?: boolean;
    accounts?: readonly string[];
  } = {},
): Rules {
  const floor = (share: string) => floors ? share : "0%";
  const text = [
    `rank urgent first-token=750ms token-gap=64ms floor=${
      floor("20%")
    } worth=10 # bench`,
    `rank normal first-token=3s token-gap=64ms floor=${
      floor("20%")
    } worth=3 # bench`,
    `rank batch first-token=10s token-gap=1s floor=${
      floor("5%")
    } worth=1 # bench`,
    ...accounts,
  ].join("\n");
  const rules = parseRules(text);
  if (rules.isErr) {
    throw new Error(rules.error.map(({ message }) => message).join("; "));
  }
  return rules.value;
}
