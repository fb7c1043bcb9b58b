/**
 * The fields of the chat completions format that the system uses.
 *
 * @module
 */
import * as z from "zod";
import { ChatMessage } from "./upstream.ts";

/** Maximum number of tokens that one request may ask for. */
export const MAX_TOKENS_LIMIT = 32_768;
/** Token limit of a request that states none. */
export const DEFAULT_MAX_TOKENS = 256;

const TokenLimit = z.number().int().min(1).max(MAX_TOKENS_LIMIT);

/** Body of `POST /v1/chat/completions`. */
export const ChatRequest = z.looseObject({
  model: z.string().min(1),
  messages: z.array(ChatMessage).min(1),
  stream: z.boolean().nullish(),
  stream_options: z.looseObject({ include_usage: z.boolean().nullish() })
    .nullish(),
  max_tokens: TokenLimit.nullish(),
  max_completion_tokens: TokenLimit.nullish(),
  n: z.literal(1).nullish(),
});
/** Body of `POST /v1/chat/completions`. */
export type ChatRequest = z.infer<typeof ChatRequest>;

/** One chunk of a streamed answer. */
export const ChatChunk = z.object({
  id: z.string(),
  object: z.literal("chat.completion.chunk"),
  created: z.number().int(),
  model: z.string(),
  choices: z.array(z.object({
    index: z.number().int(),
    delta: z.object({
      role: z.string().optional(),
      content: z.string().optional(),
    }),
    finish_reason: z.string().nullable(),
  })),
});
/** One chunk of a streamed answer. */
export type ChatChunk = z.infer<typeof ChatChunk>;

/** Reply to a caller that looks up which address to use. */
export const LookupReply = z.object({
  address: z.string(),
  dataCentre: z.string(),
  validMs: z.number(),
});
/** Reply to a caller that looks up which address to use. */
export type LookupReply = z.infer<typeof LookupReply>;
