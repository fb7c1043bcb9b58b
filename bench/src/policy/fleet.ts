/**
 * Four nodes in front of sixteen groups on a manual clock.
 *
 * @module
 */
import { ManualClock, type Random, SeededRandom } from "@zinniahill/kernel";
import {
  Admission,
  Capacity,
  LoadBalancer,
  type Permit,
  PrefixIndex,
  RetryBudget,
  type RouteCandidate,
} from "@zinniahill/policy";
import { BenchEngine, type CacheEvent } from "./engine.ts";
import { type BenchGate, FifoGate } from "./fifo-gate.ts";
import type { BenchRequest, Recorder } from "./traffic.ts";
import type { FleetOptions } from "./variant.ts";

interface Node {
  readonly gate: BenchGate;
  readonly capacity: Capacity;
  readonly routing: LoadBalancer;
  readonly budget: RetryBudget;
  readonly dataCentre: string;
  candidates: RouteCandidate[];
}

/** Nodes and groups of today's size. */
export const NODES = 4;
export const GROUPS = 16;
const DATA_CENTRES = 3;
const CROSS_MS = 0.5;
const PROBE_INTERVAL_MS = 1000;
const CACHE_EVENT_DELAY_MS = 2000;
const CACHE_EVENT_LOSS = 0.1;
const PROGRESS_DEADLINE_MS = 2000;
const MAX_ATTEMPTS = 8;
/** Tokens over which the time between tokens is measured. */
const MEASURED_TOKENS = 8;
const DEFAULT_CACHE_BLOCKS = 4096;

/** Runs requests from the caller to the engine and back. */
export class Fleet {
  readonly clock = new ManualClock();
  readonly engines = new Map<string, BenchEngine>();
  readonly nodes: Node[];
  /** Attempts that reached an engine. */
  attempts = 0;
  /** Requests that were admitted, and so had a first attempt. */
  admitted = 0;
  /** Batch requests that gave their place to urgent work. */
  yields = 0;
  #options: FleetOptions;
  #random: Random;

  constructor(options: FleetOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
    for (let index = 0; index < (options.groups ?? GROUPS); index++) {
      const group = `g${index}`;
      this.engines.set(
        group,
        new BenchEngine({
          clock: this.clock,
          cacheBlocks: options.cacheBlocks ?? DEFAULT_CACHE_BLOCKS,
          onCacheEvent: (event) => this.#onCacheEvent(group, event),
        }),
      );
    }
    const count = options.nodes ?? NODES;
    this.nodes = Array.from({ length: count }, (_, index) => {
      const node = this.#createNode(index);
      this.#probe(node);
      return node;
    });
  }

  /** Requests that all nodes have in flight. */
  get inFlight(): number {
    return this.nodes.reduce((sum, { gate }) => sum + gate.inFlight, 0);
  }

  /** Carries one request; records what the caller sees. */
  async serve(
    request: BenchRequest,
    recorder: Recorder,
    nodeIndex: number,
  ): Promise<void> {
    const { clock } = this;
    const startedAt = clock.now();
    const node = this.nodes[nodeIndex]!;
    await clock.sleep(this.#options.clientMs);
    const signal = new AbortController().signal;
    const admitted = await node.gate.admit({
      account: request.account,
      rank: request.rank,
      tokens: request.maxTokens,
    }, signal);
    if (admitted.isErr) {
      recorder.onRefused(request, clock.now() - startedAt);
      return;
    }
    let permit: Permit = admitted.value;
    this.admitted++;
    node.budget.deposit(request.rank);
    let served = 0;
    let servedBefore = 0;
    let lastAt = startedAt;
    const excluded = new Set<string>();
    const onToken = () => {
      const seenAt = clock.now() + this.#options.clientMs;
      if (served === 0) {
        recorder.onFirstToken(request, seenAt - startedAt);
      } else {
        recorder.onGap(request, seenAt - lastAt);
      }
      permit.recordFirstToken();
      served++;
      lastAt = seenAt;
      recorder.onToken(request);
    };
    for (let attempt = 1; served < request.tokens; attempt++) {
      const remaining = request.tokens - served;
      const end = await this.#attempt(
        node,
        request,
        permit,
        remaining,
        excluded,
        onToken,
      );
      if (end === "yielded") {
        this.yields++;
        const again = await permit.resume(signal);
        permit.release(served - servedBefore);
        servedBefore = served;
        if (again.isErr) {
          recorder.onBroken(request);
          return;
        }
        permit = again.value;
      } else if (end === "failed" && !this.#mayRetry(node, request, attempt)) {
        permit.release(served - servedBefore);
        recorder.onBroken(request);
        return;
      }
    }
    permit.release(served - servedBefore);
    recorder.onServed(request, clock.now() - startedAt);
  }

