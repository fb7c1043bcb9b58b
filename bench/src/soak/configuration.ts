/**
 * Changes of the configuration in the soak, as callers see them at each node:
 * keys that the operator adds and withdraws.
 *
 * @module
 */
import type { Clock, Random } from "@zinniahill/kernel";
import { type Fleet, FLEET_HOST } from "@zinniahill/stand-ins";
import { Agent, request } from "undici";
import {
  isFaultOfAllNodes,
  isNodeFault,
  isStorePathFault,
  type PlayedFault,
} from "./fault-kinds.ts";
import type { NodeProcess } from "./node-process.ts";
import type { Violation } from "./promises.ts";
import { isDisturbed } from "./upstream-promises.ts";

/** A key, and when its addition and withdrawal were confirmed. */
export interface KeyChange {
  readonly key: string;
  readonly addedAt: number;
  /** Infinite until then. */
  withdrawnAt: number;
}

/** One request with a key. */
export interface KeyRequest {
  readonly key: string;
  readonly node: string;
  readonly sentAt: number;
  readonly endedAt: number;
  /** 0 without an answer. */
  readonly status: number;
}

/** How a node treated a key. */
export interface KeyAnswer extends Omit<KeyRequest, "status"> {
  readonly isAccepted: boolean;
}

/** "Configuration in force within" of `docs/hard-load.md`. */
const CONFIG_MS = 3000;
const PROBE_INTERVAL_MS = 25;
const TIMEOUT_MS = 1000;
/** An older version also refuses the newest key, so the last ones suffice. */
const PROBED_KEYS = 4;
/** Statuses that say whether the key is known; others say nothing. */
const VERDICTS: Readonly<Record<number, boolean>> = { 200: true, 401: false };

/** Rotates keys, and asks nodes what they make of each. */
export class KeyProbe {
  readonly changes: KeyChange[] = [];
  /** All requests that have ended, for the record of the seed. */
  readonly requests: KeyRequest[] = [];
  #fleet: Fleet;
  #random: Random;
  #agent = new Agent({ connectTimeout: TIMEOUT_MS });

  constructor(fleet: Fleet, random: Random) {
    this.#fleet = fleet;
    this.#random = random;
  }

  /** The answers that say whether the key is known. */
  get answers(): KeyAnswer[] {
    return this.requests.flatMap(({ status, ...request }) => {
      const isAccepted = VERDICTS[status];
      return isAccepted === undefined ? [] : [{ ...request, isAccepted }];
    });
  }

  /** Adds a key and withdraws the one before it. */
  rotate(): void {
    const previous = this.changes.at(-1);
    const key = `key-${this.changes.length}`;
    this.#fleet.accept(key);
    this.changes.push({
      key,
      addedAt: performance.now(),
      withdrawnAt: Infinity,
    });
    if (previous !== undefined) {
      this.#fleet.revoke(previous.key);
      previous.withdrawnAt = performance.now();
    }
  }

  /** Sends the last keys to each node in turn until the signal aborts. */
  async run(
    clock: Clock,
    nodes: readonly NodeProcess[],
    signal: AbortSignal,
  ): Promise<void> {
    const calls: Promise<void>[] = [];
    while (!signal.aborted) {
      for (const { key } of this.changes.slice(-PROBED_KEYS)) {
        for (const node of nodes) {
          calls.push(this.#send(key, node));
          await clock.sleep(PROBE_INTERVAL_MS);
        }
      }
    }
    await Promise.all(calls);
  }

  stop(): Promise<void> {
    return this.#agent.destroy();
  }

  async #send(key: string, { name, front }: NodeProcess): Promise<void> {
    const sentAt = performance.now();
    let status = 0;
    try {
      const { statusCode, body } = await request(`http://${front}/look/1`, {
        dispatcher: this.#agent,
        method: "POST",
        headers: {
          host: FLEET_HOST,
          "x-attempt-id": this.#random.id(),
          "x-deadline-ms": String(TIMEOUT_MS),
          authorization: `Bearer ${key}`,
        },
        body: "{}",
        signal: AbortSignal.timeout(TIMEOUT_MS),
      });
      await body.dump();
      status = statusCode;
    } catch {
      // Without a whole answer, nothing is known.
    }
    const endedAt = performance.now();
    this.requests.push({ key, node: name, sentAt, endedAt, status });
  }
}

