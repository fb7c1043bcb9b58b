/**
 * The rules file: one rule per line, with a comment on who asked for it.
 *
 * @module
 */
import { Result } from "true-myth";
import * as z from "zod";
import {
  Address,
  Count,
  createListSchema,
  Duration,
  Name,
  Percentage,
  PositiveNumber,
  Rank,
  RANKS,
  Rate,
} from "./values.ts";

/** The latency targets, floor, worth and retry share of one rank. */
export const RankRule = z.strictObject({
  name: Rank,
  "first-token": Duration,
  "token-gap": Duration.default(64),
  floor: Percentage,
  worth: PositiveNumber,
  retries: Percentage.default(0.1),
});
/** The latency targets, floor, worth and retry share of one rank. */
export type RankRule = z.infer<typeof RankRule>;

/** A model, the size of its groups and how many groups serve it. */
export const ModelRule = z.strictObject({
  name: Name,
  version: Name,
  hosts: Count.refine((hosts) => hosts > 0, "expected at least 1"),
  replicas: Count,
  spares: Count.default(0),
  adapters: createListSchema(Name).optional(),
});
/** A model, the size of its groups and how many groups serve it. */
export type ModelRule = z.infer<typeof ModelRule>;

const KeyHash = z.string().regex(
  /^sha256:[0-9a-f]{64}$/,
  "expected sha256: and 64 hexadecimal digits",
).transform((text) => text.slice("sha256:".length));

/** A client account, its API key and its limits over all nodes. */
export const AccountRule = z.strictObject({
  name: Name,
  key: KeyHash,
  weight: PositiveNumber.default(1),
  ranks: createListSchema(Rank).default(["normal"]),
  requests: Rate,
  tokens: Rate,
  streams: Count,
});
/** A client account, its API key and its limits over all nodes. */
export type AccountRule = z.infer<typeof AccountRule>;

/** A plain service and the methods that are safe to retry. */
export const ServiceRule = z.strictObject({
  name: Name,
  upstreams: createListSchema(Address),
  "retry-safe": createListSchema(z.string().regex(/^[A-Z]+$/)).default([
    "GET",
    "HEAD",
  ]),
});
/** A plain service and the methods that are safe to retry. */
export type ServiceRule = z.infer<typeof ServiceRule>;

/** Hosts whose engines check, or ignore, the fencing number of an order. */
export const FencingRule = z.strictObject({
  name: createListSchema(Name),
  mode: z.enum(["checked", "ignored"]),
});
/** Hosts whose engines check, or ignore, the fencing number of an order. */
export type FencingRule = z.infer<typeof FencingRule>;

/** The time at which a host or fabric domain goes down for maintenance. */
export const MaintenanceRule = z.strictObject({
  name: Name,
  at: z.iso.datetime().transform((text) => Date.parse(text)),
});
/** The time at which a host or fabric domain goes down for maintenance. */
export type MaintenanceRule = z.infer<typeof MaintenanceRule>;

const RULE_SCHEMAS = {
  rank: RankRule,
  model: ModelRule,
  account: AccountRule,
  service: ServiceRule,
  fencing: FencingRule,
  maintenance: MaintenanceRule,
} as const;

type RuleKind = keyof typeof RULE_SCHEMAS;

/** One parsed rule with its line number and comment. */
export type RuleLine = {
  [Kind in RuleKind]: {
    readonly kind: Kind;
    readonly line: number;
    readonly comment: string;
    readonly rule: z.infer<typeof RULE_SCHEMAS[Kind]>;
  };
}[RuleKind];

/** All rules of a configuration. */
export interface Rules {
  readonly ranks: Readonly<Record<Rank, RankRule>>;
  readonly models: ReadonlyMap<string, ModelRule>;
  readonly accounts: ReadonlyMap<string, AccountRule>;
  readonly services: ReadonlyMap<string, ServiceRule>;
  /** Hosts whose engines ignore the fencing number. */
  readonly unfencedHosts: ReadonlySet<string>;
  /** Start times of planned maintenance, by host or fabric domain. */
  readonly maintenance: ReadonlyMap<string, number>;
  readonly lines: readonly RuleLine[];
}

/** One error in a rules file. */
export interface RuleFault {
  readonly line: number;
  readonly message: string;
}

const DEFAULT_RANKS: Readonly<Record<Rank, RankRule>> = {
  urgent: {
    name: "urgent",
    "first-token": 750,
    "token-gap": 64,
    floor: 0.2,
    worth: 10,
    retries: 0.1,
  },
  normal: {
    name: "normal",
    "first-token": 3000,
    "token-gap": 64,
    floor: 0.2,
    worth: 3,
    retries: 0.1,
  },
  batch: {
    name: "batch",
    "first-token": 60_000,
    "token-gap": 1000,
    floor: 0.05,
    worth: 1,
    retries: 0.1,
  },
};

