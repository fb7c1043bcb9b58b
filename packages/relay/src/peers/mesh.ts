/**
 * Connections to the other nodes: one task for each.
 *
 * @module
 */
import type { PeerConnection, PeerTransport } from "@zinniahill/clients";
import {
  type Clock,
  describeError,
  type Logger,
  type Random,
  type Service,
  TaskGroup,
  withDeadline,
} from "@zinniahill/kernel";
import type { CapacityMonitor } from "../entry/capacity-monitor.ts";
import type { Lifecycle } from "../lifecycle.ts";
import type {
  MessageOf,
  NodeEntry,
  PeerMessage,
} from "../model/peer-message.ts";
import type { FeedStore, RecordDecoder } from "../adapter.ts";
import type { RelayKernel } from "../services.ts";
import { NodeDirectory } from "./node-directory.ts";
import { FeedExchange } from "./feed-exchange.ts";
import { decodeMessage, encodeMessage } from "./peer-codec.ts";
import type {
  ForwardedKind,
  MessageListeners,
  OutstandingSource,
  Peer,
  PlacementRole,
} from "./peer.ts";
import { PeerLoads } from "./peer-loads.ts";
import { IdleTimeout } from "./idle-timeout.ts";

type Beat = MessageOf<"beat">;

/** Handlers of messages, by kind. */
type Handlers = {
  [Kind in PeerMessage["kind"]]: (
    link: Link,
    message: MessageOf<Kind>,
  ) => void;
};

/** A live connection to another node. */
interface Link {
  readonly entry: NodeEntry;
  readonly connection: PeerConnection;
  heardAt: number;
  beat: Beat | undefined;
}

const BEAT_MS = 150;
/** Beats of all nodes together must not grow with the square of their number. */
const BEAT_MS_PER_PEER = 15;
/** Beats that may be missed before a peer counts as lost. */
const MISSED_BEATS = 6;
const CONNECT_TIMEOUT_MS = 500;
const REDIAL_MS = 200;
const MAX_REDIAL_MS = 2000;
/** A peer that does not read is cut off rather than waited for. */
const MAX_QUEUED_BYTES = 4 * 1024 * 1024;
const ANNOUNCE_RETRY_MS = 500;

