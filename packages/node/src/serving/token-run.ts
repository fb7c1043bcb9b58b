/**
 * The order of a stream's tokens: which events the caller has not had yet.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { END_INDEX, type TokenEventBatch } from "@zinniahill/clients";

/** What a batch of events holds for the caller. */
export interface TokenRun {
  /** The new events. They are copied only if duplicates lie between them. */
  readonly bytes: Buffer;
  /** Index of the token that must come next. */
  readonly next: number;
  /** The last new event. */
  readonly last: Buffer | undefined;
  /** Whether the engine says that the stream has ended. */
  readonly isEnded: boolean;
  /** Whether a token is missing after these events. */
  readonly hasGap: boolean;
}

/**
 * Selects the events from token `next` on. Duplicates are dropped, and nothing
 * is taken from behind a gap; events out of order make a gap as well.
 */
export function selectRun(batch: TokenEventBatch, next: number): TokenRun {
  const { bytes, tokenIndices, endOffsets } = batch;
  const pieces: Buffer[] = [];
  let last: Buffer | undefined;
  let expected = next;
  let pieceStart = 0;
  let pieceEnd = 0;
  const endPiece = () => {
    if (pieceEnd > pieceStart) {
      pieces.push(bytes.subarray(pieceStart, pieceEnd));
    }
  };
  let event = 0;
  for (; event < tokenIndices.length; event++) {
    const index = tokenIndices[event]!;
    if (index > expected || index === END_INDEX) {
      break;
    }
    if (index < expected) {
      continue;
    }
    const start = event === 0 ? 0 : endOffsets[event - 1]!;
    if (start !== pieceEnd) {
      endPiece();
      pieceStart = start;
    }
    pieceEnd = endOffsets[event]!;
    last = bytes.subarray(start, pieceEnd);
    expected++;
  }
  endPiece();
  const stopIndex = tokenIndices[event];
  return {
    bytes: pieces.length === 1 ? pieces[0]! : Buffer.concat(pieces),
    next: expected,
    last,
    isEnded: stopIndex === END_INDEX,
    hasGap: stopIndex !== undefined && stopIndex !== END_INDEX,
  };
}

/** Returns the first event that does not carry the mark of its request. */
export function findForeignEvent(
  { bytes, tokenIndices, endOffsets }: TokenEventBatch,
  mark: Buffer,
): number | undefined {
  let start = 0;
  for (let event = 0; event < tokenIndices.length; event++) {
    const end = endOffsets[event]!;
    const place = bytes.indexOf(mark, start);
    const isOwn = place >= 0 && place < end;
    if (!isOwn && tokenIndices[event] !== END_INDEX) {
      return tokenIndices[event];
    }
    start = end;
  }
  return undefined;
}
