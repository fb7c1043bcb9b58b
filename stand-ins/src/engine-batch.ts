/**
 * Continuous batching of the engine stand-in.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";
import type { GenerateRequest } from "@zinniahill/schema";

/** Speed and size of a simulated engine. */
export interface EngineSpeed {
  /** Requests that run at the same time. */
  readonly batchSize: number;
  /** Time of one step, which makes one token for each running request. */
  readonly stepMs: number;
}

/** A request in the batch or in its queue. */
export interface BatchedRequest {
  readonly body: GenerateRequest;
  readonly onToken: (index: number, isLast: boolean) => void;
  readonly onEnd: () => void;
  next: number;
}

/** Runs requests in priority order, one token each in a step. */
export class EngineBatch {
  /** Whether no step is made, as when a member of the group is missing. */
  isStalled: () => boolean = () => false;
  /** Multiplies the time of a step, as on a straggler. */
  slowness = 1;
  #clock: Clock;
  #speed: EngineSpeed;
  #running: BatchedRequest[] = [];
  #waiting: BatchedRequest[] = [];
  #cancelStep: (() => void) | undefined;

  constructor(clock: Clock, speed: EngineSpeed) {
    this.#clock = clock;
    this.#speed = speed;
  }

  /** Requests that run now. */
  get running(): number {
    return this.#running.length;
  }

  /** Requests that wait for a place. */
  get waiting(): number {
    return this.#waiting.length;
  }

  /** Adds a request. */
  add(request: BatchedRequest): void {
    const index = this.#waiting.findIndex((other) =>
      other.body.priority > request.body.priority
    );
    const place = index < 0 ? this.#waiting.length : index;
    this.#waiting.splice(place, 0, request);
    this.#scheduleStep();
  }

  /** Removes a request wherever it is. */
  cancel(requestId: string): boolean {
    const isOther = (item: BatchedRequest) => item.body.request !== requestId;
    const before = this.#running.length + this.#waiting.length;
    this.#running = this.#running.filter(isOther);
    this.#waiting = this.#waiting.filter(isOther);
    return this.#running.length + this.#waiting.length < before;
  }

  /** Ends every request without its remaining tokens. */
  clear(): void {
    for (const request of [...this.#running, ...this.#waiting]) {
      request.onEnd();
    }
    this.#running = [];
    this.#waiting = [];
    this.#cancelStep?.();
    this.#cancelStep = undefined;
  }

  #scheduleStep(): void {
    if (this.#cancelStep !== undefined) {
      return;
    }
    const delay = this.#speed.stepMs * this.slowness;
    this.#cancelStep = this.#clock.schedule(delay, () => this.#step());
  }

  #step(): void {
    this.#cancelStep = undefined;
    if (!this.isStalled()) {
      this.#fillBatch();
      this.#makeTokens();
    }
    if (this.#running.length + this.#waiting.length > 0) {
      this.#scheduleStep();
    }
  }

  #fillBatch(): void {
    while (
      this.#running.length < this.#speed.batchSize && this.#waiting.length > 0
    ) {
      this.#running.push(this.#waiting.shift()!);
    }
  }

  #makeTokens(): void {
    for (const request of this.#running) {
      const isLast = request.next === request.body.maxTokens - 1;
      request.onToken(request.next, isLast);
      request.next++;
    }
    this.#running = this.#running.filter((request) =>
      request.next < request.body.maxTokens
    );
  }
}
