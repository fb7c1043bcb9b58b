/**
 * The records of the fleet's store: topics with partitions, and the newest
 * record of each key of keyed topics.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { Condition } from "@zinniahill/kernel";

/** One record of a partition. */
export interface StoredRecord {
  readonly offset: number;
  readonly key: string;
  readonly value: Buffer;
}

const LENGTH_BYTES = 4;

/** A partition whose records have keys. */
export class KeyedPartition {
  readonly changed = new Condition();
  #records: StoredRecord[] = [];
  #newest = new Map<string, StoredRecord>();
  #first = 0;
  #end = 0;

  get first(): number {
    return this.#first;
  }

  get end(): number {
    return this.#end;
  }

  /** Appends one record; an empty value deletes the key. */
  append(key: string, value: Buffer): number {
    const record = { offset: this.#end, key, value };
    this.#records.push(record);
    this.#end++;
    if (value.length === 0) {
      this.#newest.delete(key);
    } else {
      this.#newest.set(key, record);
    }
    this.changed.notify();
    return record.offset;
  }

  /** Appends all records of a call's body. */
  appendEncoded(body: Buffer): number {
    const offset = this.#end;
    for (let at = 0; at + LENGTH_BYTES <= body.length;) {
      const begin = at + LENGTH_BYTES;
      at = begin + body.readUInt32BE(at);
      const keyEnd = begin + 1 + body[begin]!;
      const key = body.subarray(begin + 1, keyEnd).toString();
      this.append(key, Buffer.from(body.subarray(keyEnd, at)));
    }
    return offset;
  }

  /** Copies all records and offsets. */
  clone(): KeyedPartition {
    const partition = new KeyedPartition();
    partition.#records = [...this.#records];
    partition.#newest = new Map(this.#newest);
    partition.#first = this.#first;
    partition.#end = this.#end;
    return partition;
  }

  /** Drops the history; the newest record of each key stays. */
  compact(): void {
    this.#records = [];
    this.#first = this.#end;
  }

  listFrom(offset: number): StoredRecord[] {
    return this.#records.filter((record) => record.offset >= offset);
  }

  listNewest(): StoredRecord[] {
    return [...this.#newest.values()];
  }
}

/** Encodes records as a read returns them. */
export function encodeBatch(
  { first, end }: Pick<KeyedPartition, "first" | "end">,
  records: readonly StoredRecord[],
): Buffer {
  const head = Buffer.alloc(16);
  head.writeBigUInt64BE(BigInt(end), 0);
  head.writeBigUInt64BE(BigInt(first), 8);
  const parts = records.map(({ key, value }) => {
    const keyBytes = Buffer.from(key);
    const content = Buffer.concat([
      Buffer.of(keyBytes.length),
      keyBytes,
      value,
    ]);
    const length = Buffer.alloc(LENGTH_BYTES);
    length.writeUInt32BE(content.length);
    return Buffer.concat([length, content]);
  });
  return Buffer.concat([head, ...parts]);
}
