/**
 * Decides which part of the requests leaves the data centre of their node.
 *
 * Requests stay while an upstream of the own data centre is expected to take
 * them without a wait that exceeds the transfer to another one. The part beyond
 * that leaves, and only up to the load at which requests would wait there, too.
 * All candidates together take the rest, up to the limit.
 *
 * @module
 */

/** The upstreams that can take a request, by data centre. */
export interface PreferenceInput {
  /** The data centre of the node. */
  readonly own: string;
  /** The data centre of each upstream. */
  readonly dataCentres: readonly string[];
  /** Data centres of whose nodes recent reports are known. */
  readonly reported: ReadonlySet<string>;
  /** One-way delay to a data centre. */
  readonly findDelayMs: (dataCentre: string) => number;
  /** Requests that one upstream runs at the same time. */
  readonly slots: number;
  /** Requests that one upstream accepts. */
  readonly limit: number;
  /** Mean time until a full upstream takes one more request. */
  readonly slotReleaseMs: number;
  readonly targetMs: number;
}

/** Upstreams that are considered together, before those of later stages. */
export interface PreferenceStage {
  readonly kind: "local" | "remote" | "any";
  /** Indices of the upstreams. */
  readonly upstreams: readonly number[];
  /** Load up to which this stage fills them. */
  readonly limit: number;
}

/**
 * Share of the slots up to which requests are expected not to wait. The rest
 * absorbs requests that the counts do not show yet.
 */
const COMFORTABLE_SHARE = 0.9;
/** A transfer takes the delay there and back. */
const DELAYS_PER_TRANSFER = 2;

/**
 * The load up to which requests stay: up to it, the wait here does not exceed
 * the transfer to a data centre at `delayMs`.
 */
function computeStayLimit(
  { slots, limit, slotReleaseMs }: Pick<
    PreferenceInput,
    "slots" | "limit" | "slotReleaseMs"
  >,
  delayMs: number,
): number {
  return Math.min(
    limit,
    slots * COMFORTABLE_SHARE + computeTransferLoad(delayMs, slotReleaseMs),
  );
}

/** The number of requests whose wait is as long as a transfer. */
export function computeTransferLoad(
  delayMs: number,
  slotReleaseMs: number,
): number {
  return DELAYS_PER_TRANSFER * delayMs / slotReleaseMs;
}

/**
 * Plans the stages of a selection. There is only one, of all upstreams, if the
 * own data centre has none or its load is not known.
 */
export function planPreferenceStages(
  input: PreferenceInput,
): PreferenceStage[] {
  const { own, dataCentres, reported, limit, slots } = input;
  const any: PreferenceStage = {
    kind: "any",
    upstreams: [...dataCentres.keys()],
    limit,
  };
  const byDelay = groupByDelay(input);
  const local = byDelay.get(0) ?? [];
  if (local.length === 0 || !reported.has(own)) {
    return [any];
  }
  const comfortableLoad = Math.min(limit, slots * COMFORTABLE_SHARE);
  const remoteDelays = [...byDelay.keys()]
    .filter((delayMs) => delayMs > 0 && isTimely(input, delayMs))
    .sort((a, b) => a - b);
  const stayLimit = computeStayLimit(input, remoteDelays[0] ?? 0);
  return [
    { kind: "local", upstreams: local, limit: stayLimit },
    ...remoteDelays.map((delayMs): PreferenceStage => ({
      kind: "remote",
      upstreams: byDelay.get(delayMs)!,
      limit: comfortableLoad,
    })),
    any,
  ];
}

/** Whether the target leaves time for a transfer. */
function isTimely({ targetMs }: PreferenceInput, delayMs: number): boolean {
  return DELAYS_PER_TRANSFER * delayMs < targetMs;
}

/** Upstreams by the delay to them; those without reports are left out. */
function groupByDelay(
  { own, dataCentres, reported, findDelayMs }: PreferenceInput,
): Map<number, number[]> {
  const byDelay = new Map<number, number[]>();
  for (const [index, dataCentre] of dataCentres.entries()) {
    if (!reported.has(dataCentre)) {
      continue;
    }
    // A configured delay of 0 must not make another data centre the own one.
    const delayMs = dataCentre === own
      ? 0
      : Math.max(Number.MIN_VALUE, findDelayMs(dataCentre));
    const upstreams = byDelay.get(delayMs) ?? [];
    upstreams.push(index);
    byDelay.set(delayMs, upstreams);
  }
  return byDelay;
}
