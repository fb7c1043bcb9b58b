/**
 * Stand-in of the platform's host list.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { Host } from "@zinniahill/schema";
import * as z from "zod";
import { readJson, StandInServer } from "./server.ts";

/** A list of hosts that a test changes when it likes, so it can lag. */
export class HostListStandIn {
  /** Whether every call is refused. */
  isDown = false;
  #hosts = new Map<string, Host>();
  #server = new StandInServer();

  constructor() {
    this.#server.on("GET", "/hosts", (request, response) => {
      if (this.isDown) {
        return { status: 503, body: { error: "unavailable" } };
      }
      const body = { hosts: [...this.#hosts.values()] };
      const tag = createTag(JSON.stringify(body));
      response.setHeader("etag", tag);
      if (request.headers["if-none-match"] !== tag) {
        return { status: 200, body };
      }
      response.writeHead(304);
      response.end();
      return undefined;
    });
    this.#server.on("POST", "/hosts", async (request) => {
      const hosts = z.array(Host).parse(await readJson(request));
      for (const host of hosts) {
        this.set(host);
      }
      return { status: 200, body: {} };
    });
    this.#server.on("POST", "/hosts/:host/remove", (request) => {
      this.remove(String(request.params.host));
      return { status: 200, body: {} };
    });
  }

  /** Adds or replaces a host. */
  set(host: Host): void {
    this.#hosts.set(host.host, host);
  }

  /** Removes a host. */
  remove(host: string): void {
    this.#hosts.delete(host);
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

function createTag(text: string): string {
  const digest = createHash("sha256").update(text).digest("base64url");
  return `"${digest}"`;
}
