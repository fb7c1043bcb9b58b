/**
 * A stand-in of one runner: orders, groups, streams, and plain answers.
 *
 * @module
 */
import { randomBytes } from "node:crypto";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { DelayedLink, type LinkQuality } from "../delayed-link.ts";
import type { FleetStore } from "./store.ts";

/** What a runner is created with. */
export interface RunnerOptions {
  readonly store: FleetStore;
  readonly service: string;
  readonly zone: string;
  /** Absent for a plain service. */
  readonly domain?: string;
  /** Time to load weights. */
  readonly loadMs?: number;
  /** The link by which nodes reach the runner, if it is not direct. */
  readonly link?: LinkQuality;
  /** Called when the runner has left a group in whatever way. */
  readonly onLeft?: (group: string) => void;
}

/** The runner's place in a group. */
interface Membership {
  Name: string;
  epoch: number;
  rank: number;
  State: "joining" | "ready" | "open" | "closing" | "broken";
}

/** One request that a runner began to work on. */
export interface RunRecord {
  readonly attempt: string;
  readonly account: string | undefined;
  readonly target: string;
  readonly deadlineMs: number;
  readonly hasKey: boolean;
}

/** One end of a process on a part of a prompt. */
export interface CrashRecord {
  readonly part: string;
  readonly at: number;
}

/** Bytes that a faulty runner sends in place of an answer. */
export interface RawAnswer {
  readonly bytes: string;
  /**
   * End of the connection after them, if it ends: by the runner, by a reset, or
   * by the operating system, as the process is killed.
   */
  readonly close: "end" | "reset" | "kill" | undefined;
}

/** Creates a faulty answer; undefined for a sound one. */
type RawAnswerFactory = (
  attempt: string,
  lastEventId: string | undefined,
) => RawAnswer | undefined;

/** The body of an order. */
interface OrderBody {
  readonly Op: string;
  readonly group?: string;
  readonly epoch?: number;
  readonly Model?: string;
  readonly Members?: readonly string[];
  readonly Fence?: number;
  readonly Precondition?: number;
}

type OrderHandler = (order: OrderBody) => number;

const HOST = "127.0.0.1";
const WARM_JOIN_MS = 20;
const OPEN_MS = 10;
const EVENT_MS = 5;
const EVENTS = 6;
const TRICKLE_MS = 40;
/** Time until a process that crashed is back. */
const CRASH_MS = 400;
/** Time from a late entry until the next one. */
const HEARTBEAT_MS = 200;
const REFUSED_HEADERS = { "x-not-executed": "1" };