/** Keeps a connection to each other node. */
export class Mesh implements Service {
  #clock: Clock;
  #logger: Logger;
  #random: Random;
  #transport: PeerTransport;
  #topics: FeedStore;
  #decoder: RecordDecoder;
  #exchange: FeedExchange;
  #lifecycle: Lifecycle;
  #intake: CapacityMonitor;
  #own: NodeEntry;
  #directory: NodeDirectory;
  #tasks: TaskGroup;
  #links = new Map<string, Link>();
  #work = new PeerLoads();
  #dialing = new Set<string>();
  #readOutstanding: OutstandingSource = () => [];
  #readClaim = (): PlacementRole => ({ isHolder: false, isCandidate: false });
  #listeners: MessageListeners = {};

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#random = kernel.find("random");
    this.#transport = kernel.find("peerTransport");
    this.#topics = kernel.find("topics");
    this.#decoder = kernel.find("decoder");
    this.#exchange = new FeedExchange(kernel);
    this.#lifecycle = kernel.find("lifecycle");
    this.#intake = kernel.find("intake");
    const { node } = kernel.find("settings");
    this.#own = {
      name: node.name,
      incarnation: this.#random.id(),
      dataCentre: node.dataCentre,
      publicAddress: node.publicAddress,
      peerAddress: node.peerAddress,
    };
    this.#directory = new NodeDirectory(this.#own);
    this.#tasks = new TaskGroup(this.#clock, this.#logger);
    kernel.find("feeds").onChange("nodes", (records) => {
      for (const { value } of records) {
        const entry = value === undefined
          ? undefined
          : this.#decoder.node(value);
        entry?.match({
          Ok: (node) => this.#learn(node),
          Err: (error) => this.#logger.warn("node_entry_unreadable", { error }),
        });
      }
    });
  }

  async start(): Promise<void> {
    await this.#transport.listen(
      this.#own.peerAddress,
      (connection) => this.#accept(connection),
    );
    this.#tasks.run("announce", (signal) => this.#announce(signal));
    this.#tasks.run("beat", (signal) => this.#beatForever(signal));
    this.#lifecycle.onChange(() => this.broadcastHeartbeat());
  }

  async stop(): Promise<void> {
    for (const link of this.#links.values()) {
      link.connection.close();
    }
    await this.#tasks.stop();
  }

  /** This node's entry. */
  get ownEntry(): NodeEntry {
    return this.#own;
  }

  /** Sets what beats say of requests in progress. */
  setOutstandingSource(source: OutstandingSource): void {
    this.#readOutstanding = source;
  }

  /** Sets what beats say of this node's giving orders. */
  setPlacementSource(source: () => PlacementRole): void {
    this.#readClaim = source;
  }

  /** Sets what is done with messages that are not about the mesh itself. */
  onMessage<Kind extends ForwardedKind>(
    kind: Kind,
    listener: MessageListeners[Kind] & object,
  ): void {
    this.#listeners[kind] = listener;
  }

  /** Nodes that were heard lately, apart from this one. */
  list(): Peer[] {
    const now = this.#clock.now();
    return [...this.#links.values()].map(({ entry, beat, heardAt }) => ({
      entry,
      isServing: beat?.isServing ?? false,
      holdsPlacement: beat?.holdsPlacement ?? false,
      seeksPlacement: beat?.seeksPlacement ?? false,
      capacity: beat?.capacity ?? 0,
      silentMs: now - heardAt,
    }));
  }

  /** What the other nodes say of their requests in progress. */
  get peerLoads(): Omit<PeerLoads, "update" | "remove"> {
    return this.#work;
  }

  /** Nodes that are known, whether they were heard or not, and this one. */
  countNodes(): number {
    return Math.max(this.#links.size, this.#directory.list().length) + 1;
  }

  /** Sends a message to one peer, if it is connected. */
  sendTo({ name }: NodeEntry, message: PeerMessage): void {
    const link = this.#links.get(name);
    if (link !== undefined) {
      this.#send(link, message);
    }
  }

  /** Sends a message to every peer. */
  broadcast(message: PeerMessage): void {
    const bytes = encodeMessage(message);
    this.#links.forEach((link) => this.#sendBytes(link, bytes));
  }

  /** Tells all peers at once how this node is. */
  broadcastHeartbeat(): void {
    this.broadcast(this.#createBeat());
  }

  dump(): unknown {
    return [...this.#links.values()].map(({ entry, heardAt, beat }) => ({
      name: entry.name,
      heardMsAgo: Math.round(this.#clock.now() - heardAt),
      isServing: beat?.isServing,
      offsets: beat?.offsets,
    }));
  }

  async #announce(signal: AbortSignal): Promise<void> {
    for (;;) {
      const written = await this.#topics.announceNode(this.#own, signal);
      if (written.isOk || signal.aborted) {
        return;
      }
      this.#logger.warn("node_announcement_failed", {
        error: written.error.message,
      });
      await this.#clock.sleep(ANNOUNCE_RETRY_MS, signal);
    }
  }

  async #beatForever(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.broadcastHeartbeat();
      await this.#clock.sleep(this.#beatMs, signal);
    }
  }

  get #beatMs(): number {
    return Math.max(BEAT_MS, BEAT_MS_PER_PEER * this.#links.size);
  }

  #createBeat(): Beat {
    const { isHolder, isCandidate } = this.#readClaim();
    return {
      kind: "beat",
      isServing: this.#lifecycle.isServing,
      holdsPlacement: isHolder,
      seeksPlacement: isCandidate,
      capacity: this.#intake.capacity,
      ...this.#exchange.describe(),
      outstanding: [...this.#readOutstanding()],
    };
  }

  /** Of two nodes, the one whose name sorts first dials. */
  #learn(entry: NodeEntry): void {
    if (!this.#directory.add(entry)) {
      return;
    }
    const { name } = entry;
    if (this.#own.name < name && !this.#dialing.has(name)) {
      this.#dialing.add(name);
      this.#tasks.run(`dial_${name}`, (signal) => this.#dial(name, signal));
    }
  }

  async #dial(name: string, signal: AbortSignal): Promise<void> {
    let failures = 0;
    while (!signal.aborted) {
      const entry = this.#directory.find(name)!;
      try {
        const connection = await withDeadline(
          this.#clock,
          CONNECT_TIMEOUT_MS,
          signal,
          (bounded) => this.#transport.connect(entry.peerAddress, bounded),
        );
        failures = 0;
        await this.#converse(connection, signal);
      } catch (failure) {
        failures++;
        this.#logger.debug("peer_unreachable", {
          peer: name,
          error: describeError(failure),
        });
      }
      const pauseMs = Math.min(MAX_REDIAL_MS, REDIAL_MS * 2 ** failures);
      await this.#clock.sleep(
        pauseMs * (1 + this.#random.fraction()) / 2,
        signal,
      );
    }
  }

  #accept(connection: PeerConnection): void {
    this.#tasks.run(
      "accepted_peer",
      (signal) => this.#converse(connection, signal),
    );
  }

  /** Serves one connection until it ends or falls silent. */
  async #converse(
    connection: PeerConnection,
    signal: AbortSignal,
  ): Promise<void> {
    let link: Link | undefined;
    const silence = new IdleTimeout(
      this.#clock,
      MISSED_BEATS * this.#beatMs,
      () => connection.close(),
    );
    connection.send(encodeMessage({
      kind: "hello",
      entry: this.#own,
      known: this.#directory.listAll(),
    }));
    connection.send(encodeMessage(this.#createBeat()));
    try {
      for (;;) {
        const bytes = await connection.receive(signal);
        if (bytes === undefined) {
          return;
        }
        silence.reset(MISSED_BEATS * this.#beatMs);
        link = this.#handle(connection, link, bytes);
      }
    } finally {
      silence.cancel();
      connection.close();
      this.#unlink(link);
    }
  }

  /** Handles one message; the first one says who the peer is. */
  #handle(
    connection: PeerConnection,
    link: Link | undefined,
    bytes: Uint8Array,
  ): Link | undefined {
    const decoded = decodeMessage(bytes);
    if (decoded.isErr) {
      this.#logger.warn("peer_message_unreadable", {
        peer: link?.entry.name,
        error: decoded.error,
      });
      return link;
    }
    const message = decoded.value;
    const known = message.kind === "hello"
      ? this.#link(connection, message)
      : link;
    if (known !== undefined) {
      known.heardAt = this.#clock.now();
      const handle = this.#handlers[message.kind] as (
        link: Link,
        message: PeerMessage,
      ) => void;
      handle(known, message);
    }
    return known;
  }

  #link(connection: PeerConnection, { entry }: MessageOf<"hello">): Link {
    const { name } = entry;
    this.#links.get(name)?.connection.close();
    const link: Link = {
      entry,
      connection,
      heardAt: this.#clock.now(),
      beat: undefined,
    };
    this.#links.set(name, link);
    this.#logger.info("peer_connected", { peer: name });
    return link;
  }

  #unlink(link: Link | undefined): void {
    if (link !== undefined && this.#links.get(link.entry.name) === link) {
      this.#links.delete(link.entry.name);
      this.#exchange.forget(link.entry.name);
      this.#work.remove(link.entry.name);
      this.#logger.info("peer_lost", {
        peer: link.entry.name,
        heard_ms_ago: Math.round(this.#clock.now() - link.heardAt),
      });
    }
  }

  readonly #handlers: Handlers = {
    hello: (_link, { entry, known }) => {
      this.#learn(entry);
      known.forEach((other) => this.#learn(other));
    },
    beat: (link, beat) => {
      link.beat = beat;
      this.#work.update(link.entry.name, beat.outstanding, this.#clock.now());
      this.#exchange.compare(link.entry.name, beat)
        .forEach((request) => this.#send(link, request));
    },
    fetch: (link, message) => this.#send(link, this.#exchange.answer(message)),
    records: (link, message) => this.#exchange.apply(link.entry.name, message),
    news: (link, message) => this.#listeners.news?.(message, link.entry),
    suspect: (link, message) => this.#listeners.suspect?.(message, link.entry),
    release: (link, message) => this.#listeners.release?.(message, link.entry),
    released: (link, message) =>
      this.#listeners.released?.(message, link.entry),
  };

  #send(link: Link, message: PeerMessage): void {
    this.#sendBytes(link, encodeMessage(message));
  }

  #sendBytes({ connection }: Link, bytes: Uint8Array): void {
    if (connection.queuedBytes > MAX_QUEUED_BYTES) {
      connection.close();
      return;
    }
    connection.send(bytes);
  }
}
