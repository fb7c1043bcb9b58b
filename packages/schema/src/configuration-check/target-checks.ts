/**
 * Checks of models and services.
 *
 * @module
 */
import { METHODS } from "node:http";
import type { Rules } from "../rules.ts";
import type { Observation } from "./report.ts";
import { selectRules } from "./rule-selection.ts";

/** Finds models that no group serves. */
export function findUnservedModels(rules: Rules): Observation[] {
  return selectRules(rules, "model").filter(({ rule }) => rule.replicas === 0)
    .map(({ line, rule }) => ({
      line,
      message: `model ${rule.name} is not served, as replicas is 0` +
        (rule.spares > 0 ? `, and spares=${rule.spares} has no effect` : ""),
      related: [],
    }));
}

/** Nodes order engines to load models only, never adapters. */
export function findUnloadedAdapters(rules: Rules): Observation[] {
  return selectRules(rules, "model")
    .filter(({ rule }) => rule.adapters !== undefined)
    .map(({ line, rule }) => ({
      line,
      message: `the adapters of model ${rule.name} have no effect, as nodes ` +
        "load none",
      related: [],
    }));
}

/** Finds services that no caller can reach, as each needs an account. */
export function findUncalledServices(rules: Rules): Observation[] {
  return rules.accounts.size > 0
    ? []
    : selectRules(rules, "service").map(({ line, rule }) => ({
      line,
      message: `service ${rule.name} cannot be called, as the file has no ` +
        "account",
      related: [],
    }));
}

/** Finds retry-safe methods that no request can have. */
export function findUnknownMethods(rules: Rules): Observation[] {
  return selectRules(rules, "service").flatMap(({ line, rule }) =>
    rule["retry-safe"].filter((method) => !METHODS.includes(method))
      .map((method) => ({
        line,
        message: `service ${rule.name}: no request has the method ${method}`,
        related: [],
      }))
  );
}

/** Finds upstreams to which no connection is possible. */
export function findUnreachableUpstreams(rules: Rules): Observation[] {
  return selectRules(rules, "service").flatMap(({ line, rule }) =>
    rule.upstreams.filter((address) => /:0+$/.test(address)).map((address) => ({
      line,
      message: `service ${rule.name}: upstream ${address} has no port`,
      related: [],
    }))
  );
}

/** Finds upstreams whose services disagree on what may be repeated. */
export function findUnlikeRetries(rules: Rules): Observation[] {
  const services = selectRules(rules, "service");
  return services.flatMap(({ line, rule }, index) =>
    services.slice(0, index).flatMap((earlier) => {
      const shared = rule.upstreams.find((address) =>
        earlier.rule.upstreams.includes(address)
      );
      const isAlike = describeMethods(rule) === describeMethods(earlier.rule);
      return shared === undefined || isAlike ? [] : [{
        line,
        message: `services ${earlier.rule.name} and ${rule.name} share ` +
          `upstream ${shared}, but not retry-safe`,
        related: [earlier.line],
      }];
    })
  );
}

function describeMethods(rule: { "retry-safe": string[] }): string {
  return [...new Set(rule["retry-safe"])].sort().join(",");
}
