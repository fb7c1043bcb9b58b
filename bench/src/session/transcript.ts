/**
 * The transcript of a session: what was appended, ordered, called and answered.
 *
 * @module
 */
import type { World, WorldEvent } from "../matrix/world.ts";

type Scalar = string | number | boolean;

/** Fields that hold a random id. */
const ID_FIELDS = new Set(["id", "group", "replaces", "intent"]);
/** Fields that hold a hash of the caller's request. */
const HASH_FIELDS = new Set(["key", "bodyHash"]);
/** Fields that are too long for a line. */
const LONG_FIELDS = new Set(["text", "state", "body"]);

/** Collects lines; random ids are replaced by names in order of appearance. */
export class Transcript {
  #lines: string[] = [];
  #names = new Map<string, string>();
  #counts = new Map<string, number>();

  /** Adds a line that holds no random id. */
  add(line: string): void {
    this.#lines.push(line);
  }

  /** Adds what an event shows; tokens are left out, as answers hold them. */
  note(event: WorldEvent): void {
    const handler = this.#handlers[event.kind] as (event: WorldEvent) => void;
    handler(event);
  }

  /** Adds how every stream and call ended for its caller. */
  noteAnswers(world: World): void {
    for (const { prompt, attempts } of world.records.streams) {
      for (const { node, end, verdict, tokens } of attempts) {
        const words = tokens.join("");
        this.add(
          `answer prompt="${prompt}" node=${node} end=${end} ` +
            `verdict=${verdict ?? "-"} text="${words}"`,
        );
      }
    }
    for (const { key, attempts } of world.records.calls) {
      for (const { node, end, verdict, reply } of attempts) {
        this.add(
          `reply key=${key} node=${node} end=${end} ` +
            `verdict=${verdict ?? "-"} body=${reply ?? "-"}`,
        );
      }
    }
  }

  /** The whole text. */
  toString(): string {
    return `${this.#lines.join("\n")}\n`;
  }

  readonly #handlers: {
    readonly [Kind in WorldEvent["kind"]]: (
      event: Extract<WorldEvent, { kind: Kind }>,
    ) => void;
  } = {
    "append": ({ entry }) => {
      for (const record of entry.records) {
        this.add(`${entry.stream} ${this.#describe(record)}`);
      }
    },
    "order": ({ node, host, order }) => {
      const { order: kind, group, fence } = order;
      this.add(
        `order ${kind} node=${node} host=${host} ` +
          `group=${this.#findName("group", group)} fence=${fence}`,
      );
    },
    "token": () => {},
    "call": ({ node, key }) => this.add(`call node=${node} key=${key}`),
    "node-started": ({ node }) => this.add(`started node=${node}`),
    "stop-begun": ({ node }) => this.add(`stopping node=${node}`),
  };

  #describe(record: unknown): string {
    const fields = Object.entries(record as Record<string, unknown>)
      .filter(([field]) => !LONG_FIELDS.has(field))
      .map(([field, value]) => this.#describeField(field, value));
    return fields.join(" ");
  }

  #describeField(field: string, value: unknown): string {
    if (ID_FIELDS.has(field) || HASH_FIELDS.has(field)) {
      const kind = field === "replaces" ? "group" : field;
      const named = field === "intent" ? "id" : kind;
      return `${field}=${this.#findName(named, String(value))}`;
    }
    const text = Array.isArray(value) ? value.join(",") : value as Scalar;
    return field === "kind" ? String(text) : `${field}=${text}`;
  }

  #findName(kind: string, id: string): string {
    const known = this.#names.get(id);
    if (known !== undefined) {
      return known;
    }
    const count = (this.#counts.get(kind) ?? 0) + 1;
    this.#counts.set(kind, count);
    const name = `<${kind}-${count}>`;
    this.#names.set(id, name);
    return name;
  }
}
