/**
 * Random numbers as a service, so that a test can fix the seed.
 *
 * @module
 */
import { randomBytes } from "node:crypto";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Source of random numbers for all services. */
export interface Random {
  /** A number in [0, 1). */
  fraction(): number;
  /** A whole number in [0, bound). */
  below(bound: number): number;
  /** An id of 16 hexadecimal digits. */
  id(): string;
}

const FRACTION_STEPS = 0x40000000;
const ID_WORDS = 4;
const WORD_LIMIT = 0x10000;
const WORD_DIGITS = 4;

/** A seeded generator; the operating system supplies a missing seed. */
export class SeededRandom implements Random {
  #generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number = randomBytes(4).readInt32LE()) {
    this.#generator = xoroshiro128plus(seed);
  }

  fraction(): number {
    return this.below(FRACTION_STEPS) / FRACTION_STEPS;
  }

  below(bound: number): number {
    return uniformInt(this.#generator, 0, bound - 1);
  }

  id(): string {
    let text = "";
    for (let word = 0; word < ID_WORDS; word++) {
      text += this.below(WORD_LIMIT).toString(16).padStart(WORD_DIGITS, "0");
    }
    return text;
  }
}

/** Takes ids from the operating system, so that no two processes share one. */
export class SystemRandom extends SeededRandom {
  override id(): string {
    return randomBytes(8).toString("hex");
  }
}
