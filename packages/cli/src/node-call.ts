/**
 * Calls from the command to a node over HTTP.
 *
 * @module
 */
import { Result } from "true-myth";
import { request } from "undici";
import * as z from "zod";

/** A call to a node. */
export interface NodeCall<Reply> {
  readonly address: string;
  /** Bearer token, or an empty text for none. */
  readonly token: string;
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly body?: unknown;
  readonly schema: z.ZodType<Reply>;
}

/** Why a call gave no usable reply. */
export type CallError =
  | { readonly kind: "unreachable"; readonly message: string }
  | {
    readonly kind: "refused";
    readonly status: number;
    readonly message: string;
    readonly body: unknown;
  };

/** The documented form of a refusal. */
const RefusalBody = z.object({
  error: z.object({
    code: z.string(),
    message: z.string(),
    verdict: z.string(),
  }),
});

const OK_STATUS = 200;
const TIMEOUT_MS = 30_000;

/** Makes one call and checks the reply against its schema. */
export async function callNode<Reply>(
  call: NodeCall<Reply>,
): Promise<Result<Reply, CallError>> {
  const { address, token } = call;
  try {
    const reply = await request(`http://${address}${call.path}`, {
      method: call.method,
      headers: {
        ...(token === "" ? {} : { authorization: `Bearer ${token}` }),
        "content-type": "application/json",
      },
      body: call.body === undefined ? null : JSON.stringify(call.body),
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    const body: unknown = await reply.body.json();
    if (reply.statusCode !== OK_STATUS) {
      return Result.err(createResponseError(reply.statusCode, body));
    }
    const parsed = call.schema.safeParse(body);
    return parsed.success
      ? Result.ok(parsed.data)
      : Result.err(createResponseError(reply.statusCode, body));
  } catch (failure) {
    const message = failure instanceof Error ? failure.message : "failed";
    return Result.err({
      kind: "unreachable",
      message: `${address}: ${message || "connection refused"}`,
    });
  }
}

function createResponseError(status: number, body: unknown): CallError {
  const refusal = RefusalBody.safeParse(body);
  const message = refusal.success
    ? describeRefusal(refusal.data)
    : `unexpected reply with status ${status}`;
  return { kind: "refused", status, message, body };
}

function describeRefusal({ error }: z.infer<typeof RefusalBody>): string {
  return `${error.code}: ${error.message} (verdict ${error.verdict})`;
}
