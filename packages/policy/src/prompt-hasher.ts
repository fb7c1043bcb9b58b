/**
 * Hashes of the growing prefixes of a prompt.
 *
 * @module
 */
import type { ChatMessage } from "@zinniahill/schema";
import createHashes from "xxhash-wasm";

/** Hashes each prefix of a list of messages, the shortest first. */
export type PromptHasher = (messages: readonly ChatMessage[]) => string[];

/** Loads the hash function. */
export async function createPromptHasher(): Promise<PromptHasher> {
  const { h64ToString } = await createHashes();
  return (messages) => {
    let hash = "";
    return messages.map((message) => {
      hash = h64ToString(hash + JSON.stringify(message));
      return hash;
    });
  };
}
