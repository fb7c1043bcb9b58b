/**
 * The task of one connection to a peer, in both directions.
 *
 * @module
 */
import type { PeerConnection } from "@zinniahill/clients";
import { type Clock, DeadlineError, withDeadline } from "@zinniahill/kernel";
import {
  decodePeerMessage,
  encodePeerMessage,
  type HeartbeatMessage,
  MAX_PEER_MESSAGE_BYTES,
  type PeerMessage,
  type PeerMessageOf,
} from "@zinniahill/schema";
import { createMachine, interpret, state, transition } from "robot3";

/** Why a connection was ended by this node. */
export type PeerFault =
  | "duplicate"
  | "malformed"
  | "name-conflict"
  | "overflow"
  | "replaced"
  | "self"
  | "silent"
  | "stopped"
  | "surplus"
  | "too-large"
  | "transport"
  | "unexpected"
  | "wrong-protocol";

/** What is known of a peer that is connected. */
export interface Peer {
  readonly hello: PeerMessageOf<"hello">;
  heartbeat?: HeartbeatMessage;
  /** Time of this node's clock when the peer was last heard. */
  heardAt: number;
}

/** What a conversation asks of the service that owns it. */
export interface ConversationOwner {
  readonly clock: Clock;
  /** Silence after which a connection is replaced by a new one. */
  readonly deadlineMs: number;
  readonly heartbeatMs: number;
  createHello(): PeerMessageOf<"hello">;
  createHeartbeat(sequence: number): HeartbeatMessage;
  /** Waits until the next heartbeat should not be put off. */
  waitForNews(signal: AbortSignal): Promise<void>;
  /** Decides on a peer that has greeted; a fault ends the connection. */
  admit(
    conversation: Conversation,
    hello: PeerMessageOf<"hello">,
  ): PeerFault | undefined;
  /** Receives every message that follows the greeting. */
  deliver(conversation: Conversation, message: PeerMessage): void;
  onEnd(conversation: Conversation, fault: PeerFault | undefined): void;
}

/**
 * Bytes that may wait for a slow peer. Only a snapshot, which has its own
 * limit, can make the queue longer, since the bound is checked before sending.
 */
export const MAX_QUEUED_BYTES = 1024 * 1024;

const machine = createMachine({
  greeting: state(transition("admit", "live"), transition("end", "ended")),
  live: state(transition("end", "ended")),
  ended: state(),
});

/** One connection, from its greeting to its end. */
export class Conversation {
  readonly isDialled: boolean;
  #owner: ConversationOwner;
  #connection: PeerConnection;
  #machine = interpret(machine, () => {});
  #closing = new AbortController();
  #fault: PeerFault | undefined;
  #peer: Peer | undefined;

  constructor(
    owner: ConversationOwner,
    connection: PeerConnection,
    isDialled: boolean,
  ) {
    this.#owner = owner;
    this.#connection = connection;
    this.isDialled = isDialled;
  }

  /** The peer, once it has greeted and was admitted. */
  get peer(): Peer | undefined {
    return this.#peer;
  }

  /** Whether messages can be exchanged. */
  get isLive(): boolean {
    return this.#machine.machine.current === "live";
  }

  /** Whether the connection has ended. */
  get isEnded(): boolean {
    return this.#machine.machine.current === "ended";
  }

  /** Sends an encoded message; ends the connection if its queue is too long. */
  send(bytes: Uint8Array): void {
    if (this.#connection.queuedBytes > MAX_QUEUED_BYTES) {
      this.end("overflow");
      return;
    }
    this.#connection.send(bytes);
  }

  /** Ends the connection. */
  end(fault: PeerFault): void {
    this.#fault ??= fault;
    this.#closing.abort();
  }

  /** Greets, then exchanges messages until the connection ends. */
  async run(signal: AbortSignal): Promise<void> {
    const ended = AbortSignal.any([signal, this.#closing.signal]);
    this.send(encodePeerMessage(this.#owner.createHello()));
    const beating = this.#beat(ended);
    try {
      await this.#greet(ended);
      while (this.isLive) {
        const message = await this.#receive(ended);
        if (message === undefined) {
          return;
        }
        this.#accept(message);
      }
    } catch (failure) {
      this.#fault ??= findFault(failure, signal);
    } finally {
      this.#closing.abort();
      this.#machine.send("end");
      this.#connection.close();
      await beating;
      this.#owner.onEnd(this, this.#fault);
    }
  }

  async #greet(signal: AbortSignal): Promise<void> {
    const message = await this.#receive(signal);
    if (message === undefined) {
      return;
    }
    if (message.kind !== "hello") {
      this.end("unexpected");
      return;
    }
    this.#peer = { hello: message, heardAt: this.#owner.clock.now() };
    const fault = this.#owner.admit(this, message);
    if (fault !== undefined) {
      this.end(fault);
      return;
    }
    this.#machine.send("admit");
  }

  #accept(message: PeerMessage): void {
    this.#peer!.heardAt = this.#owner.clock.now();
    if (message.kind === "hello") {
      this.end("unexpected");
      return;
    }
    if (message.kind === "heartbeat") {
      this.#peer!.heartbeat = message;
    }
    this.#owner.deliver(this, message);
  }

  /** Waits for a message; undefined when the connection has ended. */
  async #receive(signal: AbortSignal): Promise<PeerMessage | undefined> {
    const bytes = await withDeadline(
      this.#owner.clock,
      this.#owner.deadlineMs,
      signal,
      (limited) => this.#connection.receive(limited),
    );
    if (bytes === undefined) {
      this.#fault ??= this.#connection.failure === undefined
        ? undefined
        : "transport";
      return undefined;
    }
    if (bytes.length > MAX_PEER_MESSAGE_BYTES) {
      this.end("too-large");
      return undefined;
    }
    const message = decodePeerMessage(bytes);
    if (message.isErr) {
      this.end("malformed");
      return undefined;
    }
    return message.value;
  }

  /** Sends heartbeats at a fixed interval, and at once when there is news. */
  async #beat(signal: AbortSignal): Promise<void> {
    for (let sequence = 1; !signal.aborted; sequence++) {
      const heartbeat = this.#owner.createHeartbeat(sequence);
      this.send(encodePeerMessage(heartbeat));
      try {
        await withDeadline(
          this.#owner.clock,
          this.#owner.heartbeatMs,
          signal,
          (limited) => this.#owner.waitForNews(limited),
        );
      } catch {
        // Either the interval has passed or the connection has ended.
      }
    }
  }
}

function findFault(failure: unknown, signal: AbortSignal): PeerFault {
  if (signal.aborted) {
    return "stopped";
  }
  const isSilent = failure instanceof DeadlineError;
  return isSilent ? "silent" : "transport";
}
