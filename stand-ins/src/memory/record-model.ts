/**
 * A plain service in memory that counts every write by its key.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { Clock } from "@zinniahill/kernel";
import type {
  Fault,
  PlainServiceCall,
  PlainServiceReply,
} from "@zinniahill/clients";
import { Result } from "true-myth";

/** One write that the service has carried out. */
export interface RecordedWrite {
  readonly key: string;
  readonly path: string;
  readonly body: string;
  readonly at: number;
  /** The node that made the call; empty when it is not known. */
  readonly from: string;
}

const CREATED_STATUS = 201;
const OK_STATUS = 200;

/** The record service itself, apart from how it is reached. */
export class RecordModel {
  readonly writes: RecordedWrite[] = [];
  /** Whether calls are refused explicitly, before they run. */
  refuses = false;
  /** Time between the write and its reply. */
  delayMs = 0;
  #clock: Clock;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** How often a key has run. */
  countRuns(key: string): number {
    return this.writes.filter((write) => write.key === key).length;
  }

  /** Carries out a call. */
  async handle(
    call: PlainServiceCall,
    from = "",
  ): Promise<Result<PlainServiceReply, Fault>> {
    if (this.refuses) {
      return Result.err({
        verdict: "not-run",
        message: "the upstream refused the call",
        status: 503,
      });
    }
    if (call.method === "GET") {
      return Result.ok(createReply(OK_STATUS, { path: call.path }));
    }
    this.writes.push({
      key: call.headers["idempotency-key"] ?? "",
      path: call.path,
      body: Buffer.from(call.body).toString(),
      at: this.#clock.now(),
      from,
    });
    const number = this.writes.length;
    if (this.delayMs > 0) {
      await this.#clock.sleep(this.delayMs);
    }
    return Result.ok(createReply(CREATED_STATUS, { number }));
  }
}

function createReply(status: number, body: unknown): PlainServiceReply {
  return {
    status,
    contentType: "application/json",
    body: Buffer.from(JSON.stringify(body)),
  };
}
