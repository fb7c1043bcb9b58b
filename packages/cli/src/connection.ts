/**
 * Calls from the command to a node's administration interface.
 *
 * @module
 */
import process from "node:process";
import { Result } from "true-myth";
import { request } from "undici";

/** Where the administration interface is, and its token. */
export interface Connection {
  readonly address: string;
  readonly token: string;
}

/** A JSON reply. */
export interface Reply {
  readonly status: number;
  readonly body: unknown;
}

const TOKEN_VARIABLE = "ZINNIAHILL_TOKEN";

/** Reads the administration token from the environment. */
export function readToken(): string {
  return process.env[TOKEN_VARIABLE] ?? "";
}

/** Makes one administration call. */
export async function callAdministration(
  connection: Connection,
  method: "GET" | "POST",
  path: string,
  body?: unknown,
): Promise<Result<Reply, string>> {
  try {
    const reply = await request(`http://${connection.address}${path}`, {
      method,
      headers: {
        "authorization": `Bearer ${connection.token}`,
        "content-type": "application/json",
      },
      body: body === undefined ? null : JSON.stringify(body),
    });
    return Result.ok({
      status: reply.statusCode,
      body: await reply.body.json(),
    });
  } catch (failure) {
    const message = failure instanceof Error ? failure.message : "failed";
    return Result.err(`${connection.address}: ${message}`);
  }
}
