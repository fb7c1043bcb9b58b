/**
 * Forwards messages between nodes that are not connected with each other.
 *
 * A message from a spoke goes to all other links; one from a hub only to
 * spokes. As all hubs are connected and links to hubs go up the order in which
 * nodes become hubs, no message returns to a node that has it.
 *
 * @module
 */
import type { Clock } from "@zinniahill/kernel";
import type {
  ForwardedMessage,
  NodeEntry,
  PeerMessage,
  TopologyRole,
} from "../model/peer-message.ts";
import type { Link, LinkTable } from "./link.ts";
import { encodeMessage } from "./peer-codec.ts";

/** The last heartbeat of a node since the last ones were forwarded. */
interface PendingHeartbeat {
  readonly message: ForwardedMessage;
  /** The role of the end that it came from. */
  readonly from: TopologyRole;
  readonly sentAt: number;
}

/** Roles of the ends to which a message goes, by the role it came from. */
const FORWARD_ROLES: Readonly<Record<TopologyRole, readonly TopologyRole[]>> = {
  peer: [],
  hub: ["spoke"],
  spoke: ["spoke", "hub"],
};

/** Forwards messages at once, and heartbeats with the next own one. */
export class Forwarder {
  #clock: Pick<Clock, "now">;
  #links: LinkTable;
  #findVia: (name: string) => string | undefined;
  #pending = new Map<string, PendingHeartbeat>();

  /** `findVia` returns the end over whose link a node's messages come. */
  constructor(
    clock: Pick<Clock, "now">,
    links: LinkTable,
    findVia: (name: string) => string | undefined,
  ) {
    this.#clock = clock;
    this.#links = links;
    this.#findVia = findVia;
  }

  /** Forwards a message that came over a link, or one of this node. */
  forward(message: ForwardedMessage, from: Link | undefined): void {
    const targets = message.target === undefined
      ? this.#listTargets(from)
      : this.#findRoute(message.target, from);
    if (targets.length > 0) {
      this.#links.send(
        targets,
        encodeMessage({ kind: "forward", messages: [message] }),
      );
    }
  }

  /** Keeps a heartbeat until the next own one. */
  addHeartbeat(message: ForwardedMessage, from: Link): void {
    if (this.#listTargets(from).length > 0) {
      this.#pending.set(message.origin, {
        message,
        from: from.role,
        sentAt: this.#clock.now() - message.ageMs,
      });
    }
  }

  /** Lists the heartbeats for ends of a role, with their current age. */
  listHeartbeats(role: TopologyRole): ForwardedMessage[] {
    const now = this.#clock.now();
    return [...this.#pending.values()]
      .filter(({ from }) => FORWARD_ROLES[from].includes(role))
      .map(({ message, sentAt }) => ({ ...message, ageMs: now - sentAt }));
  }

  clearHeartbeats(): void {
    this.#pending.clear();
  }

  #listTargets(from: Link | undefined): Link[] {
    const roles = FORWARD_ROLES[from?.role ?? "spoke"];
    return this.#links.list().filter((link) =>
      link !== from && roles.includes(link.role)
    );
  }

  #findRoute(target: string, from: Link | undefined): Link[] {
    const link = this.#links.find(target) ??
      this.#links.find(this.#findVia(target) ?? "");
    return link === undefined || link === from ? [] : [link];
  }
}

/** Wraps a message of a node so that others can forward it. */
export function createForwardedMessage(
  { name, incarnation }: NodeEntry,
  message: PeerMessage,
  fields: Partial<Pick<ForwardedMessage, "target" | "ageMs">> = {},
): ForwardedMessage {
  return {
    origin: name,
    incarnation,
    ageMs: 0,
    content: encodeMessage(message),
    ...fields,
  };
}
