/**
 * Applies what upstreams say of themselves in their responses.
 *
 * @module
 */
import type { ResponseMetadata } from "../adapter.ts";
import type { Instances } from "../hosts/instances.ts";
import type { Instance } from "../model/instance.ts";
import type { ColdUpstreams } from "../routing/cold-upstreams.ts";
import type { Dispatcher } from "../routing/dispatcher.ts";
import type { UpstreamLimits } from "../routing/upstream-limits.ts";
import type { RelayKernel } from "../services.ts";
import { MISDIRECTED_STATUS } from "./response-check.ts";

/** The response that holds a statement. */
interface StatementSource {
  /** Id of the request that it answers. */
  readonly request: string;
  /** Time at which that request was sent. */
  readonly sentAt: number;
  readonly status: number;
  /** Whether the response is known to belong to that request. */
  readonly isOwn: boolean;
}

/** Refusals; these and faults do not show that an upstream serves requests. */
const REFUSED_STATUSES: ReadonlySet<number> = new Set([408, 421, 429]);
const MIN_FAULT_STATUS = 500;

/** Passes each statement to the service that keeps to it. */
export class UpstreamStatements {
  #instances: Instances;
  #dispatcher: Dispatcher;
  #limits: UpstreamLimits;
  #coldUpstreams: ColdUpstreams;

  constructor(kernel: RelayKernel) {
    this.#instances = kernel.find("instances");
    this.#dispatcher = kernel.find("dispatcher");
    this.#limits = kernel.find("upstreamLimits");
    this.#coldUpstreams = kernel.find("coldUpstreams");
  }

  apply(
    instance: Instance,
    { request, sentAt, status, isOwn }: StatementSource,
    { isLeaving, backOffMs, maxRequestsPerS, coldLeftMs }: ResponseMetadata,
  ): void {
    if (isLeaving) {
      this.#instances.markLeaving(instance);
    }
    if (backOffMs !== undefined) {
      this.#dispatcher.backOff(instance, backOffMs, request);
    }
    // Another process may have answered from the same address, and a late
    // response to an earlier request does not show that a limit has ended.
    const isCurrent = isOwn || maxRequestsPerS !== undefined;
    if (status !== MISDIRECTED_STATUS && isCurrent) {
      this.#limits.record(instance, {
        request,
        sentAt,
        perSecond: maxRequestsPerS,
      });
    }
    if (isOwn && status !== MISDIRECTED_STATUS) {
      this.#coldUpstreams.record(instance, {
        sentAt,
        isServed: status < MIN_FAULT_STATUS && !REFUSED_STATUSES.has(status),
        coldLeftMs,
      });
    }
  }
}