/**
 * Finds keys that were treated by an older version later than the bound, by
 * nodes that are in touch, or after the same node had treated them by a newer
 * one; and nodes that do not serve the last one.
 */
export function judgeKeys(
  changes: readonly KeyChange[],
  answers: readonly KeyAnswer[],
  played: readonly PlayedFault[],
): Violation[] {
  const found = changes.flatMap((change) => {
    const own = answers.filter(({ key }) => key === change.key);
    return [
      ...own.filter((answer) =>
        isLate(change, answer) && isInTouch(answer, played)
      ).map((answer) => describe("in force in time", change, answer)),
      ...own.filter((answer) =>
        hasReverted(
          change,
          answer,
          own.filter((earlier) =>
            earlier.node === answer.node &&
            !hasForgotten(earlier, answer, played)
          ),
        )
      ).map((answer) => describe("never an older version", change, answer)),
    ];
  });
  return [...found, ...judgeLast(changes.at(-1), answers)];
}

/** Finds nodes that have not accepted the last key, which none may withhold. */
function judgeLast(
  last: KeyChange | undefined,
  answers: readonly KeyAnswer[],
): Violation[] {
  const nodes = new Set(answers.map(({ node }) => node));
  answers.filter(({ key, isAccepted }) => key === last?.key && isAccepted)
    .forEach(({ node }) => nodes.delete(node));
  return [...nodes].map((node) => ({
    promise: "in force at the end",
    detail: `${node} never accepted ${last?.key}`,
  }));
}

function isLate(
  { addedAt, withdrawnAt }: KeyChange,
  { sentAt, endedAt, isAccepted }: KeyAnswer,
): boolean {
  return isAccepted
    ? sentAt > withdrawnAt + CONFIG_MS
    : sentAt > addedAt + CONFIG_MS && endedAt < withdrawnAt;
}

/** Whether neither nodes nor their ways to the store were harmed lately. */
function isInTouch(
  { sentAt, endedAt }: KeyAnswer,
  played: readonly PlayedFault[],
): boolean {
  return !isDisturbed(
    sentAt,
    endedAt,
    played.filter(({ name }) => isNodeFault(name) || isStorePathFault(name)),
  );
}

/** Whether the node had gone further by an earlier answer. */
function hasReverted(
  { withdrawnAt }: KeyChange,
  { sentAt, endedAt, isAccepted }: KeyAnswer,
  answers: readonly KeyAnswer[],
): boolean {
  const earlier = answers.filter((answer) => answer.endedAt < sentAt);
  const firstAccepted = earlier.find((answer) => answer.isAccepted);
  return isAccepted
    ? firstAccepted !== undefined &&
      earlier.some((answer) =>
        !answer.isAccepted && answer.sentAt > withdrawnAt &&
        answer.sentAt > firstAccepted.endedAt
      )
    : firstAccepted !== undefined && endedAt < withdrawnAt;
}

/**
 * Whether all nodes may have lost what one knew at the first answer: a node that
 * starts learns it from its peers.
 */
function hasForgotten(
  { endedAt }: KeyAnswer,
  later: KeyAnswer,
  played: readonly PlayedFault[],
): boolean {
  const harms = played.filter((fault) =>
    isNodeFault(fault.name) && isDisturbed(endedAt, later.endedAt, [fault])
  );
  return harms.length > 1 || harms.some(({ name }) => isFaultOfAllNodes(name));
}

function describe(
  promise: string,
  { addedAt, withdrawnAt }: KeyChange,
  { key, node, sentAt, isAccepted }: KeyAnswer,
): Violation {
  const [verdict, change, at] = isAccepted
    ? ["accepted", "withdrawn", withdrawnAt]
    : ["refused", "added", addedAt];
  return {
    promise,
    detail: `${node} ${verdict} ${key} at ${Math.round(sentAt)} ms, ` +
      `${change} at ${Math.round(at)} ms`,
  };
}
