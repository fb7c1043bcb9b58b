/**
 * What this node knows of the other nodes; one task for each connection.
 *
 * @module
 */
import type { PeerConnection, PeerTransport } from "@zinniahill/clients";
import {
  type Clock,
  Condition,
  describeError,
  type Logger,
  type Service,
  TaskGroup,
  withDeadline,
} from "@zinniahill/kernel";
import { planPeerSlots } from "@zinniahill/policy";
import {
  encodePeerMessage,
  type HeartbeatMessage,
  type PeerMessage,
  type PeerMessageOf,
  PROTOCOL_VERSION,
  type Settings,
} from "@zinniahill/schema";
import type { Lifecycle } from "../lifecycle.ts";
import type { NodeKernel } from "../services.ts";
import type { ControlState } from "../state/control-state.ts";
import { Conversation, type Peer } from "./conversation.ts";
import { EvidenceFilter } from "./evidence-filter.ts";
import { hashName } from "@zinniahill/clients";
import { PeerRegistry } from "./registry.ts";
import { isRelayable, Relay } from "./relay.ts";
import { PeerSlots } from "./slots.ts";
import { UsageExchange } from "./usage-exchange.ts";

export { type Peer } from "./conversation.ts";

type PeerListener = (node: string, message: PeerMessage) => void;

/** Knows the other nodes. */
export class Peers implements Service {
  #clock: Clock;
  #logger: Logger;
  #settings: Settings;
  #lifecycle: Lifecycle;
  #state: ControlState;
  #transport: PeerTransport;
  #tasks: TaskGroup;
  #instance: string;
  #registry: PeerRegistry;
  #relay: Relay;
  #filter: EvidenceFilter;
  #slots: PeerSlots;
  #usage: UsageExchange;
  /** Notified when the next heartbeats should not be put off. */
  #news = new Condition();
  #isPartial: boolean;
  #startedAt = 0;
  #listeners = new Map<PeerMessage["kind"], PeerListener[]>();
  #readLoad: () => number = () => 0;

