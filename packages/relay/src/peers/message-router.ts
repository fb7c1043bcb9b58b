/**
 * Handles the messages of other nodes, and forwards those that concern more
 * nodes.
 *
 * @module
 */
import type { Logger } from "@zinniahill/kernel";
import type {
  ForwardedMessage,
  MessageOf,
  NodeEntry,
  PeerMessage,
} from "../model/peer-message.ts";
import type { FeedExchange } from "./feed-exchange.ts";
import { createForwardedMessage, type Forwarder } from "./forwarder.ts";
import { type Link, type LinkTable, sendBytes } from "./link.ts";
import type { NodeDirectory } from "./node-directory.ts";
import { decodeMessage, encodeMessage } from "./peer-codec.ts";
import type { ForwardedKind, MessageListeners } from "./peer.ts";
import type { PeerTable } from "./peer-table.ts";

type Heartbeat = MessageOf<"beat">;

/** Handlers of messages, by kind. */
type Handlers = {
  [Kind in PeerMessage["kind"]]: (
    link: Link,
    message: MessageOf<Kind>,
  ) => void;
};

/** The parts of the mesh that messages change or are answered from. */
export interface RouterParts {
  readonly logger: Logger;
  readonly directory: NodeDirectory;
  readonly links: LinkTable;
  readonly peers: PeerTable;
  readonly forwarder: Forwarder;
  readonly exchange: FeedExchange;
  addNode(entry: NodeEntry): void;
  createHeartbeat(): Heartbeat;
}

/** Passes each message to its handler. */
export class MessageRouter {
  #logger: Logger;
  #directory: NodeDirectory;
  #links: LinkTable;
  #peers: PeerTable;
  #forwarder: Forwarder;
  #exchange: FeedExchange;
  #source: Pick<RouterParts, "addNode" | "createHeartbeat">;
  #listeners: MessageListeners = {};

  constructor(parts: RouterParts) {
    this.#logger = parts.logger;
    this.#directory = parts.directory;
    this.#links = parts.links;
    this.#peers = parts.peers;
    this.#forwarder = parts.forwarder;
    this.#exchange = parts.exchange;
    this.#source = parts;
  }

  /** Sets the listener for a kind of message that other services handle. */
  setListener<Kind extends ForwardedKind>(
    kind: Kind,
    listener: MessageListeners[Kind] & object,
  ): void {
    this.#listeners[kind] = listener;
  }

  /** Handles a message that came over a link. */
  handle(link: Link, message: PeerMessage): void {
    this.#peers.recordMessage(link.entry, link.entry.name);
    const handle = this.#handlers[message.kind] as (
      link: Link,
      message: PeerMessage,
    ) => void;
    handle(link, message);
  }

  /** Handlers of messages from the other end of a link. */
  readonly #handlers: Handlers = {
    hello: (link, { entry, known }) => {
      [entry, ...known].forEach((node) => this.#source.addNode(node));
      if (link.role === "spoke") {
        // A spoke that starts has to know at once who holds placement.
        const forwarded = this.#peers.listForwarded();
        this.#reply(link, { ...this.#source.createHeartbeat(), forwarded });
      }
    },
    beat: (link, heartbeat) => {
      const { name } = link.entry;
      this.#peers.recordHeartbeat(link.entry, heartbeat);
      this.#exchange.listFetches(name, heartbeat)
        .forEach((fetch) => this.#reply(link, fetch));
      const own = { ...heartbeat, forwarded: [] };
      this.#forwardHeartbeat(
        link,
        heartbeat,
        createForwardedMessage(link.entry, own),
      );
      heartbeat.forwarded.forEach((message) =>
        this.#handleForwarded(link, message)
      );
    },
    forward: (link, { messages }) =>
      messages.forEach((message) => this.#handleForwarded(link, message)),
    fetch: (link, message) =>
      this.#reply(link, this.#exchange.answerFetch(message)),
    records: (link, message) =>
      this.#exchange.applyRecords(link.entry.name, message),
    news: (link, message) => this.#handleAndForward(link, message),
    suspect: (link, message) => this.#handleAndForward(link, message),
    crash: (link, message) => this.#handleAndForward(link, message),
    cleared: (link, message) => this.#handleAndForward(link, message),
    limit: (link, message) => this.#handleAndForward(link, message),
    release: (link, message) => this.#handleAndForward(link, message),
    released: (link, message) =>
      this.#listeners.released?.(message, link.entry),
  };

  #handleAndForward(
    link: Link,
    message: MessageOf<Exclude<ForwardedKind, "released">>,
  ): void {
    this.#notifyListener(link.entry, message);
    this.#forwarder.forward(createForwardedMessage(link.entry, message), link);
  }

  /** Handles a message that another node sent, and forwards it further. */
  #handleForwarded(link: Link, message: ForwardedMessage): void {
    const { origin, incarnation, target, ageMs, content } = message;
    const { own } = this.#directory;
    if (origin === own.name) {
      return;
    }
    if (target !== undefined && target !== own.name) {
      this.#forwarder.forward(message, link);
      return;
    }
    const decoded = decodeMessage(content);
    if (decoded.isErr) {
      this.#logger.warn("peer_message_unreadable", {
        peer: origin,
        error: decoded.error,
      });
      return;
    }
    const entry = this.#directory.find(origin);
    const isKnown = entry?.incarnation === incarnation;
    // Messages of a linked node also arrive directly.
    const isLinked = this.#links.find(origin) !== undefined;
    if (isKnown && !isLinked) {
      this.#peers.recordMessage(entry, link.entry.name, ageMs);
    }
    if (decoded.value.kind === "beat") {
      if (isKnown && !isLinked) {
        this.#peers.recordHeartbeat(entry, decoded.value, ageMs);
      }
      this.#forwardHeartbeat(link, decoded.value, message);
      return;
    }
    if (isKnown) {
      this.#notifyListener(entry, decoded.value);
    }
    if (target === undefined) {
      this.#forwarder.forward(message, link);
    }
  }

  #forwardHeartbeat(
    link: Link,
    { isUrgent }: Heartbeat,
    message: ForwardedMessage,
  ): void {
    if (isUrgent) {
      this.#forwarder.forward(message, link);
    } else {
      this.#forwarder.addHeartbeat(message, link);
    }
  }

  #notifyListener(sender: NodeEntry, message: PeerMessage): void {
    const listener = this.#listeners[message.kind as ForwardedKind] as
      | ((message: PeerMessage, sender: NodeEntry) => void)
      | undefined;
    listener?.(message, sender);
  }

  #reply({ connection }: Link, message: PeerMessage): void {
    sendBytes(connection, encodeMessage(message));
  }
}