/** Serves one runner's interface over HTTP and registers it in the store. */
export class FleetRunner {
  readonly id = `i-${randomBytes(4).toString("hex")}`;
  /** Requests that began to run, in order. */
  readonly runs: RunRecord[] = [];
  /** Requests that arrived, refused ones included. */
  readonly arrivals: string[] = [];
  /** Orders that were accepted, in order. */
  readonly orders: OrderBody[] = [];
  /** Whether connections are accepted but nothing is answered. */
  isSilent = false;
  /** Whether the member that streams depend on is away. */
  isStalled = false;
  /** Whether requests run and their connections are reset without an answer. */
  losesAnswers = false;
  /** Whether all answers say that the runner leaves, unlike its entry. */
  isLeaving = false;
  /** Seconds for which a refused caller must not return, if it is set. */
  refusesFor: string | undefined;
  /** Events after which a stream sends single bytes only, if it is set. */
  tricklesAfter: number | undefined;
  /** Attempt whose earlier refusal is sent again in place of each answer. */
  repeatsRefusalOf: string | undefined;
  /** Time until a second copy of each plain answer follows, if it is set. */
  repeatsAnswersAfterMs: number | undefined;
  /**
   * Creates a response to the attempt that was answered last on a connection,
   * which is sent again before the answer to the next one.
   */
  createStaleResponse: ((attempt: string) => string) | undefined;
  /** Requests whose connection was closed before the answer was complete. */
  closedRequests = 0;
  /** Connections that were accepted. */
  connectionCount = 0;
  /** Creates faulty answers to requests that run. */
  createRawAnswer: RawAnswerFactory | undefined;
  /** Whether faulty answers are sent before the bodies of requests are read. */
  answersEarly = false;
  /** Time that a plain answer takes. */
  answerMs = 0;
  /** Bytes that follow in a plain answer. */
  fillerBytes = 0;
  /** Events of a stream, the time before each, and bytes that each holds. */
  eventCount = EVENTS;
  eventMs = EVENT_MS;
  eventBytes = 0;
  /** Requests a second that all answers name as the limit, if it is set. */
  limitPerS: number | undefined;
  /** Arrival of each request, refused ones included. */
  readonly arrivalTimes: number[] = [];
  /** A part of prompts on which the process ends, if it is set. */
  crashesOn: string | undefined;
  /** The ends of the process on such a part. */
  readonly crashes: CrashRecord[] = [];
  /** Events after which a stream breaks off, if it is set. */
  breaksAfter: number | undefined;
  #options: RunnerOptions;
  #server: Server;
  #isStopped = false;
  /** Whether the process is gone, and writes nothing until another starts. */
  #hasEnded = false;
  #port = 0;
  /** Resolves when streams go on. */
  #streamPause: Promise<void> = Promise.resolve();
  /** Resolves when requests are answered again. */
  #silence: Promise<void> = Promise.resolve();
  /** Whether the store lists the runner, if it has lost nothing. */
  #isRegistered = false;
  #address = "";
  #link: DelayedLink | undefined;
  #born = Date.now();
  #coldUntil = 0;
  #state: "ready" | "draining" = "ready";
  #orderCount = 0;
  #heartbeatCount = 0;
  #isCutOff = false;
  #fence = 0;
  #epoch = 0;
  #model: string | undefined;
  #staged: string[] = [];
  #membership: Membership | undefined;
  #lastAttempts = new WeakMap<Socket, string>();

