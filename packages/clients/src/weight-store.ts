/**
 * Client of the platform's weight store.
 *
 * @module
 */
import type { Clock, Service } from "@zinniahill/kernel";
import { GrantReply } from "@zinniahill/schema";
import type { Result } from "true-myth";
import type { Agent } from "undici";
import type { Fault } from "./fault.ts";
import { callJson } from "./http.ts";
import { TrafficCounter } from "./traffic-counter.ts";

/** A request for permission to load a model on a host. */
export interface GrantRequest {
  readonly model: string;
  readonly version: string;
  readonly host: string;
}

/** The platform's rate-limited store of model weights. */
export interface WeightStore extends Service {
  /** Asks whether a host may start loading. */
  requestGrant(
    request: GrantRequest,
    signal?: AbortSignal,
  ): Promise<Result<GrantReply, Fault>>;
}

const TIMEOUT_MS = 2000;

/** HTTP client of the weight store. */
export class WeightStoreClient implements WeightStore {
  #clock: Clock;
  #address: string;
  #agent: Agent;

  constructor(
    clock: Clock,
    address: string,
    traffic: TrafficCounter = new TrafficCounter(),
  ) {
    this.#clock = clock;
    this.#address = address;
    this.#agent = traffic.createAgent("weight-store");
  }

  async stop(): Promise<void> {
    await this.#agent.destroy();
  }

  requestGrant(
    request: GrantRequest,
    signal?: AbortSignal,
  ): Promise<Result<GrantReply, Fault>> {
    return callJson(this.#clock, this.#agent, {
      address: this.#address,
      method: "POST",
      path: "/grants",
      body: request,
      timeoutMs: TIMEOUT_MS,
      schema: GrantReply,
      signal,
    });
  }
}
