/**
 * Client of plain services.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { type Clock, type Service, withDeadline } from "@zinniahill/kernel";
import { Result } from "true-myth";
import { Agent, type Dispatcher, request } from "undici";
import { createFault, type Fault } from "./fault.ts";

/** One call to a plain service. */
export interface PlainCall {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** A plain service's answer. */
export interface PlainReply {
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer;
}

/** The plain services beside the engines. */
export interface PlainServices extends Service {
  /** Makes one call, on a new connection. */
  call(
    address: string,
    call: PlainCall,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<Result<PlainReply, Fault>>;
}

const REFUSED_STATUS = 503;
const NOT_RUN_HEADER = "x-not-run";

/**
 * Plain services over HTTP. Each call has a connection of its own: on a reused
 * one, a close by the other side would leave unknown whether the call has run.
 */
export class PlainServiceClient implements PlainServices {
  #clock: Clock;
  #agent = new Agent({ bodyTimeout: 0, headersTimeout: 0, pipelining: 0 });

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  async stop(): Promise<void> {
    await this.#agent.destroy();
  }

  async call(
    address: string,
    call: PlainCall,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<Result<PlainReply, Fault>> {
    try {
      return await withDeadline(
        this.#clock,
        timeoutMs,
        signal,
        async (limited) => {
          const reply = await request(`http://${address}${call.path}`, {
            dispatcher: this.#agent,
            method: call.method as Dispatcher.HttpMethod,
            headers: call.headers,
            body: call.body.length > 0 ? call.body : null,
            signal: limited,
          });
          return await readReply(reply);
        },
      );
    } catch (failure) {
      return Result.err(createFault(failure));
    }
  }
}

async function readReply(
  reply: Dispatcher.ResponseData,
): Promise<Result<PlainReply, Fault>> {
  const body = Buffer.from(await reply.body.arrayBuffer());
  const isRefusal = reply.statusCode === REFUSED_STATUS &&
    reply.headers[NOT_RUN_HEADER] !== undefined;
  if (isRefusal) {
    return Result.err({
      verdict: "not-run",
      message: "the upstream refused the call",
      status: reply.statusCode,
    });
  }
  return Result.ok({
    status: reply.statusCode,
    contentType: String(reply.headers["content-type"] ?? ""),
    body,
  });
}