  constructor(options: RunnerOptions) {
    this.#options = options;
    this.#server = createServer((request, response) => {
      void this.#serve(request, response);
    });
    this.#server.on("connection", () => this.connectionCount++);
  }

  get address(): string {
    return this.#address;
  }

  get dataCentre(): string {
    return this.#options.zone;
  }

  get membership(): Readonly<Membership> | undefined {
    return this.#membership;
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) => this.#server.listen(0, HOST, resolve));
    this.#port = (this.#server.address() as AddressInfo).port;
    this.#address = `${HOST}:${this.#port}`;
    const { link: quality } = this.#options;
    if (quality !== undefined) {
      this.#link = new DelayedLink(this.#address, quality);
      this.#address = await this.#link.listen();
    }
    this.register();
  }

  /** Ends the process; the store lists it until `unregister`. */
  stop(): void {
    this.#isStopped = true;
    this.#link?.close();
    this.#close();
  }

  /** Whether the process listens. */
  get isRunning(): boolean {
    return !this.#isStopped && !this.#hasEnded;
  }

  /** Ends the process and its group; the store lists both until `unregister`. */
  end(): void {
    this.#hasEnded = true;
    this.#close();
    this.#setMembership(undefined);
  }

  /** Starts another process at the address of the one that has ended. */
  startAgain(): void {
    if (this.#hasEnded && !this.#isStopped) {
      this.#hasEnded = false;
      this.#server.listen(this.#port, HOST);
      this.restart();
    }
  }

  /** Sends no events for some time, then goes on; reports are answered. */
  pauseStreams(durationMs: number): void {
    this.#streamPause = delay(durationMs);
  }

  /** Sends nothing at all for some time, then goes on. */
  fallSilent(durationMs: number): void {
    this.#silence = delay(durationMs);
    this.#streamPause = this.#silence;
  }

  /** Writes the runner's entry. */
  register(): void {
    this.#heartbeatCount++;
    if (!this.#isCutOff && !this.#hasEnded) {
      this.#isRegistered = true;
      this.#options.store.put("keyed.servers", this.id, this.#createEntry());
    }
  }

  /** Writes the entry or its removal again, after the store has lost it. */
  writeAgain(): void {
    if (!this.#isRegistered) {
      this.unregister();
    } else if (this.isRunning) {
      this.register();
    }
  }

  /** Lets the store carry out a write of the present entry after some time. */
  registerLate(delayMs: number): void {
    const entry = this.#createEntry();
    this.#heartbeatCount++;
    setTimeout(() => {
      if (this.isRunning && !this.#isCutOff) {
        this.#options.store.put("keyed.servers", this.id, entry);
        setTimeout(() => this.#isStopped || this.register(), HEARTBEAT_MS);
      }
    }, delayMs);
  }

  /** Loses the paths to the store and to all nodes, but not to other runners. */
  cutOff(): void {
    this.isSilent = true;
    this.#isCutOff = true;
    this.unregister();
  }

  reconnect(): void {
    this.isSilent = false;
    this.#isCutOff = false;
    this.register();
  }

  /** Ends the group that the runner leads, if it still leads it. */
  breakGroup(group: string): void {
    if (this.#membership?.Name === group && this.#membership.rank === 0) {
      this.#membership.State = "broken";
      this.register();
    }
  }

  #createEntry(): object {
    const { service, zone, domain } = this.#options;
    return {
      Service: service,
      Address: this.#address,
      Zone: zone,
      Version: "v1",
      Slots: 8,
      State: this.#state,
      ColdLeftMs: Math.max(0, Math.round(this.#coldUntil - performance.now())),
      SeqNo: this.#heartbeatCount,
      born: this.#born,
      ...(domain === undefined ? {} : this.#describeEngine()),
    };
  }

  unregister(): void {
    this.#isRegistered = false;
    this.#options.store.put("keyed.servers", this.id, undefined);
  }

  /** Starts again under the same id, without anything of before. */
  restart(): void {
    this.#born++;
    this.#state = "ready";
    this.#orderCount = 0;
    this.#heartbeatCount = 0;
    this.#fence = 0;
    this.#epoch = 0;
    this.#model = undefined;
    this.#setMembership(undefined);
    this.register();
  }

  #setMembership(membership: Membership | undefined): void {
    const before = this.#membership;
    this.#membership = membership;
    if (before !== undefined && before.Name !== membership?.Name) {
      this.#options.onLeft?.(before.Name);
    }
  }

  /** States in the entry that the runner remains cold for some time. */
  turnCold(coldMs: number): void {
    this.#coldUntil = performance.now() + coldMs;
    this.register();
  }

  drain(): void {
    this.#state = "draining";
    this.register();
  }

  #describeEngine(): object {
    return {
      Stage: "unified",
      // Kept in memory after the group, but named only while in it.
      Models: this.#membership === undefined ||
          this.#membership.State === "joining"
        ? []
        : [{ Name: this.#model, Version: 1, Adapters: [] }],
      Domain: this.#options.domain,
      Staged: this.#staged,
      group: this.#membership ?? null,
    };
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (this.answersEarly && this.createRawAnswer !== undefined) {
      this.#run(request, response);
      return;
    }
    const chunks: Uint8Array[] = [];
    for await (const chunk of request) {
      chunks.push(chunk as Uint8Array);
    }
    await this.#silence;
    if (this.isSilent) {
      return;
    }
    if (this.isLeaving) {
      response.setHeader("server-leaving", "1");
    }
    const expected = request.headers["x-target-instance"];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, REFUSED_HEADERS).end();
      return;
    }
    const handle = this.#routes[request.url ?? ""];
    if (handle === undefined) {
      this.#run(request, response);
    } else {
      handle(response, Buffer.concat(chunks).toString());
    }
  }

  readonly #routes: Readonly<
    Record<string, (response: ServerResponse, body: string) => void>
  > = {
    "/zinniahill/report": (response) => {
      response.writeHead(200, { "content-type": "application/json" });
      response.end(JSON.stringify({
        ...this.#describeEngine(),
        Busy: false,
        SeqNo: this.#orderCount,
        Queued: 0,
        Running: 0,
        pace: 1,
        born: this.#born,
      }));
    },
    "/zinniahill/order": (response, body) => {
      response.writeHead(this.#order(JSON.parse(body))).end();
    },
  };

  #order(order: OrderBody): number {
    if (order.Fence !== undefined && order.Fence < this.#fence) {
      return 412;
    }
    const isOther = order.Precondition !== undefined &&
      order.Precondition !== this.#orderCount;
    if (isOther) {
      return 409;
    }
    this.#fence = Math.max(this.#fence, order.Fence ?? 0);
    const status = this.#handlers[order.Op]?.(order) ?? 400;
    if (status === 202) {
      this.#orderCount++;
      this.orders.push(order);
    }
    return status;
  }

  readonly #handlers: Readonly<Record<string, OrderHandler>> = {
    join: (order) => this.#join(order),
    open: (order) => {
      if (!this.#isIn(order) || this.#membership?.State !== "ready") {
        return 409;
      }
      setTimeout(() => this.#setState(order, "open"), OPEN_MS);
      return 202;
    },
    close: (order) => {
      if (!this.#isIn(order)) {
        return 409;
      }
      this.#setState(order, "ready");
      return 202;
    },
    leave: (order) => {
      if (!this.#isIn(order)) {
        return 200;
      }
      this.#setMembership(undefined);
      this.register();
      return 202;
    },
    Stage: ({ Model }) => {
      setTimeout(() => {
        this.#staged = [Model!];
        this.register();
      }, this.#options.loadMs ?? 0);
      return 202;
    },
  };

  #join(order: OrderBody): number {
    const { group, epoch, Model, Members } = order;
    if (epoch! < this.#epoch) {
      return 412;
    }
    const isWarm = this.#model === Model || this.#staged.includes(Model!);
    this.#epoch = epoch!;
    this.#model = Model;
    this.#staged = [Model!];
    this.#setMembership({
      Name: group!,
      epoch: epoch!,
      rank: Members!.indexOf(this.id),
      State: "joining",
    });
    this.register();
    const ms = isWarm ? WARM_JOIN_MS : this.#options.loadMs ?? WARM_JOIN_MS;
    setTimeout(() => this.#setState(order, "ready"), ms);
    return 202;
  }

  #isIn({ group, epoch }: OrderBody): boolean {
    return this.#membership?.Name === group &&
      this.#membership?.epoch === epoch;
  }

  #setState(order: OrderBody, state: Membership["State"]): void {
    if (this.#isIn(order)) {
      this.#membership!.State = state;
      this.register();
    }
  }

  /** Runs a request: a stream on a lead, a whole answer on a plain service. */
  #run(request: IncomingMessage, response: ServerResponse): void {
    const isEngine = this.#options.domain !== undefined;
    const isLead = this.#membership?.rank === 0 &&
      this.#membership.State === "open";
    if (isEngine && !isLead) {
      response.writeHead(503, REFUSED_HEADERS).end();
      return;
    }
    const attempt = String(request.headers["x-attempt-id"] ?? "");
    this.arrivals.push(attempt);
    this.arrivalTimes.push(performance.now());
    if (this.limitPerS !== undefined) {
      response.setHeader("server-limit", String(this.limitPerS));
    }
    if (this.refusesFor !== undefined) {
      response.writeHead(503, {
        ...REFUSED_HEADERS,
        "retry-after": this.refusesFor,
      }).end();
      return;
    }
    this.runs.push({
      attempt,
      account: request.headers["x-tenant"] as string | undefined,
      target: request.url ?? "",
      deadlineMs: Number(request.headers["x-deadline-ms"]),
      hasKey: request.headers.authorization !== undefined,
    });
    const lastEventId = request.headers["last-event-id"] as string | undefined;
    const raw = this.createRawAnswer?.(attempt, lastEventId);
    if (raw !== undefined) {
      if (raw.close === "kill") {
        this.#hasEnded = true;
        this.#server.close();
      }
      sendRaw(request.socket, raw);
      return;
    }
    if (this.losesAnswers) {
      request.socket.resetAndDestroy();
      return;
    }
    if (this.repeatsRefusalOf !== undefined) {
      response.writeHead(503, {
        ...REFUSED_HEADERS,
        "x-attempt-id": this.repeatsRefusalOf,
      }).end();
      return;
    }
    const headers = {
      "x-attempt-id": attempt,
      "x-response-seal": `seal-${this.id}`,
    };
    if (!isEngine) {
      setTimeout(() => {
        this.#sendStaleResponse(request, attempt);
        response.writeHead(200, headers).end(
          `answer to ${attempt}${"x".repeat(this.fillerBytes)}`,
        );
        this.#repeatAnswer(request, attempt, headers);
      }, this.answerMs);
      return;
    }
    response.writeHead(200, {
      ...headers,
      "content-type": "text/event-stream",
    });
    if (this.#holdsCrashingPart(request)) {
      response.flushHeaders();
      setTimeout(() => this.#crash(), EVENT_MS);
      return;
    }
    response.on("close", () => {
      this.closedRequests += Number(!response.writableFinished);
    });
    void this.#stream(request, response);
  }

  #close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #holdsCrashingPart({ headers }: IncomingMessage): boolean {
    const parts = String(headers["x-prompt-prefix"] ?? "").split(",");
    return this.crashesOn !== undefined &&
      parts.some((part) => part.startsWith(`${this.crashesOn}:`));
  }

  /** Ends the process; it is back after some time, without its state. */
  #crash(): void {
    if (!this.#server.listening) {
      return;
    }
    this.crashes.push({ part: this.crashesOn!, at: performance.now() });
    this.end();
    setTimeout(() => this.startAgain(), CRASH_MS);
  }

  /** Sends a byte now and then until the connection is closed. */
  async #trickle(response: ServerResponse): Promise<void> {
    while (!response.destroyed) {
      response.write(".");
      await new Promise((resolve) => setTimeout(resolve, TRICKLE_MS));
    }
  }

  #sendStaleResponse({ socket }: IncomingMessage, attempt: string): void {
    const previous = this.#lastAttempts.get(socket);
    this.#lastAttempts.set(socket, attempt);
    if (previous !== undefined && this.createStaleResponse !== undefined) {
      socket.write(this.createStaleResponse(previous));
    }
  }

  #repeatAnswer(
    { socket }: IncomingMessage,
    attempt: string,
    headers: Readonly<Record<string, string>>,
  ): void {
    if (this.repeatsAnswersAfterMs === undefined) {
      return;
    }
    const body = `answer to ${attempt}`;
    const lines = Object.entries({ ...headers, "content-length": body.length })
      .map(([name, value]) => `${name}: ${value}`);
    const copy = ["HTTP/1.1 200 OK", ...lines, "", body].join("\r\n");
    setTimeout(() => socket.write(copy), this.repeatsAnswersAfterMs);
  }

  async #stream(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    let sent = 0;
    const first = Number(request.headers["last-event-id"] ?? 0) + 1;
    for (let id = first; id <= this.eventCount; id++) {
      await new Promise((resolve) => setTimeout(resolve, this.eventMs));
      await this.#streamPause;
      if (this.isStalled) {
        return;
      }
      if (this.tricklesAfter === sent) {
        await this.#trickle(response);
        return;
      }
      if (this.breaksAfter === sent) {
        response.write(`id: ${id}\nda`, () => response.destroy());
        return;
      }
      const filler = "x".repeat(this.eventBytes);
      response.write(`id: ${id}\ndata: piece ${id}${filler}\n\n`);
      sent++;
    }
    response.end();
  }
}

function sendRaw(socket: Socket, { bytes, close }: RawAnswer): void {
  const closers = {
    end: () => socket.end(),
    reset: () => socket.resetAndDestroy(),
    kill: () => socket.end(),
  };
  socket.write(bytes, () => close !== undefined && closers[close]());
}