/** Parses a rules file; reports every fault with its line number. */
export function parseRules(text: string): Result<Rules, RuleFault[]> {
  const faults: RuleFault[] = [];
  const lines: RuleLine[] = [];
  text.split(/\r?\n/).forEach((source, index) => {
    if (isBlank(source)) {
      return;
    }
    parseLine(source, index + 1).match({
      Ok: (line) => lines.push(line),
      Err: (lineFaults) => faults.push(...lineFaults),
    });
  });
  faults.push(...findDuplicateNames(lines));
  faults.push(...findExcessFloors(lines));
  return faults.length > 0
    ? Result.err(faults.sort((a, b) => a.line - b.line))
    : Result.ok(collectRules(lines));
}

function isBlank(source: string): boolean {
  return /^\s*(#.*)?$/.test(source);
}

function parseLine(
  source: string,
  line: number,
): Result<RuleLine, RuleFault[]> {
  const hash = source.indexOf("#");
  const comment = hash < 0 ? "" : source.slice(hash + 1).trim();
  if (comment === "") {
    return Result.err([{
      line,
      message: "expected a comment that says who asked for the rule",
    }]);
  }
  const [kind = "", name = "", ...pairs] = source.slice(0, hash).trim()
    .split(/\s+/);
  if (!isRuleKind(kind)) {
    const kinds = Object.keys(RULE_SCHEMAS).join(", ");
    return Result.err([{
      line,
      message: `unknown rule "${kind}"; expected one of ${kinds}`,
    }]);
  }
  const values = parsePairs(pairs, line);
  if (values.isErr) {
    return Result.err(values.error);
  }
  const parsed = RULE_SCHEMAS[kind].safeParse({ name, ...values.value });
  if (!parsed.success) {
    return Result.err(parsed.error.issues.map((issue) => ({
      line,
      message: `${[kind, ...issue.path].join(" ")}: ${issue.message}`,
    })));
  }
  return Result.ok({ kind, line, comment, rule: parsed.data } as RuleLine);
}

function isRuleKind(kind: string): kind is RuleKind {
  return Object.hasOwn(RULE_SCHEMAS, kind);
}

function parsePairs(
  pairs: readonly string[],
  line: number,
): Result<Record<string, string>, RuleFault[]> {
  const values = new Map<string, string>();
  const faults: RuleFault[] = [];
  for (const pair of pairs) {
    const equals = pair.indexOf("=");
    const key = pair.slice(0, equals);
    if (equals <= 0 || key === "name") {
      faults.push({ line, message: `expected key=value, found "${pair}"` });
    } else if (values.has(key)) {
      faults.push({ line, message: `duplicate key "${key}"` });
    } else {
      values.set(key, pair.slice(equals + 1));
    }
  }
  return faults.length > 0
    ? Result.err(faults)
    : Result.ok(Object.fromEntries(values));
}

function findDuplicateNames(lines: readonly RuleLine[]): RuleFault[] {
  const seen = new Map<string, number>();
  const faults: RuleFault[] = [];
  for (const { kind, line, rule } of lines) {
    const key = `${kind} ${rule.name}`;
    const firstLine = seen.get(key);
    if (firstLine === undefined) {
      seen.set(key, line);
    } else {
      faults.push({
        line,
        message: `${key} is already defined in line ${firstLine}`,
      });
    }
  }
  return faults;
}

/** Floors of 33%, 56% and 11% add up to 1 + 2e-16 as fractions. */
const FLOOR_TOLERANCE = 1e-9;

function findExcessFloors(lines: readonly RuleLine[]): RuleFault[] {
  const ranks = collectRanks(lines);
  const sum = RANKS.reduce((total, rank) => total + ranks[rank].floor, 0);
  const last = lines.findLast(({ kind }) => kind === "rank");
  return sum > 1 + FLOOR_TOLERANCE && last
    ? [{
      line: last.line,
      message: "the floors of all ranks add up to more than 100%",
    }]
    : [];
}

function collectRanks(lines: readonly RuleLine[]): Record<Rank, RankRule> {
  const ranks = { ...DEFAULT_RANKS };
  for (const line of lines) {
    if (line.kind === "rank") {
      ranks[line.rule.name] = line.rule;
    }
  }
  return ranks;
}

function collectRules(lines: readonly RuleLine[]): Rules {
  const models = new Map<string, ModelRule>();
  const accounts = new Map<string, AccountRule>();
  const services = new Map<string, ServiceRule>();
  const unfencedHosts = new Set<string>();
  const maintenance = new Map<string, number>();
  const collect: { [Kind in RuleKind]: (rule: RuleOf<Kind>) => void } = {
    rank: () => {},
    model: (rule) => models.set(rule.name, rule),
    account: (rule) => accounts.set(rule.name, rule),
    service: (rule) => services.set(rule.name, rule),
    fencing: (rule) => {
      for (const host of rule.mode === "ignored" ? rule.name : []) {
        unfencedHosts.add(host);
      }
    },
    maintenance: (rule) => maintenance.set(rule.name, rule.at),
  };
  for (const line of lines) {
    (collect[line.kind] as (rule: RuleLine["rule"]) => void)(line.rule);
  }
  return {
    ranks: collectRanks(lines),
    models,
    accounts,
    services,
    unfencedHosts,
    maintenance,
    lines,
  };
}

type RuleOf<Kind extends RuleKind> = z.infer<typeof RULE_SCHEMAS[Kind]>;
