import OpenAI from "openai";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { API_KEY, type RunningApi, startApi } from "./public-api-fixture.ts";

const TOKENS = 20;

async function streamAnswer({ url }: RunningApi): Promise<string[]> {
  const client = new OpenAI({
    apiKey: API_KEY,
    baseURL: `${url}/v1`,
    maxRetries: 0,
  });
  const stream = await client.chat.completions.create({
    model: "chat",
    max_tokens: TOKENS,
    messages: [{ role: "user", content: "hello" }],
    stream: true,
  });
  const tokens: string[] = [];
  for await (const chunk of stream) {
    tokens.push(chunk.choices[0]?.delta.content ?? "");
  }
  return tokens;
}

describe("two entry hosts", () => {
  let first: RunningApi;
  let second: RunningApi;

  beforeAll(async () => {
    first = await startApi("n1");
    second = await startApi("n2", first.platform);
  });

  afterAll(async () => {
    await second.stop();
    await first.stop();
  });

  describe("with one client library", () => {
    it("stream the same answer, so a caller may use either", async () => {
      const [one, other] = await Promise.all([
        streamAnswer(first),
        streamAnswer(second),
      ]);
      expect(one).toHaveLength(TOKENS);
      expect(other).toEqual(one);
    });
  });

  describe("with one idempotency key", () => {
    it("run the call once, and give its outcome at either", async () => {
      const call = ({ url }: RunningApi) =>
        fetch(`${url}/v1/services/records/entries`, {
          method: "POST",
          headers: {
            "authorization": `Bearer ${API_KEY}`,
            "idempotency-key": "two-hosts-1",
          },
          body: "{}",
        }).then((reply) => reply.text());
      const replies = await Promise.all([call(first), call(second)]);
      expect(replies[0]).toBe(replies[1]);
      expect(first.records.countRuns("two-hosts-1")).toBe(1);
    });
  });
});