  constructor(kernel: NodeKernel) {
    this.#clock = kernel.find("clock");
    this.#logger = kernel.find("logger");
    this.#settings = kernel.find("settings");
    this.#lifecycle = kernel.find("lifecycle");
    this.#state = kernel.find("state");
    this.#transport = kernel.find("peerTransport");
    this.#tasks = new TaskGroup(this.#clock, this.#logger);
    this.#instance = kernel.find("random").id();
    const { node, limits, timing } = this.#settings;
    this.#registry = new PeerRegistry(this.#clock, this.#logger, {
      name: node.name,
      instance: this.#instance,
      heartbeatMs: timing["heartbeat-interval"],
    });
    this.#relay = new Relay(node.name, this.#instance);
    this.#filter = new EvidenceFilter(timing["evidence-validity"]);
    const plan = planPeerSlots(
      node["peer-address"],
      node.peers ?? [],
      limits["peer-connections"],
      hashName,
    );
    this.#isPartial = plan.some(({ length }) => length > 1);
    this.#slots = this.#createSlots(plan);
    this.#usage = this.#createUsageExchange();
  }

  async start(): Promise<void> {
    this.#startedAt = this.#clock.now();
    const ownAddress = this.#settings.node["peer-address"];
    await this.#transport.listen(ownAddress, (connection) => {
      this.#converse(connection, false);
    });
    this.#slots.start(this.#tasks);
    this.#watch(this.#lifecycle.changed);
    if (this.#isPartial) {
      this.#tasks.run("keep_place", (signal) => this.#usage.keepPlace(signal));
      this.#tasks.run("pass_usage", (signal) => this.#usage.passTotals(signal));
      this.#watch(this.#usage.moved);
    }
  }

  stop(): Promise<void> {
    return this.#tasks.stop();
  }

  dump(): unknown {
    return {
      instance: this.#instance,
      isPartial: this.#isPartial,
      faults: Object.fromEntries(this.#registry.faults),
      peers: this.list(),
    };
  }

  /** Notified whenever a peer connects or disconnects. */
  get changed(): Condition {
    return this.#registry.changed;
  }

  /** Whether the peers that can be reached have had time to connect. */
  get hasSettled(): boolean {
    const waitedMs = this.#clock.now() - this.#startedAt;
    return this.#slots.areTried ||
      waitedMs >= this.#settings.timing["peer-deadline"];
  }

  /** This node's load as its heartbeats report it; 1 is a full node. */
  get load(): number {
    return this.#readLoad();
  }

  /** Sets where heartbeats take this node's load from. */
  reportLoad(readLoad: () => number): void {
    this.#readLoad = readLoad;
  }

  /** Connections over which one report of usage is sent at once. */
  get usageReceivers(): number {
    return this.#isPartial ? 0 : this.#registry.live.size;
  }

  /** Peers that are connected. */
  list(): Peer[] {
    return this.#registry.list();
  }

  /**
   * Calls `listener` for every message of a kind that a peer sends. A message
   * that was passed on is given with the name of the node that it comes from.
   */
  onMessage<Kind extends PeerMessage["kind"]>(
    kind: Kind,
    listener: (node: string, message: PeerMessageOf<Kind>) => void,
  ): void {
    const listeners = this.#listeners.get(kind) ?? [];
    this.#listeners.set(kind, [...listeners, listener as PeerListener]);
  }

  /**
   * Sends a message to every peer that is connected. Where a node has no
   * connection to some others, peers pass evidence on to them, and usage
   * reaches them in totals.
   */
  broadcast(message: PeerMessage): void {
    if (this.#isPartial && message.kind === "usage") {
      this.#usage.noteOwn(message.accounts);
      return;
    }
    if (this.#isPartial && isRelayable(message)) {
      this.#passOn(this.#relay.wrap(message));
    } else {
      this.#sendToAll(message);
    }
  }

  /** Sends a message to one peer; does nothing when it is not connected. */
  send(node: string, message: PeerMessage): void {
    this.#registry.live.get(node)?.send(encodePeerMessage(message));
  }

  #passOn(relayed: PeerMessageOf<"relayed">, except?: Conversation): void {
    const { message } = relayed;
    const hosts = this.#filter.select(message.hosts, this.#clock.now());
    if (hosts.length > 0) {
      const selected = { ...relayed, message: { ...message, hosts } };
      this.#sendToAll(selected, except, new Set(this.#usage.links));
    }
  }

  #sendToAll(
    message: PeerMessage,
    except?: Conversation,
    nodes: { has(node: string): boolean } = this.#registry.live,
  ): void {
    const bytes = encodePeerMessage(message);
    for (const [node, conversation] of this.#registry.live) {
      if (conversation !== except && nodes.has(node)) {
        conversation.send(bytes);
      }
    }
  }

  #createSlots(plan: ReturnType<typeof planPeerSlots>): PeerSlots {
    const registry = this.#registry;
    return new PeerSlots(this.#clock, {
      isConnected: (address) => registry.findByAddress(address) !== undefined,
      dial: (address, signal) => this.#dial(address, signal),
      release: (address) => {
        const conversation = registry.findByAddress(address);
        if (conversation?.isDialled === true) {
          conversation.end("surplus");
        }
      },
      waitForChange: (signal) => registry.changed.wait(signal),
    }, plan);
  }

  #watch(changed: Condition): void {
    this.#tasks.run("watch_news", async (signal) => {
      while (!signal.aborted) {
        await changed.wait(signal);
        this.#news.notify();
      }
    });
  }

  #createUsageExchange(): UsageExchange {
    const { node, timing } = this.#settings;
    return new UsageExchange(this.#clock, {
      node: node.name,
      deadlineMs: timing["peer-deadline"],
      heartbeatMs: timing["heartbeat-interval"],
      listConnected: () => new Set(this.#registry.live.keys()),
      send: (peer, bytes) => this.#registry.live.get(peer)?.send(bytes),
      report: (message) => this.#notify("", message),
    });
  }

  /** Connects and waits until the peer was admitted and has sent a heartbeat. */
  async #dial(address: string, signal: AbortSignal): Promise<boolean> {
    const limitMs = this.#settings.timing["peer-deadline"];
    try {
      const connection = await withDeadline(
        this.#clock,
        limitMs,
        signal,
        (limited) => this.#transport.connect(address, limited),
      );
      const conversation = this.#converse(connection, true);
      const hasSpoken = () => conversation.peer?.heartbeat !== undefined;
      await this.#registry.changed.until(
        () => hasSpoken() || conversation.isEnded,
        signal,
      );
      return this.#registry.findByAddress(address) !== undefined;
    } catch (failure) {
      this.#logger.debug("peer_unreachable", {
        address,
        error: describeError(failure),
      });
      return false;
    }
  }

  #converse(connection: PeerConnection, isDialled: boolean): Conversation {
    const { timing } = this.#settings;
    const conversation = new Conversation(
      {
        clock: this.#clock,
        deadlineMs: timing["peer-deadline"],
        heartbeatMs: timing["heartbeat-interval"],
        createHello: () => this.#createHello(),
        createHeartbeat: (sequence) => this.#createHeartbeat(sequence),
        waitForNews: (signal) => this.#news.wait(signal),
        admit: (source, hello) => this.#registry.admit(source, hello),
        deliver: (source, message) => this.#deliver(source, message),
        onEnd: (source, fault) => this.#registry.remove(source, fault),
      },
      connection,
      isDialled,
    );
    this.#tasks.run("serve_peer", (signal) => conversation.run(signal));
    return conversation;
  }

  #deliver(source: Conversation, message: PeerMessage): void {
    const node = source.peer?.hello.node;
    if (node === undefined) {
      return;
    }
    if (message.kind === "heartbeat" && message.tree !== undefined) {
      this.#usage.notePlace(node, message.tree);
    }
    if (message.kind === "usage-total") {
      this.#usage.noteTotal(node, message);
    } else if (message.kind !== "relayed") {
      this.#notify(node, message);
    } else if (this.#relay.accept(message)) {
      this.#passOn(message, source);
      this.#notify(message.origin, message.message);
    }
    if (message.kind === "heartbeat" && message.sequence === 1) {
      this.#registry.changed.notify();
    }
  }

  /** A listener that fails must not end the connection of the peer. */
  #notify(node: string, message: PeerMessage): void {
    for (const listener of this.#listeners.get(message.kind) ?? []) {
      try {
        listener(node, message);
      } catch (failure) {
        this.#logger.error("peer_listener_failed", {
          kind: message.kind,
          error: describeError(failure),
        });
      }
    }
  }

  #createHello(): PeerMessageOf<"hello"> {
    const { node } = this.#settings;
    return {
      kind: "hello",
      protocol: PROTOCOL_VERSION,
      node: node.name,
      instance: this.#instance,
      dataCentre: node["data-centre"],
      publicAddress: node["public-address"],
      peerAddress: node["peer-address"],
    };
  }

  #createHeartbeat(sequence: number): HeartbeatMessage {
    return {
      kind: "heartbeat",
      sequence,
      configurationVersion: this.#state.control.configuration.version,
      controlOffset: this.#state.control.asOf,
      ...(this.#state.era === 0 ? {} : { era: this.#state.era }),
      logReachable: this.#state.isLogReachable,
      load: this.#readLoad(),
      stopping: this.#lifecycle.isStopping,
      ...(this.#isPartial ? { tree: this.#usage.place } : {}),
    };
  }
}
