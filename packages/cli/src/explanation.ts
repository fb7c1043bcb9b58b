/**
 * Reconstructs the course of a request from the logs of nodes.
 *
 * @module
 */
import type { LogLine } from "./log-line.ts";

/** What the logs show about one request. */
export interface Explanation {
  /** Log lines of the request, sorted by time. */
  readonly lines: readonly LogLine[];
  /** State changes of its nodes, upstreams and groups around that time. */
  readonly context: readonly LogLine[];
  /** One sentence for each log line: what happened and what decided it. */
  readonly findings: readonly string[];
}

type LineDescriber = (line: LogLine) => string;

/** State changes this long before or after a request may have affected it. */
const CONTEXT_BEFORE_MS = 3000;
const CONTEXT_AFTER_MS = 1000;

/** Changes in a node's view of upstreams, peers and external dependencies. */
const CONTEXT_EVENTS = new Set([
  "configuration_adopted",
  "dependency_lost",
  "dependency_regained",
  "group_changed",
  "instance_backing_off",
  "prompt_parts_quarantined",
  "prompt_parts_released",
  "upstream_cold",
  "upstream_examined",
  "upstream_limit_ended",
  "upstream_limit_named",
  "upstream_warm",
  "instance_leaving",
  "group_checked",
  "group_dissolved",
  "group_opened",
  "group_stalled",
  "group_suspected",
  "instance_draining",
  "instance_gone",
  "instance_missing",
  "node_closing",
  "node_draining",
  "node_stopped",
  "placement_held",
  "placement_lost",
]);

/** Events that affect every request on a node. */
const NODE_WIDE_EVENTS = new Set([
  "prompt_parts_quarantined",
  "prompt_parts_released",
  "configuration_adopted",
  "dependency_lost",
  "dependency_regained",
  "node_closing",
  "node_draining",
  "node_stopped",
]);

const SUBJECT_FIELDS = ["instance", "group", "lead"] as const;

/** Describes, by refusal code, the input that decided the refusal. */
const REFUSAL_CAUSES: Readonly<Record<string, LineDescriber>> = {
  "unauthorized": (line) =>
    `version ${getField(line, "version")}, read ${
      getField(line, "configuration_age_ms")
    } ms before, has no account with the key`,
  "not-found": (line) =>
    `version ${getField(line, "version")}, read ${
      getField(line, "configuration_age_ms")
    } ms before, has no route for ${getField(line, "path")}`,
  "stale-configuration": (line) =>
    `the configuration was ${getField(line, "configuration_age_ms")} ms old`,
};

/** Describes each event of a request. */
const EVENT_DESCRIBERS: Readonly<Record<string, LineDescriber>> = {
  attempt_failed: (line) =>
    `the attempt at ${getField(line, "instance")} failed (${
      getField(line, "verdict")
    }): ${getField(line, "error")}; the node counted ${
      getField(line, "load")
    } requests there and ${getField(line, "left_ms")} ms were left`,
  answer_broken: (line) =>
    `the response from ${getField(line, "instance")} broke off after ${
      getField(line, "events")
    } events: ${getField(line, "error")}`,
  attempt_replaced: (line) =>
    `${getField(line, "instance")} was silent, so ${
      getField(line, "by")
    } was tried as well`,
  attempt_repeated: (line) =>
    `${getField(line, "instance")} answered ${
      getField(line, "status")
    }, so another instance was tried`,
  request_answered: (line) =>
    `answered with ${getField(line, "status")} by ${
      getField(line, "instance")
    } after ${getField(line, "attempts")} attempts; first byte after ${
      getField(line, "first_ms")
    } ms, last after ${getField(line, "total_ms")} ms${describeLoad(line)}`,
  answer_cut: (line) =>
    `the ${getField(line, "by")} closed the connection before the answer was ` +
    `sent; at most ${getField(line, "unsent_bytes")} bytes were left`,
  request_ignored: () =>
    "came after the last answer on its connection and was not passed on",
  request_refused: (line) => {
    const code = getField(line, "code");
    const cause = REFUSAL_CAUSES[code]?.(line) ?? getField(line, "reason");
    return `refused with ${getField(line, "status")} (${code}, ${
      getField(line, "verdict")
    }) after ${getField(line, "total_ms")} ms: ${cause}`;
  },
};

/** Explains a request from the logs of several nodes. */
export function explainRequest(
  requestId: string,
  allLines: readonly LogLine[],
): Explanation {
  const lines = allLines
    .filter(({ fields }) => fields.get("request") === requestId)
    .sort((a, b) => a.timestampMs - b.timestampMs);
  const findings = lines.map((line) => {
    const describeLine = EVENT_DESCRIBERS[line.event] ??
      (({ event }: LogLine) => event);
    return `${line.time} ${line.node}: ${describeLine(line)}`;
  });
  return { lines, context: selectContext(lines, allLines), findings };
}

function selectContext(
  lines: readonly LogLine[],
  allLines: readonly LogLine[],
): LogLine[] {
  const [first] = lines;
  const last = lines.at(-1);
  if (first === undefined || last === undefined) {
    return [];
  }
  const totalMs = Number(last.fields.get("total_ms") ?? 0);
  const startMs = Math.min(first.timestampMs, last.timestampMs - totalMs) -
    CONTEXT_BEFORE_MS;
  const subjects = new Set(
    lines.flatMap(({ fields }) =>
      SUBJECT_FIELDS.map((field) => fields.get(field))
    ),
  );
  const nodes = new Set(lines.map(({ node }) => node));
  const isRelevant = ({ event, node, fields }: LogLine) =>
    (NODE_WIDE_EVENTS.has(event) && nodes.has(node)) ||
    SUBJECT_FIELDS.some((field) => {
      const value = fields.get(field);
      return value !== undefined && subjects.has(value);
    });
  return allLines
    .filter((line) =>
      CONTEXT_EVENTS.has(line.event) && line.timestampMs >= startMs &&
      line.timestampMs <= last.timestampMs + CONTEXT_AFTER_MS &&
      isRelevant(line)
    )
    .sort((a, b) => a.timestampMs - b.timestampMs);
}

/** Compares the load that the node counted with the upstream's own count. */
function describeLoad({ fields }: LogLine): string {
  const load = fields.get("load");
  const upstreamLoad = fields.get("upstream_load");
  return load === undefined || upstreamLoad === undefined
    ? ""
    : `; the node had counted ${load} requests there, the upstream ${upstreamLoad}`;
}

function getField({ fields }: LogLine, name: string): string {
  return fields.get(name) ?? "unknown";
}
