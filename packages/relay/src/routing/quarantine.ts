/**
 * Holds back requests that crash upstreams.
 *
 * Each node examines the processes that end before they answer its requests,
 * and shares with all others which parts of requests were there, and which were
 * answered since.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import { type Clock, type Logger, type Service } from "@zinniahill/kernel";
import { Refusal } from "@zinniahill/schema";
import type { RequestMetadata } from "../adapter.ts";
import type { ServiceProfile } from "../model/configuration.ts";
import { createProcessKey, type Instance } from "../model/instance.ts";
import type { MessageOf } from "../model/peer-message.ts";
import type { Mesh } from "../peers/mesh.ts";
import type { RelayKernel } from "../services.ts";
import { CrashEvidence, type SuspectRequest } from "./crash-evidence.ts";
import type { ProcessExaminer } from "./process-examiner.ts";

/** The properties of a request by which it is held back. */
export interface Content {
  readonly service: Pick<ServiceProfile, "name">;
  readonly metadata: Pick<
    RequestMetadata,
    "sharedParts" | "ownPart" | "target"
  >;
  readonly incoming: { readonly method?: string | undefined };
  readonly body: Buffer;
}

/** An upstream process that may have ended. */
interface Examination {
  readonly at: number;
  readonly suspects: SuspectRequest[];
  /** Resolves once the process is known to run, to have ended, or neither. */
  readonly isOver: Promise<void>;
}

/** Suspects that are shared for one crash; a batch holds fewer requests. */
const MAX_SHARED_SUSPECTS = 64;

/** Quarantines requests by the parts of their prompts. */
export class Quarantine implements Service {
  #clock: Clock;
  #logger: Logger;
  #mesh: Mesh;
  #evidence: CrashEvidence;
  #examiner: ProcessExaminer;
  #examinations = new Map<string, Examination>();
  #loggedKeys = new Set<string>();

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#examiner = kernel.find("processExaminer");
    this.#mesh = kernel.find("mesh");
    this.#evidence = new CrashEvidence(this.#clock);
    this.#mesh.onMessage("crash", (message) => this.#applyCrash(message));
    this.#mesh.onMessage("cleared", ({ parts, ageMs }) => {
      this.#evidence.recordAnswer(parts, this.#clock.now() - ageMs);
      this.#logChanges();
    });
    this.#mesh.setHarmfulPartsListener((reported) => {
      const now = this.#clock.now();
      reported.forEach(({ parts, ageMs }) =>
        this.#evidence.adopt(parts, now - ageMs)
      );
      this.#logChanges();
    });
  }

  start(): void {
    this.#mesh.setHarmfulPartsSource(() => {
      const now = this.#clock.now();
      return this.#evidence.list().map(({ parts, lastCrashAt }) => ({
        parts: [...parts],
        ageMs: Math.round(now - lastCrashAt),
      }));
    });
  }

  /** Number of sets of parts that are held back. */
  get size(): number {
    return this.#evidence.list().length;
  }

  /** Returns the refusal of a request that would crash an upstream. */
  check(content: Content): Refusal | undefined {
    if (this.#evidence.isEmpty) {
      return undefined;
    }
    const harmful = this.#evidence.findHarmful(listParts(content));
    return harmful === undefined ? undefined : new Refusal(
      "quarantined",
      "not-run",
      `upstreams crash on requests with ${describeParts(harmful.parts)}`,
      harmful.until - this.#clock.now(),
    );
  }

  /** Whether a repeat of the request may crash another upstream. */
  isSuspect(content: Content): boolean {
    return !this.#evidence.isEmpty &&
      this.#evidence.isSuspect(listParts(content));
  }

  /** Records that the answer to a request began at `at` and went on. */
  recordAnswer(content: Content, at: number): void {
    if (this.#evidence.isEmpty) {
      return;
    }
    const parts = this.#evidence.recordAnswer(listParts(content), at);
    if (parts.length > 0) {
      const ageMs = Math.round(this.#clock.now() - at);
      this.#mesh.broadcast({ kind: "cleared", parts, ageMs });
      this.#logChanges();
    }
  }

  /**
   * Examines an upstream that closed the connection of a request, sent at
   * `sentAt`, before it answered it. Resolves once it is known whether its
   * process has ended.
   */
  async recordBroken(
    content: Content,
    instance: Instance,
    sentAt: number,
  ): Promise<void> {
    const key = createProcessKey(instance);
    let examination = this.#examinations.get(key);
    if (examination === undefined) {
      const suspects: SuspectRequest[] = [];
      const at = this.#clock.now();
      const isOver = this.#examine(instance, key, at, suspects);
      examination = { at, suspects, isOver };
      this.#examinations.set(key, examination);
    }
    const parts = listParts(content);
    examination.suspects.push({ id: parts.at(-1)!, parts, sentAt });
    await examination.isOver;
  }

  dump(): unknown {
    return { harmful: this.#evidence.list() };
  }

  async #examine(
    instance: Instance,
    key: string,
    at: number,
    suspects: SuspectRequest[],
  ): Promise<void> {
    try {
      if (await this.#examiner.examine(instance)) {
        this.#evidence.recordCrash(key, at, suspects);
        this.#mesh.broadcast({
          kind: "crash",
          process: key,
          ageMs: Math.round(this.#clock.now() - at),
          suspects: suspects.slice(0, MAX_SHARED_SUSPECTS)
            .map(({ id, parts, sentAt }) => ({
              id,
              parts: [...parts],
              sentMsBefore: at - sentAt,
            })),
        });
        this.#logChanges();
      }
    } finally {
      this.#examinations.delete(key);
    }
  }

  #applyCrash({ process, suspects, ageMs }: MessageOf<"crash">): void {
    const at = this.#clock.now() - ageMs;
    this.#evidence.recordCrash(
      process,
      at,
      suspects.map(({ sentMsBefore, ...suspect }) => ({
        ...suspect,
        sentAt: at - sentMsBefore,
      })),
    );
    this.#logChanges();
  }

  #logChanges(): void {
    const harmful = this.#evidence.list();
    const keys = new Set(harmful.map(({ parts }) => parts.join(",")));
    for (const { parts, lastCrashAt } of harmful) {
      if (!this.#loggedKeys.has(parts.join(","))) {
        this.#logger.warn("prompt_parts_quarantined", {
          parts: parts.join(","),
          crash_age_ms: Math.round(this.#clock.now() - lastCrashAt),
        });
      }
    }
    for (const key of this.#loggedKeys) {
      if (!keys.has(key)) {
        this.#logger.warn("prompt_parts_released", { parts: key });
      }
    }
    this.#loggedKeys = keys;
  }
}

/**
 * The parts of a request, as the upstreams of its service see them: those of
 * another one may well answer what these crash on. Its own part comes last; a
 * request without a prompt is one part.
 */
function listParts({ service, metadata, ...content }: Content): string[] {
  const own = metadata.ownPart ?? hashContent(metadata.target, content);
  return [...metadata.sharedParts, own].map((part) =>
    `${service.name}/${part}`
  );
}

/** Identifies a request by what an upstream gets of it. */
function hashContent(
  target: string,
  { incoming, body }: Pick<Content, "incoming" | "body">,
): string {
  return createHash("sha1")
    .update(`${incoming.method} ${target}\n`)
    .update(body)
    .digest("hex");
}

function describeParts(parts: readonly string[]): string {
  return parts.length === 1
    ? `the part ${parts[0]}`
    : `the parts ${parts.join(", ")} together`;
}
