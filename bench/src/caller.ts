/**
 * A caller of the public interface.
 *
 * @module
 */
import { request } from "undici";

/** What a caller got. */
export interface CallerAnswer {
  readonly status: number;
  /** Token texts in the order in which they came. */
  readonly tokens: readonly string[];
  /** Whether the end of the stream came. */
  readonly isComplete: boolean;
  readonly firstTokenMs: number;
  /** A refusal's body, if there was one. */
  readonly error?: unknown;
}

/** A chat request of a caller. */
export interface CallerRequest {
  readonly address: string;
  readonly apiKey: string;
  readonly rank: string;
  readonly prompt: string;
  readonly maxTokens: number;
}

/** Streams one answer. */
export async function streamChat(call: CallerRequest): Promise<CallerAnswer> {
  const startedAt = performance.now();
  const reply = await request(`http://${call.address}/v1/chat/completions`, {
    method: "POST",
    headers: {
      "authorization": `Bearer ${call.apiKey}`,
      "content-type": "application/json",
      "x-rank": call.rank,
    },
    body: JSON.stringify({
      model: "chat",
      stream: true,
      max_tokens: call.maxTokens,
      messages: [{ role: "user", content: call.prompt }],
    }),
  });
  if (reply.statusCode !== 200) {
    return {
      status: reply.statusCode,
      tokens: [],
      isComplete: false,
      firstTokenMs: 0,
      error: await reply.body.json(),
    };
  }
  const tokens: string[] = [];
  let firstTokenMs = 0;
  let isComplete = false;
  let error: unknown;
  let rest = "";
  for await (const chunk of reply.body) {
    firstTokenMs ||= performance.now() - startedAt;
    const events = (rest + String(chunk)).split("\n\n");
    rest = events.pop()!;
    for (const event of events) {
      const data = event.slice(event.indexOf("data: ") + "data: ".length);
      if (data === "[DONE]") {
        isComplete = true;
        continue;
      }
      const value = JSON.parse(data);
      if (value.error) {
        error = value;
      } else {
        tokens.push(value.choices[0].delta.content);
      }
    }
  }
  return { status: 200, tokens, isComplete, firstTokenMs, error };
}

/** A call to the record service. */
export interface RecordCall {
  readonly apiKey: string;
  readonly key: string;
  readonly body: unknown;
}

/** Makes one call to the record service. */
export async function recordCall(
  address: string,
  call: RecordCall,
): Promise<{ status: number; body: unknown }> {
  const reply = await request(`http://${address}/v1/services/records/entries`, {
    method: "POST",
    headers: {
      "authorization": `Bearer ${call.apiKey}`,
      "content-type": "application/json",
      "idempotency-key": call.key,
    },
    body: JSON.stringify(call.body),
  });
  return { status: reply.statusCode, body: await reply.body.json() };
}
