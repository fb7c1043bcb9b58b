/**
 * The part of an answer that the caller has had.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { ChatChunk } from "@zinniahill/schema";

const DATA_PREFIX = "data: ";
/**
 * Undecoded events that are kept. They take about 20 times the space of their
 * text, so a long answer is decoded in steps; a short one only on resume.
 */
const MAX_UNDECODED_BYTES = 64 * 1024;

/** Keeps what was delivered, undecoded until it is asked for. */
export class DeliveredText {
  #text = "";
  #events: Uint8Array[] = [];
  #undecodedBytes = 0;

  /** Adds whole events that were delivered. */
  push(events: Uint8Array): void {
    this.#events.push(events);
    this.#undecodedBytes += events.length;
    if (this.#undecodedBytes > MAX_UNDECODED_BYTES) {
      this.#decode();
    }
  }

  /** Returns the text so far. */
  read(): string {
    this.#decode();
    return this.#text;
  }

  #decode(): void {
    const events = Buffer.concat(this.#events);
    this.#events = [];
    this.#undecodedBytes = 0;
    this.#text += readChunks(events).map(readContent).join("");
  }
}

function readChunks(events: Uint8Array): ChatChunk[] {
  return Buffer.from(events.buffer, events.byteOffset, events.byteLength)
    .toString()
    .split("\n")
    .filter((line) => line.startsWith(DATA_PREFIX))
    .map((line) => ChatChunk.parse(JSON.parse(line.slice(DATA_PREFIX.length))));
}

function readContent(chunk: ChatChunk): string {
  return chunk.choices[0]?.delta.content ?? "";
}

/** Returns why an answer ends with an event; null when it goes on. */
export function readFinishReason(event: Uint8Array): string | null {
  return readChunks(event).at(-1)?.choices[0]?.finish_reason ?? null;
}
