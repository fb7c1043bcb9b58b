/**
 * Messages between the nodes: heartbeats, records that the store did not give,
 * and messages of other services.
 *
 * @module
 */
import {
  type Clock,
  type Logger,
  type Random,
  type Service,
  TaskGroup,
} from "@zinniahill/kernel";
import type { CapacityMonitor } from "../entry/capacity-monitor.ts";
import type { Lifecycle } from "../lifecycle.ts";
import {
  type MessageOf,
  type NodeEntry,
  type PeerMessage,
  type SharedFeed,
  TopologyRole,
} from "../model/peer-message.ts";
import type { FeedStore, RecordDecoder } from "../adapter.ts";
import type { RelayKernel } from "../services.ts";
import { Connector } from "./connector.ts";
import { FeedExchange } from "./feed-exchange.ts";
import { createForwardedMessage, Forwarder } from "./forwarder.ts";
import { MessageRouter } from "./message-router.ts";
import { NodeDirectory } from "./node-directory.ts";
import { encodeMessage } from "./peer-codec.ts";
import type {
  DemandSource,
  ForwardedKind,
  HarmfulPartsSource,
  MessageListeners,
  NodeDemand,
  OutstandingSource,
  Peer,
  PlacementRole,
} from "./peer.ts";
import type { PeerLoads } from "./peer-loads.ts";
import { PeerTable } from "./peer-table.ts";
import { getMaxReadWaitMs } from "./read-waits.ts";

type Heartbeat = MessageOf<"beat">;

const MIN_HEARTBEAT_INTERVAL_MS = 150;
/** Keeps the total rate of a full mesh linear in the number of nodes. */
const HEARTBEAT_INTERVAL_MS_PER_PEER = 15;
/** A hub sends each spoke one message in this time. */
const HUB_HEARTBEAT_INTERVAL_MS = 300;
/** A report waits for the next heartbeat at its origin and at two hubs. */
const MAX_HUB_HOPS = 3;
/** Heartbeat intervals without a message after which a peer is lost. */
const MAX_MISSED_HEARTBEATS = 6;
const ANNOUNCE_RETRY_DELAY_MS = 500;
/**
 * After a restore of the store all nodes announce themselves again. Limits them
 * together to about 100 writes a second.
 */
const ANNOUNCE_DELAY_MS_PER_NODE = 10;
/**
 * A hub whose feed is older than this does not replace reads of the store. It
 * exceeds the age that a hub's feed reaches and the delay of its heartbeats,
 * and leaves time to read a change before it has to be in force.
 */
const MAX_SUPPLIED_AGE_MS = 2300;

/** Exchanges messages with all other nodes, directly or through hubs. */
export class Mesh implements Service {
  #clock: Clock;
  #logger: Logger;
  #random: Random;
  #store: FeedStore;
  #decoder: RecordDecoder;
  #exchange: FeedExchange;
  #lifecycle: Lifecycle;
  #capacityMonitor: CapacityMonitor;
  #directory: NodeDirectory;
  #connector: Connector;
  #peers: PeerTable;
  #forwarder: Forwarder;
  #tasks: TaskGroup;
  #sequence = 0;
  #readOutstanding: OutstandingSource = () => [];
  #readDemand: DemandSource = () => [];
  #readHarmfulParts: HarmfulPartsSource = () => [];
  #readRole = (): PlacementRole => ({ isHolder: false, isCandidate: false });
  #router: MessageRouter;

