/**
 * Admission of requests at this node.
 *
 * @module
 */
import { type Clock, type Service, TaskGroup } from "@zinniahill/kernel";
import {
  AccountLimits,
  Admission,
  type AdmissionRequest,
  Capacity,
  type Permit,
  RetryBudget,
} from "@zinniahill/policy";
import {
  type AccountRule,
  type Rank,
  type Refusal,
  type Settings,
} from "@zinniahill/schema";
import { Result } from "true-myth";
import type { Evidence } from "../groups/evidence.ts";
import type { NodeKernel } from "../services.ts";
import type { Peers } from "../peers/peers.ts";
import type { ControlState } from "../state/control-state.ts";

const USAGE_INTERVAL_MS = 500;
/** Encoded size of one account in a usage message, rounded up. */
const USAGE_ACCOUNT_BYTES = 48;
/** Usage messages to all peers together; a node may spend 5 KB a second. */
const USAGE_BYTES_PER_SECOND = 2500;

/** Admits requests by the rules in force and this node's part of capacity. */
export class AdmissionControl implements Service {
  #clock: Clock;
  #settings: Settings;
  #state: ControlState;
  #evidence: Evidence;
  #peers: Peers;
  #tasks: TaskGroup;
  #capacity = new Capacity();
  #admission: Admission;
  #limits: AccountLimits;
  #budget: RetryBudget;
  #sequence: number;

  constructor(kernel: NodeKernel) {
    this.#clock = kernel.find("clock");
    this.#settings = kernel.find("settings");
    this.#state = kernel.find("state");
    this.#evidence = kernel.find("evidence");
    this.#peers = kernel.find("peers");
    this.#tasks = new TaskGroup(this.#clock, kernel.find("logger"));
    this.#admission = new Admission({
      clock: this.#clock,
      rules: () => this.#state.rules,
      capacity: () =>
        Math.min(this.#settings.limits.streams, this.#capacity.limit),
    });
    this.#limits = new AccountLimits(this.#clock, () => this.#countNodes());
    this.#budget = new RetryBudget(
      (rank) => this.#state.rules?.ranks[rank] ?? { retries: 0 },
      kernel.find("random"),
    );
    // Peers ignore a sequence that does not rise, also after a restart.
    this.#sequence = Math.floor(this.#clock.wallTime());
  }

  start(): void {
    const { "probe-interval": probeIntervalMs } = this.#settings.timing;
    this.#peers.onMessage("usage", (node, { sequence, accounts }) => {
      this.#limits.applyReport(node, sequence, accounts, this.#accounts);
    });
    this.#peers.reportLoad(() => this.load);
    this.#tasks.repeat("observe_capacity", probeIntervalMs, () => {
      this.#observeCapacity();
      return Promise.resolve();
    });
    this.#tasks.run("report_usage", (signal) => this.#reportUsage(signal));
  }

  stop(): Promise<void> {
    return this.#tasks.stop();
  }

  /** The number of requests that hold a place. */
  get inFlight(): number {
    return this.#admission.inFlight;
  }

  /** Requests that hold a place, as a share of what this node may have. */
  get load(): number {
    return this.#admission.inFlight / this.#admission.limit;
  }

  /** Waits for a place; refuses at once when the wait would be too long. */
  async admit(
    request: AdmissionRequest,
    signal: AbortSignal,
  ): Promise<Result<Permit, Refusal>> {
    const { account, rank, tokens } = request;
    const rule = this.#accounts.get(account);
    const begun = rule && this.#limits.begin(rule, tokens);
    if (begun?.isErr) {
      return Result.err(begun.error);
    }
    const admitted = await this.#admission.admit(request, signal);
    if (admitted.isErr) {
      this.#limits.end(account, tokens, 0);
      return admitted;
    }
    this.#budget.deposit(rank);
    return Result.ok(this.#limitPermit(request, admitted.value));
  }

  /** Takes one retry from the rank's budget; false when there is none. */
  mayRetry(rank: Rank): boolean {
    return this.#budget.tryWithdraw(rank);
  }

  /** Takes a retry for an urgent idempotent request's parallel attempt. */
  mayHedge(rank: Rank, isIdempotent: boolean): boolean {
    return this.#budget.tryWithdrawHedge(rank, isIdempotent);
  }

  /** The pause before a retry, with full jitter; the first has number 1. */
  drawRetryPauseMs(retry: number): number {
    return this.#budget.drawBackoffMs(retry);
  }

  dump(): unknown {
    return {
      inFlight: this.#admission.inFlight,
      limit: this.#admission.limit,
      slots: this.#capacity.totalSlots,
      accounts: this.#limits.accountCount,
    };
  }

  get #accounts(): ReadonlyMap<string, AccountRule> {
    return this.#state.rules?.accounts ?? new Map<string, AccountRule>();
  }

  /** The account's limits count a request until its last permit ends. */
  #limitPermit({ account, tokens }: AdmissionRequest, first: Permit): Permit {
    let total = 0;
    let hasEnded = false;
    const wrap = (permit: Permit): Permit => {
      let isResumed = false;
      return {
        priority: permit.priority,
        get yieldSignal() {
          return permit.yieldSignal;
        },
        resume: async (signal) => {
          const resumed = await permit.resume(signal);
          isResumed = resumed.isOk;
          return resumed.map(wrap);
        },
        recordFirstToken: () => permit.recordFirstToken(),
        release: (served) => {
          permit.release(served);
          if (hasEnded) {
            return;
          }
          total += served;
          hasEnded = !isResumed;
          if (hasEnded) {
            this.#limits.end(account, tokens, total);
          }
        },
      };
    };
    return wrap(first);
  }

  #countNodes(): number {
    return 1 + this.#peers.list()
      .filter(({ heartbeat }) => heartbeat?.stopping !== true).length;
  }

  #observeCapacity(): void {
    const models = this.#state.rules?.models.keys() ?? [];
    const reports = [...models]
      .flatMap((model) => this.#evidence.listServable(model))
      .map(({ group, hosts }) => {
        const status = this.#evidence.find(hosts[0]!).status;
        const { running = 0, waiting = 0 } = status ?? {};
        return { group, running, waiting };
      });
    this.#capacity.observe(reports, this.#countNodes(), this.inFlight);
  }

  /** An account that stops is reported once more, with no streams. */
  async #reportUsage(signal: AbortSignal): Promise<void> {
    let hadUsage = false;
    while (!signal.aborted) {
      const accounts = this.#limits.takeReport(this.#accounts);
      if (accounts.length > 0 || hadUsage) {
        this.#sequence++;
        this.#peers.broadcast({
          kind: "usage",
          sequence: this.#sequence,
          accounts,
        });
      }
      hadUsage = accounts.length > 0;
      const bytes = accounts.length * USAGE_ACCOUNT_BYTES *
        this.#peers.usageReceivers;
      const pauseMs = bytes * 1000 / USAGE_BYTES_PER_SECOND;
      await this.#clock.sleep(Math.max(USAGE_INTERVAL_MS, pauseMs), signal);
    }
  }
}
