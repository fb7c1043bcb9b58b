/**
 * What the judgements may use, and how they read it.
 *
 * @module
 */
import type { EngineModel, EngineRun } from "@zinniahill/stand-ins";
import type { World } from "./world.ts";

/** What a judgement may use. */
export type Evidence =
  & Pick<World, "records" | "platform" | "recordServices">
  & {
    /** When the row ended. */
    readonly endedAt: number;
  };

/** What one judgement finds. */
export interface Judged {
  /** Whether the guarantee was put to the test. */
  readonly isExercised: boolean;
  /** The first violation. */
  readonly violation?: string;
}

/** Every engine. */
export function listEngines({ platform }: Evidence): EngineModel[] {
  return [...platform.engines.values()];
}

/** The engine of a host. */
export function findEngine(evidence: Evidence, host: string): EngineModel {
  return listEngines(evidence).find(({ options }) => options.host === host)!;
}

/** Every run of a request, with its engine. */
export function listRuns(
  evidence: Evidence,
): { engine: EngineModel; run: EngineRun }[] {
  return listEngines(evidence).flatMap((engine) =>
    engine.runs.map((run) => ({ engine, run }))
  );
}

/** Hosts of each group, as the orders to load named them. */
export function findGroups(evidence: Evidence): Map<string, readonly string[]> {
  return new Map(
    listEngines(evidence).flatMap(({ receivedOrders }) =>
      receivedOrders
        .filter(({ order }) => order === "load")
        .map(({ group, hosts }) => [group, hosts] as const)
    ),
  );
}

/** The group whose role a host had just before a moment. */
export function findGroupAt(engine: EngineModel, at: number): string {
  const changes = [
    ...engine.resets.map((time) => ({ at: time, group: "" })),
    ...engine.receivedOrders
      .filter(({ order, refusal }) =>
        refusal === undefined && (order === "load" || order === "unload")
      )
      .map(({ order, group, at: time }) => ({
        at: time,
        group: order === "load" ? group : "",
      })),
  ].filter((change) => change.at < at).toSorted((a, b) => a.at - b.at);
  return changes.at(-1)?.group ?? "";
}

/** Whether a value is there. */
export function isDefined<Value>(value: Value | undefined): value is Value {
  return value !== undefined;
}
