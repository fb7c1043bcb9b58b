/**
 * The text that the engine stand-in makes: the same for the same messages.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { GenerateRequest } from "@zinniahill/schema";

const WORDS = [
  "load",
  "route",
  "hour",
  "module",
  "note",
  "shift",
  "count",
  "ledger",
  "test",
  "order",
  "yard",
  "check",
  "stock",
  "sheet",
  "entry",
  "total",
];

/** Returns a number that depends on the messages alone. */
export function hashMessages(
  body: Pick<GenerateRequest, "messages">,
): number {
  const text = JSON.stringify(body.messages);
  return createHash("sha256").update(text).digest().readUInt32LE(0);
}

/** Returns the token of a request at an index. */
export function createToken(seed: number, index: number): string {
  const word = WORDS[(seed + index * 7) % WORDS.length]!;
  return index === 0 ? word : ` ${word}`;
}

/** Formats a token as one server-sent event. */
export function formatEvent(
  body: GenerateRequest,
  seed: number,
  index: number,
  isLast: boolean,
): string {
  const content = createToken(seed, index);
  const chunk = {
    id: `chatcmpl-${body.request}`,
    object: "chat.completion.chunk",
    created: 0,
    model: body.model,
    choices: [{
      index: 0,
      delta: index === 0 ? { role: "assistant", content } : { content },
      finish_reason: isLast ? "length" : null,
    }],
  };
  return `id: ${index}\ndata: ${JSON.stringify(chunk)}\n\n`;
}

/** The event that ends a stream. */
export const END_EVENT = "data: [DONE]\n\n";
