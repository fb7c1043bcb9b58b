/**
 * Connections to the other nodes, with one task for each.
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

type Heartbeat = MessageOf<"beat">;

/** Handlers of messages, by kind. */
type Handlers = {
  [Kind in PeerMessage["kind"]]: (
    link: Link,
    message: MessageOf<Kind>,
  ) => void;
};

/** An open connection to another node. */
interface Link {
  readonly entry: NodeEntry;
  readonly connection: PeerConnection;
  lastMessageAt: number;
  lastHeartbeat: Heartbeat | undefined;
}

const MIN_HEARTBEAT_INTERVAL_MS = 150;
/** Keeps the total rate linear, not quadratic, in the number of nodes. */
const HEARTBEAT_INTERVAL_MS_PER_PEER = 15;
/** Heartbeat intervals without a message after which a connection is closed. */
const MAX_MISSED_HEARTBEATS = 6;
const CONNECT_TIMEOUT_MS = 500;
const RECONNECT_DELAY_MS = 200;
const MAX_RECONNECT_DELAY_MS = 2000;
/** A peer that does not read is disconnected, so that no sender waits. */
const MAX_QUEUED_BYTES = 4 * 1024 * 1024;
const ANNOUNCE_RETRY_DELAY_MS = 500;

/** Keeps a connection to each other node. */
export class Mesh implements Service {
  #clock: Clock;
  #logger: Logger;
  #random: Random;
  #transport: PeerTransport;
  #store: FeedStore;
  #decoder: RecordDecoder;
  #exchange: FeedExchange;
  #lifecycle: Lifecycle;
  #capacityMonitor: CapacityMonitor;
  #ownEntry: NodeEntry;
  #directory: NodeDirectory;
  #tasks: TaskGroup;
  #links = new Map<string, Link>();
  #peerLoads = new PeerLoads();
  #dialed = new Set<string>();
  #readOutstanding: OutstandingSource = () => [];
  #readRole = (): PlacementRole => ({ isHolder: false, isCandidate: false });
  #listeners: MessageListeners = {};

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#random = kernel.find("random");
    this.#transport = kernel.find("peerTransport");
    this.#store = kernel.find("topics");
    this.#decoder = kernel.find("decoder");
    this.#exchange = new FeedExchange(kernel);
    this.#lifecycle = kernel.find("lifecycle");
    this.#capacityMonitor = kernel.find("intake");
    const { node } = kernel.find("settings");
    this.#ownEntry = {
      name: node.name,
      incarnation: this.#random.id(),
      dataCentre: node.dataCentre,
      publicAddress: node.publicAddress,
      peerAddress: node.peerAddress,
    };
    this.#directory = new NodeDirectory(this.#ownEntry);
    this.#tasks = new TaskGroup(this.#clock, this.#logger);
    kernel.find("feeds").onChange("nodes", (records) => {
      for (const { value } of records) {
        const entry = value === undefined
          ? undefined
          : this.#decoder.node(value);
        entry?.match({
          Ok: (node) => this.#addNode(node),
          Err: (error) => this.#logger.warn("node_entry_unreadable", { error }),
        });
      }
    });
  }

  async start(): Promise<void> {
    await this.#transport.listen(
      this.#ownEntry.peerAddress,
      (connection) => this.#accept(connection),
    );
    this.#tasks.run("announce", (signal) => this.#announce(signal));
    this.#tasks.run("beat", (signal) => this.#sendHeartbeats(signal));
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
    return this.#ownEntry;
  }

  /** Sets the source of the requests in progress that heartbeats report. */
  setOutstandingSource(source: OutstandingSource): void {
    this.#readOutstanding = source;
  }

  /** Sets the source of the placement role that heartbeats report. */
  setPlacementSource(source: () => PlacementRole): void {
    this.#readRole = source;
  }

  /** Sets the listener for a kind of message that the mesh only forwards. */
  onMessage<Kind extends ForwardedKind>(
    kind: Kind,
    listener: MessageListeners[Kind] & object,
  ): void {
    this.#listeners[kind] = listener;
  }

  /** Connected nodes other than this one. */
  list(): Peer[] {
    const now = this.#clock.now();
    return [...this.#links.values()].map((
      { entry, lastHeartbeat, lastMessageAt },
    ) => ({
      entry,
      isServing: lastHeartbeat?.isServing ?? false,
      holdsPlacement: lastHeartbeat?.holdsPlacement ?? false,
      seeksPlacement: lastHeartbeat?.seeksPlacement ?? false,
      capacity: lastHeartbeat?.capacity ?? 0,
      silentMs: now - lastMessageAt,
    }));
  }

  /** The requests in progress that the other nodes report. */
  get peerLoads(): Omit<PeerLoads, "update" | "remove"> {
    return this.#peerLoads;
  }

  /** Number of known nodes, connected or not, including this one. */
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

  /** Sends a heartbeat to all peers immediately. */
  broadcastHeartbeat(): void {
    this.broadcast(this.#createHeartbeat());
  }

  dump(): unknown {
    return [...this.#links.values()].map((
      { entry, lastMessageAt, lastHeartbeat },
    ) => ({
      name: entry.name,
      heardMsAgo: Math.round(this.#clock.now() - lastMessageAt),
      isServing: lastHeartbeat?.isServing,
      offsets: lastHeartbeat?.offsets,
    }));
  }

  async #announce(signal: AbortSignal): Promise<void> {
    for (;;) {
      const written = await this.#store.announceNode(this.#ownEntry, signal);
      if (written.isOk || signal.aborted) {
        return;
      }
      this.#logger.warn("node_announcement_failed", {
        error: written.error.message,
      });
      await this.#clock.sleep(ANNOUNCE_RETRY_DELAY_MS, signal);
    }
  }

  async #sendHeartbeats(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.broadcastHeartbeat();
      await this.#clock.sleep(this.#heartbeatIntervalMs, signal);
    }
  }

  get #heartbeatIntervalMs(): number {
    return Math.max(
      MIN_HEARTBEAT_INTERVAL_MS,
      HEARTBEAT_INTERVAL_MS_PER_PEER * this.#links.size,
    );
  }

  #createHeartbeat(): Heartbeat {
    const { isHolder, isCandidate } = this.#readRole();
    return {
      kind: "beat",
      isServing: this.#lifecycle.isServing,
      holdsPlacement: isHolder,
      seeksPlacement: isCandidate,
      capacity: this.#capacityMonitor.capacity,
      ...this.#exchange.describeProgress(),
      outstanding: [...this.#readOutstanding()],
    };
  }

  /** Adds a node; of two nodes, the one whose name sorts first connects. */
  #addNode(entry: NodeEntry): void {
    if (!this.#directory.add(entry)) {
      return;
    }
    const { name } = entry;
    if (this.#ownEntry.name < name && !this.#dialed.has(name)) {
      this.#dialed.add(name);
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
          (connectSignal) =>
            this.#transport.connect(entry.peerAddress, connectSignal),
        );
        failures = 0;
        await this.#serveConnection(connection, signal);
      } catch (error) {
        failures++;
        this.#logger.debug("peer_unreachable", {
          peer: name,
          error: describeError(error),
        });
      }
      const delayMs = Math.min(
        MAX_RECONNECT_DELAY_MS,
        RECONNECT_DELAY_MS * 2 ** failures,
      );
      await this.#clock.sleep(
        delayMs * (1 + this.#random.fraction()) / 2,
        signal,
      );
    }
  }

  #accept(connection: PeerConnection): void {
    this.#tasks.run(
      "accepted_peer",
      (signal) => this.#serveConnection(connection, signal),
    );
  }

  /** Serves one connection until it ends or times out. */
  async #serveConnection(
    connection: PeerConnection,
    signal: AbortSignal,
  ): Promise<void> {
    let link: Link | undefined;
    const idleTimeout = new IdleTimeout(
      this.#clock,
      MAX_MISSED_HEARTBEATS * this.#heartbeatIntervalMs,
      () => connection.close(),
    );
    connection.send(encodeMessage({
      kind: "hello",
      entry: this.#ownEntry,
      known: this.#directory.listAll(),
    }));
    connection.send(encodeMessage(this.#createHeartbeat()));
    try {
      for (;;) {
        const bytes = await connection.receive(signal);
        if (bytes === undefined) {
          return;
        }
        idleTimeout.reset(MAX_MISSED_HEARTBEATS * this.#heartbeatIntervalMs);
        link = this.#handleMessage(connection, link, bytes);
      }
    } finally {
      idleTimeout.cancel();
      connection.close();
      this.#removeLink(link);
    }
  }

  /** Handles one message; the first one identifies the peer. */
  #handleMessage(
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
    const identified = message.kind === "hello"
      ? this.#addLink(connection, message)
      : link;
    if (identified !== undefined) {
      identified.lastMessageAt = this.#clock.now();
      const handle = this.#handlers[message.kind] as (
        link: Link,
        message: PeerMessage,
      ) => void;
      handle(identified, message);
    }
    return identified;
  }

  #addLink(connection: PeerConnection, { entry }: MessageOf<"hello">): Link {
    const { name } = entry;
    this.#links.get(name)?.connection.close();
    const link: Link = {
      entry,
      connection,
      lastMessageAt: this.#clock.now(),
      lastHeartbeat: undefined,
    };
    this.#links.set(name, link);
    this.#logger.info("peer_connected", { peer: name });
    return link;
  }

  #removeLink(link: Link | undefined): void {
    if (link !== undefined && this.#links.get(link.entry.name) === link) {
      this.#links.delete(link.entry.name);
      this.#exchange.remove(link.entry.name);
      this.#peerLoads.remove(link.entry.name);
      this.#logger.info("peer_lost", {
        peer: link.entry.name,
        heard_ms_ago: Math.round(this.#clock.now() - link.lastMessageAt),
      });
    }
  }

  readonly #handlers: Handlers = {
    hello: (_link, { entry, known }) => {
      this.#addNode(entry);
      known.forEach((other) => this.#addNode(other));
    },
    beat: (link, heartbeat) => {
      link.lastHeartbeat = heartbeat;
      this.#peerLoads.update(
        link.entry.name,
        heartbeat.outstanding,
        this.#clock.now(),
      );
      this.#exchange.listFetches(link.entry.name, heartbeat)
        .forEach((fetch) => this.#send(link, fetch));
    },
    fetch: (link, message) =>
      this.#send(link, this.#exchange.answerFetch(message)),
    records: (link, message) =>
      this.#exchange.applyRecords(link.entry.name, message),
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
