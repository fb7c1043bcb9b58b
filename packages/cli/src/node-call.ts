/**
 * HTTP calls to a node.
 *
 * @module
 */
import { Result } from "true-myth";
import { request } from "undici";
import * as z from "zod";

/** An HTTP call to a node. */
export interface NodeCall<ResponseBody> {
  readonly address: string;
  /** Bearer token, or an empty string for none. */
  readonly token: string;
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly body?: unknown;
  readonly schema: z.ZodType<ResponseBody>;
}

/** Why a call returned no valid response. */
export type CallError =
  | { readonly kind: "unreachable"; readonly message: string }
  | {
    readonly kind: "refused";
    readonly status: number;
    readonly message: string;
    readonly body: unknown;
  };

/** Body of a refusal, as documented. */
const RefusalBody = z.object({
  error: z.object({
    code: z.string(),
    message: z.string(),
    verdict: z.string(),
  }),
});

const OK_STATUS = 200;
const TIMEOUT_MS = 30_000;

/** Calls a node and validates the response body against the schema. */
export async function callNode<ResponseBody>(
  call: NodeCall<ResponseBody>,
): Promise<Result<ResponseBody, CallError>> {
  const { address, token } = call;
  try {
    const response = await request(`http://${address}${call.path}`, {
      method: call.method,
      headers: {
        ...(token === "" ? {} : { authorization: `Bearer ${token}` }),
        "content-type": "application/json",
      },
      body: call.body === undefined ? null : JSON.stringify(call.body),
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    const body: unknown = await response.body.json();
    if (response.statusCode !== OK_STATUS) {
      return Result.err(createResponseError(response.statusCode, body));
    }
    const parsed = call.schema.safeParse(body);
    return parsed.success
      ? Result.ok(parsed.data)
      : Result.err(createResponseError(response.statusCode, body));
  } catch (error) {
    const message = error instanceof Error ? error.message : "request failed";
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
    : `unexpected response with status ${status}`;
  return { kind: "refused", status, message, body };
}

function describeRefusal({ error }: z.infer<typeof RefusalBody>): string {
  return `${error.code}: ${error.message} (verdict ${error.verdict})`;
}
