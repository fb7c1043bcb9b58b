/**
 * Stand-in of a plain service whose writes must not be repeated.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";
import { readBody, StandInServer } from "./server.ts";

/** One write that the service has carried out. */
export interface RecordedCall {
  readonly key: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
}

/** Faults that a test can switch on. */
export interface RecordFaults {
  /** Calls are refused explicitly, before they run. */
  refuses: boolean;
  /** This many replies are lost after the call has run. */
  repliesToLose: number;
  /** Every reply takes this much longer, after the call has run. */
  delayMs: number;
  /** Every answer to a read has this many bytes more. */
  fillerBytes: number;
}

/** Counts every write by its key. */
export class RecordServiceStandIn {
  readonly faults: RecordFaults = {
    refuses: false,
    repliesToLose: 0,
    delayMs: 0,
    fillerBytes: 0,
  };
  readonly calls: RecordedCall[] = [];
  #server = new StandInServer();

  constructor(clock: Clock) {
    this.#server.on("GET", "/calls", () => ({
      status: 200,
      body: { calls: this.calls },
    }));
    this.#server.on("POST", "/faults", async (request) => {
      Object.assign(
        this.faults,
        JSON.parse((await readBody(request)).toString()),
      );
      return { status: 200, body: this.faults };
    });
    this.#server.onAny(async (request, response) => {
      const body = (await readBody(request)).toString();
      if (this.faults.refuses) {
        response.setHeader("x-not-run", "1");
        return { status: 503, body: { error: "refused" } };
      }
      if (request.method === "GET") {
        const filler = "x".repeat(this.faults.fillerBytes);
        return {
          status: 200,
          body: { path: request.path, ...(filler && { filler }) },
        };
      }
      this.calls.push({
        key: String(request.headers["idempotency-key"] ?? ""),
        method: request.method ?? "",
        path: request.path,
        body,
      });
      const number = this.calls.length;
      if (this.faults.delayMs > 0) {
        await clock.sleep(this.faults.delayMs);
      }
      if (this.faults.repliesToLose > 0) {
        this.faults.repliesToLose--;
        response.destroy();
        return undefined;
      }
      return { status: 201, body: { number } };
    });
  }

  /** How often a key has run. */
  countRuns(key: string): number {
    return this.calls.filter((call) => call.key === key).length;
  }

  /** Listens on a loopback address. */
  listen(port?: number): Promise<string> {
    return this.#server.listen(port);
  }

  /** Stops listening. */
  close(): Promise<void> {
    return this.#server.close();
  }
}
