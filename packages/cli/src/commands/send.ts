/**
 * `zinniahill send`: sends a chat request and prints the response stream.
 *
 * @module
 */
import { ChatChunk } from "@zinniahill/schema";
import { Command, Option } from "clipanion";
import { request } from "undici";
import * as z from "zod";
import { ExitCode } from "../exit-code.ts";
import { parseCount } from "./administration-command.ts";

/** Environment variable that holds a client account's API key. */
export const API_KEY_VARIABLE = "ZINNIAHILL_API_KEY";

const RefusalBody = z.object({
  error: z.object({
    code: z.string(),
    message: z.string(),
    verdict: z.string(),
  }),
});
const OK_STATUS = 200;
const DATA_PREFIX = "data: ";
const END_MARKER = "[DONE]";

/** Sends a chat request to a node. */
export class SendCommand extends Command {
  static override paths = [["send"]];
  static override usage = Command.Usage({
    description: "Send a chat request and print the response stream.",
    details: `The API key is read from ${API_KEY_VARIABLE}.`,
    examples: [
      [
        "Ask a question",
        '$0 send "How many hours?" --public 127.0.0.1:7001 --model chat',
      ],
    ],
  });

  prompt = Option.String();
  public = Option.String("--public", {
    required: true,
    description: "Public address of a node",
  });
  model = Option.String("--model", {
    required: true,
    description: "Model to use",
  });
  rank = Option.String("--rank", "normal", {
    description: "urgent, normal or batch",
  });
  maxTokens = Option.String("--max-tokens", "64", {
    description: "Maximum number of tokens in the response",
  });

  override async execute(): Promise<ExitCode> {
    const maxTokens = parseCount("--max-tokens", this.maxTokens);
    try {
      return await this.#streamResponse(maxTokens);
    } catch (error) {
      const message = error instanceof Error ? error.message : "request failed";
      this.context.stderr.write(`zinniahill: ${this.public}: ${message}\n`);
      return ExitCode.unreachable;
    }
  }

  async #streamResponse(maxTokens: number): Promise<ExitCode> {
    const response = await request(
      `http://${this.public}/v1/chat/completions`,
      {
        method: "POST",
        headers: {
          "authorization": `Bearer ${this.context.env[API_KEY_VARIABLE] ?? ""}`,
          "content-type": "application/json",
          "x-rank": this.rank,
        },
        body: JSON.stringify({
          model: this.model,
          stream: true,
          max_tokens: maxTokens,
          messages: [{ role: "user", content: this.prompt }],
        }),
      },
    );
    if (response.statusCode !== OK_STATUS) {
      return this.#reportRefusal(await response.body.json());
    }
    let remainder = "";
    for await (const bytes of response.body) {
      const events = (remainder + String(bytes)).split("\n\n");
      remainder = events.pop() ?? "";
      for (const event of events) {
        const exitCode = this.#printEvent(event);
        if (exitCode !== undefined) {
          return exitCode;
        }
      }
    }
    this.context.stderr.write(
      "\nzinniahill: the response stream ended early\n",
    );
    return ExitCode.refused;
  }

  /** Prints an event; returns an exit code at the end of the response. */
  #printEvent(event: string): ExitCode | undefined {
    const start = event.indexOf(DATA_PREFIX);
    if (start < 0) {
      return undefined;
    }
    const data = event.slice(start + DATA_PREFIX.length);
    if (data === END_MARKER) {
      this.context.stdout.write("\n");
      return ExitCode.success;
    }
    const value: unknown = JSON.parse(data);
    const chunk = ChatChunk.safeParse(value);
    if (!chunk.success) {
      return this.#reportRefusal(value);
    }
    const [choice] = chunk.data.choices;
    this.context.stdout.write(choice?.delta.content ?? "");
    return undefined;
  }

  #reportRefusal(body: unknown): ExitCode {
    const refusal = RefusalBody.safeParse(body);
    const text = refusal.success
      ? `${refusal.data.error.code}: ${refusal.data.error.message} ` +
        `(verdict ${refusal.data.error.verdict})`
      : "unexpected response from the node";
    this.context.stderr.write(`zinniahill: ${text}\n`);
    return ExitCode.refused;
  }
}
