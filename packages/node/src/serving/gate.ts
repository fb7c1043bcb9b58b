/**
 * Admission of requests at this node.
 *
 * @module
 */
import type { Service } from "@zinniahill/kernel";
import {
  Admission,
  type AdmissionRequest,
  type Permit,
} from "@zinniahill/policy";
import type { Refusal } from "@zinniahill/schema";
import type { Result } from "true-myth";
import type { NodeKernel } from "../services.ts";

/** Admits requests by the rules in force and the node's own capacity. */
export class Gate implements Service {
  #admission: Admission;

  constructor(kernel: NodeKernel) {
    const state = kernel.find("state");
    const { streams } = kernel.find("settings").limits;
    this.#admission = new Admission({
      clock: kernel.find("clock"),
      rules: () => state.rules,
      capacity: () => streams,
    });
  }

  /** The number of requests that hold a place. */
  get inFlight(): number {
    return this.#admission.inFlight;
  }

  /** Waits for a place; refuses at once when the wait would be too long. */
  admit(
    request: AdmissionRequest,
    signal: AbortSignal,
  ): Promise<Result<Permit, Refusal>> {
    return this.#admission.admit(request, signal);
  }

  dump(): unknown {
    return { inFlight: this.#admission.inFlight };
  }
}
