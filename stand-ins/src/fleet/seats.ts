/**
 * Membership of a group at the store: partitions are dealt evenly, and one is
 * dealt anew only when its holder has agreed, has left or has fallen silent.
 *
 * @module
 */

interface Member {
  heardAt: number;
  ttlMs: number;
  seenGeneration: number;
  held: Set<number>;
}

/** What a member is told. */
export interface Seat {
  readonly generation: number;
  readonly parts: readonly number[];
}

/** Members of one group and the partitions that they hold. */
export class Seats {
  #partCount: number;
  #members = new Map<string, Member>();
  #generation = 0;

  constructor(partCount: number) {
    this.#partCount = partCount;
  }

  /** Adds a member or keeps it. */
  join(name: string, generation: number, ttlMs: number, now: number): Seat {
    this.#expire(now);
    let member = this.#members.get(name);
    if (member === undefined) {
      member = { heardAt: now, ttlMs, seenGeneration: 0, held: new Set() };
      this.#members.set(name, member);
      this.#generation++;
    }
    member.heardAt = now;
    member.ttlMs = ttlMs;
    member.seenGeneration = generation;
    this.#deal(name, member);
    return { generation: this.#generation, parts: [...member.held] };
  }

  /** Copies the members; those of the copy count as heard from now. */
  clone(now: number): Seats {
    const seats = new Seats(this.#partCount);
    seats.#generation = this.#generation;
    for (const [name, member] of this.#members) {
      const held = new Set(member.held);
      seats.#members.set(name, { ...member, heardAt: now, held });
    }
    return seats;
  }

  leave(name: string): void {
    if (this.#members.delete(name)) {
      this.#generation++;
    }
  }

  #expire(now: number): void {
    for (const [name, { heardAt, ttlMs }] of this.#members) {
      if (now - heardAt > ttlMs) {
        this.leave(name);
      }
    }
  }

  /** A member gives up what is not meant for it and takes what is free. */
  #deal(name: string, member: Member): void {
    const names = [...this.#members.keys()].sort();
    const own = names.indexOf(name);
    for (let part = 0; part < this.#partCount; part++) {
      const isMeant = part % names.length === own;
      const isFree = [...this.#members.values()]
        .every(({ held }) => !held.has(part));
      if (isMeant && isFree) {
        member.held.add(part);
      } else if (!isMeant && member.seenGeneration >= this.#generation) {
        member.held.delete(part);
      }
    }
  }
}
