/**
 * Steps of the procedures, and how each one is recognized when it happens.
 *
 * @module
 */
import { type LogRecord, parseRecord } from "./log-records.ts";
import type { World, WorldEvent } from "./world.ts";

/** The node and the host that a step is about. */
export interface Subject {
  readonly node: string;
  readonly host: string;
}

/** How a step is recognized. */
export interface Step {
  /** Which of the events is taken; 1 is the first. */
  readonly occurrence: number;
  /** Returns what the step is about when the event is of this step. */
  readonly match: (event: WorldEvent) => Partial<Subject> | undefined;
}

/** The node whose planned stop and restart every row has. */
export const STOPPED_NODE = "node-3";

const STREAM_EVENTS = 65;
const CALL_OCCURRENCE = 4;

/** Steps by name. */
export const STEPS = {
  start: {
    occurrence: 2,
    match: (event) =>
      event.kind === "node-started" && event.node === STOPPED_NODE
        ? { node: event.node }
        : undefined,
  },
  publish: {
    occurrence: 1,
    match: createRecordMatch((record) =>
      record.kind === "configuration" && record.basis > 0
    ),
  },
  claim: {
    occurrence: 1,
    match: createRecordMatch((record) =>
      record.kind === "lease" && record.fence === 0
    ),
  },
  assign: {
    occurrence: 1,
    match: createRecordMatch(({ kind }) => kind === "group-assigned"),
  },
  load: {
    occurrence: 1,
    match: (event) =>
      event.kind === "order" && event.order.order === "load"
        ? { node: event.node, host: event.host }
        : undefined,
  },
  serve: {
    occurrence: 1,
    match: createRecordMatch(({ kind }) => kind === "group-ready"),
  },
  stream: {
    occurrence: STREAM_EVENTS,
    match: (event) =>
      event.kind === "token"
        ? { node: event.node, host: event.host }
        : undefined,
  },
  intent: {
    occurrence: CALL_OCCURRENCE,
    match: createRecordMatch(({ kind }) => kind === "intent"),
  },
  dispatch: {
    occurrence: CALL_OCCURRENCE,
    match: (event) => event.kind === "call" ? { node: event.node } : undefined,
  },
  outcome: {
    occurrence: CALL_OCCURRENCE,
    match: createRecordMatch(({ kind }) => kind === "outcome"),
  },
  drain: {
    occurrence: 1,
    match: createRecordMatch(({ kind }) => kind === "host-drained"),
  },
  stop: {
    occurrence: 1,
    match: (event) =>
      event.kind === "stop-begun" ? { node: event.node } : undefined,
  },
} as const satisfies Record<string, Step>;

/** The name of a step. */
export type StepName = keyof typeof STEPS;

/** Calls back at the moment of a step, once. */
export class StepWatch {
  #step: Step;
  #seen = 0;
  #onStep: (subject: Subject) => void;
  #world: World;

  constructor(
    world: World,
    name: StepName,
    onStep: (subject: Subject) => void,
  ) {
    this.#world = world;
    this.#step = STEPS[name];
    this.#onStep = onStep;
  }

  /** Whether the step has come. */
  get isReached(): boolean {
    return this.#seen >= this.#step.occurrence;
  }

  /** Looks at one event. */
  note(event: WorldEvent): void {
    const subject = this.isReached ? undefined : this.#step.match(event);
    if (subject === undefined) {
      return;
    }
    this.#seen++;
    if (this.isReached) {
      this.#onStep({
        node: subject.node ?? "node-1",
        host: subject.host ?? findServingHost(this.#world),
      });
    }
  }
}

/**
 * A host that serves but is not the lead, so that the lead can still accept
 * work while the host is away; the first choice of placement before that.
 */
export function findServingHost(world: World): string {
  const engines = [...world.platform.engines.values()];
  const member = engines.find(({ status }) =>
    status.role === "serving" && status.rank > 0
  );
  return member?.options.host ?? "host-8";
}

function createRecordMatch(
  isStep: (record: LogRecord) => boolean,
): Step["match"] {
  return (event) => {
    if (event.kind !== "append") {
      return undefined;
    }
    const record = event.entry.records
      .map(parseRecord)
      .find((candidate) => candidate !== undefined && isStep(candidate));
    if (record === undefined) {
      return undefined;
    }
    return { node: record.node, ...findHost(record) };
  };
}

function findHost(record: LogRecord): Partial<Subject> {
  if (record.kind === "group-assigned") {
    return { host: record.hosts[0]! };
  }
  return record.kind === "host-drained" ? { host: record.host } : {};
}
