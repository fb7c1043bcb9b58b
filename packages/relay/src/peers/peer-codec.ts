/**
 * The encoding of messages between nodes.
 *
 * @module
 */
import { pack, unpack } from "msgpackr";
import { Result } from "true-myth";
import { PeerMessage } from "../model/peer-message.ts";

/** Encodes a message. */
export function encodeMessage(message: PeerMessage): Uint8Array {
  return pack(message);
}

/** Decodes a message; the error says what is wrong with it. */
export function decodeMessage(
  bytes: Uint8Array,
): Result<PeerMessage, string> {
  try {
    const parsed = PeerMessage.safeParse(unpack(bytes));
    return parsed.success ? Result.ok(parsed.data) : Result.err(
      parsed.error.issues[0]?.message ?? "message does not match the schema",
    );
  } catch (failure) {
    return Result.err(String(failure));
  }
}
