/**
 * Explains from logs what became of a request.
 *
 * @module
 */
import type { LogLine } from "./log-line.ts";

/** What the logs say of one request. */
export interface Explanation {
  /** Lines of the request, in order of time. */
  readonly lines: readonly LogLine[];
  /** What nodes learned of the upstreams and groups that it was given to. */
  readonly context: readonly LogLine[];
  /** The outcome and the input that decided it, in one sentence each. */
  readonly findings: readonly string[];
}

type Finder = (line: LogLine) => string;

/** Changes this long before the request and after it may have decided it. */
const BEFORE_MS = 3000;
const AFTER_MS = 1000;

/** Events that change what a node believes of upstreams, peers or the store. */
const CONTEXT_EVENTS = new Set([
  "configuration_adopted",
  "dependency_lost",
  "dependency_regained",
  "group_changed",
  "group_checked",
  "group_dissolved",
  "group_opened",
  "group_stalled",
  "group_suspected",
  "instance_draining",
  "instance_gone",
  "instance_missing",
  "node_draining",
  "placement_held",
  "placement_lost",
]);

/** Events that concern every request of a node. */
const GENERAL_EVENTS = new Set([
  "configuration_adopted",
  "dependency_lost",
  "dependency_regained",
  "node_draining",
]);

const SUBJECT_FIELDS = ["instance", "group", "lead"] as const;

/** What a refusal of each code was decided by. */
const REFUSAL_CAUSES: Readonly<Record<string, Finder>> = {
  "unauthorized": (line) =>
    `version ${read(line, "version")}, read ${
      read(line, "configuration_age_ms")
    } ms before, has no account with the key`,
  "not-found": (line) =>
    `version ${read(line, "version")}, read ${
      read(line, "configuration_age_ms")
    } ms before, has no route for ${read(line, "path")}`,
  "stale-configuration": (line) =>
    `the configuration was ${read(line, "configuration_age_ms")} ms old`,
};

/** What each event of a request says. */
const FINDERS: Readonly<Record<string, Finder>> = {
  attempt_failed: (line) =>
    `the attempt at ${read(line, "instance")} failed (${
      read(line, "verdict")
    }): ${read(line, "error")}; the node counted ${
      read(line, "load")
    } requests there and ${read(line, "left_ms")} ms were left`,
  answer_broken: (line) =>
    `the answer of ${read(line, "instance")} broke off after ${
      read(line, "events")
    } events: ${read(line, "error")}`,
  attempt_repeated: (line) =>
    `${read(line, "instance")} answered ${
      read(line, "status")
    }, so another instance was asked`,
  request_answered: (line) =>
    `answered with ${read(line, "status")} by ${read(line, "instance")} after ${
      read(line, "attempts")
    } attempts; first byte after ${read(line, "first_ms")} ms, last after ${
      read(line, "total_ms")
    } ms${describeLoad(line)}`,
  request_refused: (line) => {
    const code = read(line, "code");
    const cause = REFUSAL_CAUSES[code]?.(line) ?? read(line, "reason");
    return `refused with ${read(line, "status")} (${code}, ${
      read(line, "verdict")
    }) after ${read(line, "total_ms")} ms: ${cause}`;
  },
};

/** Puts together what logs of several nodes say of a request. */
export function explainRequest(
  id: string,
  all: readonly LogLine[],
): Explanation {
  const lines = all
    .filter(({ fields }) => fields.get("request") === id)
    .sort((a, b) => a.timestampMs - b.timestampMs);
  const findings = lines.map((line) => {
    const find = FINDERS[line.event] ?? (({ event }: LogLine) => event);
    return `${line.time} ${line.node}: ${find(line)}`;
  });
  return { lines, context: findContext(lines, all), findings };
}

function findContext(
  lines: readonly LogLine[],
  all: readonly LogLine[],
): LogLine[] {
  const [first] = lines;
  const last = lines.at(-1);
  if (first === undefined || last === undefined) {
    return [];
  }
  const total = Number(last.fields.get("total_ms") ?? 0);
  const begin = Math.min(first.timestampMs, last.timestampMs - total) -
    BEFORE_MS;
  const subjects = new Set(
    lines.flatMap(({ fields }) =>
      SUBJECT_FIELDS.map((field) => fields.get(field))
    ),
  );
  const nodes = new Set(lines.map(({ node }) => node));
  const isAbout = ({ event, node, fields }: LogLine) =>
    (GENERAL_EVENTS.has(event) && nodes.has(node)) ||
    SUBJECT_FIELDS.some((field) => {
      const value = fields.get(field);
      return value !== undefined && subjects.has(value);
    });
  return all
    .filter((line) =>
      CONTEXT_EVENTS.has(line.event) && line.timestampMs >= begin &&
      line.timestampMs <= last.timestampMs + AFTER_MS && isAbout(line)
    )
    .sort((a, b) => a.timestampMs - b.timestampMs);
}

/** How full the node took the upstream for, and how full it was. */
function describeLoad({ fields }: LogLine): string {
  const load = fields.get("load");
  const upstreamLoad = fields.get("upstream_load");
  return load === undefined || upstreamLoad === undefined
    ? ""
    : `; the node had counted ${load} requests there, the upstream ${upstreamLoad}`;
}

function read({ fields }: LogLine, name: string): string {
  return fields.get(name) ?? "unknown";
}
