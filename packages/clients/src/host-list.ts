/**
 * Client of the platform's host list.
 *
 * @module
 */
import type { Clock, Service } from "@zinniahill/kernel";
import { type Host, HostListReply } from "@zinniahill/schema";
import type { Result } from "true-myth";
import type { Agent } from "undici";
import type { z } from "zod";
import type { Fault } from "./fault.ts";
import { callJson, type ReplyCache } from "./http.ts";
import { TrafficCounter } from "./traffic-counter.ts";

/** The platform's list of live and leaving hosts. */
export interface HostList extends Service {
  /** Reads the list, which may be out of date. */
  list(signal?: AbortSignal): Promise<Result<readonly Host[], Fault>>;
}

const TIMEOUT_MS = 2000;

/** HTTP client of the host list. */
export class HostListClient implements HostList {
  #clock: Clock;
  #address: string;
  #agent: Agent;
  /** The list is long and changes rarely, so only a changed list is sent. */
  #cache: ReplyCache<z.infer<typeof HostListReply>> = {};

  constructor(
    clock: Clock,
    address: string,
    traffic: TrafficCounter = new TrafficCounter(),
  ) {
    this.#clock = clock;
    this.#address = address;
    this.#agent = traffic.createAgent("host-list");
  }

  async stop(): Promise<void> {
    await this.#agent.destroy();
  }

  async list(signal?: AbortSignal): Promise<Result<readonly Host[], Fault>> {
    const reply = await callJson(this.#clock, this.#agent, {
      address: this.#address,
      method: "GET",
      path: "/hosts",
      timeoutMs: TIMEOUT_MS,
      schema: HostListReply,
      signal,
      cache: this.#cache,
    });
    return reply.map(({ hosts }) => hosts);
  }
}