  /** One attempt on one group, until it ends, yields or makes no progress. */
  #attempt(
    node: Node,
    request: BenchRequest,
    permit: Permit,
    tokens: number,
    excluded: Set<string>,
    onToken: () => void,
  ): Promise<"done" | "yielded" | "failed"> {
    const group = this.#choose(node, request, excluded);
    const engine = this.engines.get(group)!;
    const crossMs = this.#countCrossings(node, group);
    this.attempts++;
    node.routing.begin(group);
    return new Promise((resolve) => {
      let seen = 0;
      let hasEnded = false;
      let measuredAt = this.clock.now();
      const noteGap = (ms: number) => {
        if (this.#options.variant.ejection) {
          node.routing.recordTokenGap(group, ms);
        }
      };
      let cancelDeadline = () => {};
      const finish = (end: "done" | "yielded" | "failed") => {
        hasEnded = true;
        cancelDeadline();
        permit.yieldSignal.removeEventListener("abort", onYield);
        // Without a first token the time was spent in the queue of the engine,
        // which says nothing of its speed.
        if (end === "failed" && seen > 0) {
          noteGap(this.clock.now() - measuredAt);
        }
        node.routing.end(group);
        resolve(end);
      };
      const onYield = () => {
        if (this.#options.variant.yields) {
          engine.cancel(job);
          finish("yielded");
        }
      };
      const expectProgress = (withinMs: number) => {
        cancelDeadline();
        cancelDeadline = this.clock.schedule(withinMs, () => {
          excluded.add(group);
          job.onToken = () => {};
          job.onEnd = () => {};
          // An engine that has stalled does not see that the caller has gone.
          if (!engine.isStalled) {
            engine.cancel(job);
          }
          finish("failed");
        });
      };
      const job = {
        priority: permit.priority,
        prefix: request.prefix,
        tokensLeft: tokens,
        onToken: () => {
          if (seen % MEASURED_TOKENS === 0) {
            if (seen > 0) {
              noteGap((this.clock.now() - measuredAt) / MEASURED_TOKENS);
            }
            measuredAt = this.clock.now();
          }
          seen++;
          expectProgress(PROGRESS_DEADLINE_MS);
          onToken();
        },
        onEnd: () => finish("done"),
      };
      permit.yieldSignal.addEventListener("abort", onYield, { once: true });
      const target = this.#options.rules.ranks[request.rank]["first-token"];
      expectProgress(Math.max(PROGRESS_DEADLINE_MS, target));
      this.clock.schedule(crossMs, () => {
        if (!hasEnded) {
          engine.submit(job);
        }
      });
    });
  }

  #mayRetry(node: Node, request: BenchRequest, attempt: number): boolean {
    return attempt < MAX_ATTEMPTS &&
      (!this.#options.variant.budget || node.budget.tryWithdraw(request.rank));
  }

  #choose(
    node: Node,
    request: BenchRequest,
    excluded: ReadonlySet<string>,
  ): string {
    const { variant } = this.#options;
    const { candidates } = node;
    if (variant.routing === "random") {
      return candidates[this.#random.below(candidates.length)]!.group;
    }
    const route = {
      dataCentre: node.dataCentre,
      excluded,
      ...(variant.affinity ? { prefix: request.prefix } : {}),
    };
    const chosen = node.routing.choose(route, candidates) ??
      node.routing.choose({ ...route, excluded: new Set() }, candidates);
    return chosen!.group;
  }

  #createNode(index: number): Node {
    const capacity = new Capacity();
    const { rules, variant } = this.#options;
    const readLimit = () => capacity.limit;
    const gate = variant.admission === "fifo"
      ? new FifoGate(this.clock, readLimit)
      : new Admission({
        clock: this.clock,
        rules: () => rules,
        capacity: readLimit,
      });
    return {
      gate,
      capacity,
      routing: new LoadBalancer(
        this.clock,
        this.#random,
        new PrefixIndex(this.#options.createPrefixStore),
      ),
      budget: new RetryBudget((rank) => rules.ranks[rank], this.#random),
      dataCentre: `dc-${index % DATA_CENTRES}`,
      candidates: [],
    };
  }

  #probe(node: Node): void {
    const reports = [...this.engines].map(([group, { report }]) => ({
      group,
      ...report,
    }));
    node.capacity.observe(reports, this.nodes?.length ?? 1, node.gate.inFlight);
    node.candidates = reports.map(({ group, running, waiting, at }, index) => ({
      group,
      dataCentre: `dc-${index % DATA_CENTRES}`,
      reportedLoad: running + waiting,
      reportedAt: at,
    }));
    this.clock.schedule(PROBE_INTERVAL_MS, () => this.#probe(node));
  }

  #countCrossings(node: Node, group: string): number {
    const index = Number(group.slice(1));
    return node.dataCentre === `dc-${index % DATA_CENTRES}` ? 0 : CROSS_MS;
  }

  #onCacheEvent(group: string, event: CacheEvent): void {
    if (this.#random.fraction() < CACHE_EVENT_LOSS) {
      return;
    }
    this.clock.schedule(CACHE_EVENT_DELAY_MS, () => {
      for (const { routing } of this.nodes) {
        routing.prefixes.applyCacheEvent(group, event);
      }
    });
  }
}
