/**
 * Stand-in of the platform's log service over HTTP.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";
import * as z from "zod";
import { LogModel, type LogRetention } from "./log-model.ts";
import { type Answer, readJson, StandInServer } from "./server.ts";

const FaultsBody = z.object({
  isDown: z.boolean(),
  delayMs: z.number(),
  repliesToLose: z.number(),
}).partial();

const DOWN: Answer = { status: 503, body: { error: "unavailable" } };

/** Serves a log model over HTTP. */
export class LogStandIn {
  readonly model: LogModel;
  #server = new StandInServer();

  constructor(clock: Clock, retention?: LogRetention) {
    this.model = new LogModel(clock, retention);
    this.#server.on(
      "POST",
      "/streams/:stream/entries",
      async (request, response) => {
        const stream = String(request.params.stream);
        const records = z.array(z.unknown()).parse(await readJson(request));
        const result = await this.model.handleAppend(stream, records);
        if (result.state === "reply-lost") {
          response.destroy();
          return undefined;
        }
        return result.state === "down"
          ? DOWN
          : { status: 200, body: { offset: result.offset } };
      },
    );
    this.#server.on("GET", "/streams/:stream/entries", async (request) => {
      const { query } = request;
      const page = await this.model.handleRead(String(request.params.stream), {
        from: Number(query.from ?? 1),
        max: Number(query.max ?? 1),
        waitMs: Number(query.wait_ms ?? 0),
      });
      return page === undefined ? DOWN : { status: 200, body: page };
    });
    this.#server.on("POST", "/faults", async (request) => {
      const faults = FaultsBody.parse(await readJson(request));
      Object.assign(this.model.faults, faults);
      return { status: 200, body: this.model.faults };
    });
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
