/**
 * Decides whether a request may run at a second upstream.
 *
 * @module
 */

/**
 * Whether a request that may have run is repeated as often as attempts allow, is
 * resumed after the last event that its caller has, or runs once at most.
 */
export type Repetition = "repeat" | "resume" | "never";

/** Whether a request may be repeated, runs at most once, or is a stream. */
export type RepeatableKind = "idempotent" | "once" | "stream";

/** By the kind of request, for a route that is marked as resumable or is not. */
const REPETITIONS: Readonly<
  Record<RepeatableKind, (isMarkedResumable: boolean) => Repetition>
> = {
  idempotent: () => "repeat",
  once: () => "never",
  stream: (isMarkedResumable) => isMarkedResumable ? "resume" : "never",
};

/** Returns the repetition of a route's requests; only a stream is resumed. */
export function deriveRepetition(
  kind: RepeatableKind,
  isMarkedResumable: boolean,
): Repetition {
  return REPETITIONS[kind](isMarkedResumable);
}

/** Whether a request that an upstream may have run is sent to another one. */
export function mayRunAgain(repetition: Repetition): boolean {
  return repetition !== "never";
}