  constructor(kernel: RelayKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#random = kernel.find("random");
    this.#store = kernel.find("topics");
    this.#decoder = kernel.find("decoder");
    this.#exchange = new FeedExchange(kernel);
    this.#lifecycle = kernel.find("lifecycle");
    this.#capacityMonitor = kernel.find("intake");
    const { node } = kernel.find("settings");
    this.#directory = new NodeDirectory({
      name: node.name,
      incarnation: this.#random.id(),
      dataCentre: node.dataCentre,
      publicAddress: node.publicAddress,
      peerAddress: node.peerAddress,
      ...(node.resources === undefined ? {} : { resources: node.resources }),
    });
    this.#peers = new PeerTable(this.#clock);
    this.#connector = new Connector(kernel, this.#directory, {
      createFirstMessages: () => [this.#createHeartbeat()],
      getIdleTimeoutMs: () => this.#timeoutMs,
      onMessage: (link, message) => this.#router.handle(link, message),
      onClose: ({ entry }) => this.#removePeer(entry),
    });
    this.#forwarder = new Forwarder(
      this.#clock,
      this.#connector.links,
      (name) => this.#peers.findVia(name),
    );
    this.#router = new MessageRouter({
      logger: this.#logger,
      directory: this.#directory,
      links: this.#connector.links,
      peers: this.#peers,
      forwarder: this.#forwarder,
      exchange: this.#exchange,
      addNode: (entry) => this.#addNode(entry),
      createHeartbeat: () => this.#createHeartbeat(),
    });
    this.#tasks = new TaskGroup(this.#clock, this.#logger);
    const feeds = kernel.find("feeds");
    feeds.onChange("nodes", (records) => {
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
    // The copy from which the store was restored may lack this node's entry.
    feeds.onRestore(() =>
      this.#tasks.run("announce_again", async (signal) => {
        const maxDelayMs = ANNOUNCE_DELAY_MS_PER_NODE * this.countNodes();
        await this.#clock.sleep(maxDelayMs * this.#random.fraction(), signal);
        await this.#announce(signal);
      })
    );
    feeds.shareReads({
      isSupplied: (feed) => this.#isSupplied(feed),
      countReaders: (announced) =>
        this.#connector.role === "hub"
          ? 1 + this.#connector.links.listByRole("hub").length
          : announced,
      getMaxWaitMs: (feed) => getMaxReadWaitMs(this.#connector.role, feed),
    });
  }

  async start(): Promise<void> {
    await this.#connector.start();
    this.#tasks.run("announce", (signal) => this.#announce(signal));
    this.#tasks.run("beat", (signal) => this.#sendHeartbeats(signal));
    this.#lifecycle.onChange(() => this.broadcastHeartbeat());
  }

  async stop(): Promise<void> {
    await Promise.all([this.#connector.stop(), this.#tasks.stop()]);
  }

  /** This node's entry. */
  get ownEntry(): NodeEntry {
    return this.#directory.own;
  }

  /** Sets the source of the requests in progress that heartbeats report. */
  setOutstandingSource(source: OutstandingSource): void {
    this.#readOutstanding = source;
  }

  /** Requests of this node in progress at an instance. */
  countOwnOutstanding(instance: string): number {
    const own = this.#readOutstanding().find(([id]) => id === instance);
    return own?.[1] ?? 0;
  }

  /** Requests in progress at an instance, of this node and its peers. */
  countOutstanding(instance: string): number {
    return this.countOwnOutstanding(instance) + this.peerLoads.count(instance);
  }

  /** When any node last received an event of an instance, as far as reported. */
  findLastEventAt(instance: string): number {
    const own = this.#readOutstanding().find(([id]) => id === instance);
    const ownAgeMs = own?.[2] ?? Infinity;
    return Math.max(
      this.#clock.now() - ownAgeMs,
      this.peerLoads.findLastEventAt(instance),
    );
  }

  /** Sets the source of the callers' work that heartbeats report. */
  setDemandSource(source: DemandSource): void {
    this.#readDemand = source;
  }

  /** The work of callers that the other nodes report. */
  listDemands(): NodeDemand[] {
    return this.#peers.listDemands();
  }

  /** Sets the source of the placement role that heartbeats report. */
  setPlacementSource(source: () => PlacementRole): void {
    this.#readRole = source;
  }

  /** Sets the source of the parts of prompts that heartbeats report. */
  setHarmfulPartsSource(source: HarmfulPartsSource): void {
    this.#readHarmfulParts = source;
  }

  /** Sets the listener for the parts that heartbeats of others report. */
  setHarmfulPartsListener(listener: PeerTable["onHarmfulParts"]): void {
    this.#peers.onHarmfulParts = listener;
  }

  /** Sets the listener for a kind of message that the mesh only forwards. */
  onMessage<Kind extends ForwardedKind>(
    kind: Kind,
    listener: MessageListeners[Kind] & object,
  ): void {
    this.#router.setListener(kind, listener);
  }

  /** Other nodes whose heartbeats arrive. */
  list(): Peer[] {
    return this.#peers.list();
  }

  /** The requests in progress that the other nodes report. */
  get peerLoads(): Omit<PeerLoads, "update" | "remove"> {
    return this.#peers.loads;
  }

  /** The longest time until a node's report reaches all others. */
  get reportDelayMs(): number {
    return this.#connector.role === "peer"
      ? this.#heartbeatIntervalMs
      : MAX_HUB_HOPS * HUB_HEARTBEAT_INTERVAL_MS;
  }

  /** Number of known nodes, connected or not, including this one. */
  countNodes(): number {
    return this.#directory.count;
  }

  /** Whether a heartbeat of every other known node has come. */
  get hasHeardAll(): boolean {
    return this.#peers.listHeartbeats().length + 1 >= this.countNodes();
  }

  /** The newest version of the configuration that other nodes report. */
  get reportedVersion(): number {
    const versions = this.#peers.listHeartbeats()
      .map(({ version = -Infinity }) => version);
    return Math.max(-Infinity, ...versions);
  }

  /** Names of all known nodes but those that say that they serve nobody. */
  listServingNames(): string[] {
    return this.#directory.listAll().map(({ name }) => name)
      .filter((name) => !this.#peers.isWithdrawn(name));
  }

  /** Sends a message to one node, if there is a way to it. */
  sendTo({ name }: NodeEntry, message: PeerMessage): void {
    const link = this.#connector.links.find(name);
    if (link !== undefined) {
      this.#connector.links.send([link], encodeMessage(message));
      return;
    }
    this.#forwarder.forward(
      createForwardedMessage(this.ownEntry, message, { target: name }),
      undefined,
    );
  }

  /** Sends a message to every node. */
  broadcast(message: PeerMessage): void {
    const { links } = this.#connector;
    links.send(links.list(), encodeMessage(message));
  }

  /** Sends a heartbeat to all nodes immediately. */
  broadcastHeartbeat(): void {
    this.broadcast({ ...this.#createHeartbeat(), isUrgent: true });
  }

  dump(): unknown {
    return {
      role: this.#connector.role,
      links: this.#connector.links.list().map(({ entry, role }) => ({
        name: entry.name,
        role,
      })),
      peers: this.list().map(({ entry, silentMs, isServing }) => ({
        name: entry.name,
        heardMsAgo: Math.round(silentMs),
        isServing,
        offsets: this.#peers.findHeartbeat(entry.name)?.offsets,
      })),
    };
  }

  /** Whether a spoke's hub reads the feed for it. */
  #isSupplied(feed: SharedFeed): boolean {
    return this.#connector.role === "spoke" &&
      this.#connector.links.listByRole("hub").some(({ entry }) =>
        this.#exchange.suppliedAgeMs(entry.name, feed) < MAX_SUPPLIED_AGE_MS
      );
  }

  async #announce(signal: AbortSignal): Promise<void> {
    for (;;) {
      const written = await this.#store.announceNode(this.ownEntry, signal);
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
      this.#sendHeartbeat();
      this.#peers.removeSilent(this.#timeoutMs);
      await this.#clock.sleep(this.#heartbeatIntervalMs, signal);
    }
  }

  /** Sends a heartbeat, and those of others to the ends that need them. */
  #sendHeartbeat(): void {
    const heartbeat = this.#createHeartbeat();
    const { links } = this.#connector;
    for (const role of TopologyRole.options) {
      const targets = links.listByRole(role);
      if (targets.length > 0) {
        const forwarded = this.#forwarder.listHeartbeats(role);
        links.sendHeartbeat(
          targets,
          encodeMessage({ ...heartbeat, forwarded }),
        );
      }
    }
    this.#forwarder.clearHeartbeats();
  }

  get #timeoutMs(): number {
    return MAX_MISSED_HEARTBEATS * this.#heartbeatIntervalMs;
  }

  get #heartbeatIntervalMs(): number {
    return this.#connector.role === "peer"
      ? Math.max(
        MIN_HEARTBEAT_INTERVAL_MS,
        HEARTBEAT_INTERVAL_MS_PER_PEER * this.#connector.links.list().length,
      )
      : HUB_HEARTBEAT_INTERVAL_MS;
  }

  #createHeartbeat(): Heartbeat {
    const { isHolder, isCandidate } = this.#readRole();
    const demand = [...this.#readDemand()];
    this.#sequence++;
    return {
      kind: "beat",
      sequence: this.#sequence,
      isUrgent: false,
      isServing: this.#lifecycle.isServing,
      holdsPlacement: isHolder,
      seeksPlacement: isCandidate,
      capacity: this.#capacityMonitor.capacity,
      ...this.#exchange.describeProgress(),
      outstanding: [...this.#readOutstanding()],
      ...(demand.length === 0 ? {} : { demand }),
      harmfulParts: [...this.#readHarmfulParts()],
      forwarded: [],
    };
  }

  #addNode(entry: NodeEntry): void {
    const isKnownAlive = this.#peers.isHeard(this.#directory.find(entry.name));
    if (this.#directory.add(entry, isKnownAlive)) {
      this.#connector.planSoon();
    }
  }

  #removePeer({ name }: NodeEntry): void {
    this.#exchange.remove(name);
    this.#peers.remove(name);
    this.#logger.info("peer_lost", { peer: name });
  }
}
