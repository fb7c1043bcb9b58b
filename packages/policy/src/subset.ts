/**
 * Choice of the groups that one node probes and routes to, by rendezvous
 * hashing: nodes choose different groups, and a change of one group changes few
 * choices.
 *
 * @module
 */
import type { GroupState } from "@zinniahill/schema";
import xxhash from "xxhash-wasm";

/** Chooses the groups of one node. */
export class Subset {
  #hash: (text: string) => number;
  #node: string;
  #dataCentre: string;

  constructor(
    hash: (text: string) => number,
    node: string,
    dataCentre: string,
  ) {
    this.#hash = hash;
    this.#node = node;
    this.#dataCentre = dataCentre;
  }

  /**
   * Chooses `size` groups, those of the node's data centre first. Groups that
   * are known to be missing stay chosen, so that their return is noticed, and
   * at most `size` more groups are chosen to replace them.
   */
  choose(
    groups: readonly GroupState[],
    size: number,
    isMissing: (group: GroupState) => boolean,
  ): GroupState[] {
    const chosen: GroupState[] = [];
    let presentCount = 0;
    for (const group of this.#sortByPreference(groups)) {
      if (presentCount >= size || chosen.length >= 2 * size) {
        break;
      }
      chosen.push(group);
      presentCount += isMissing(group) ? 0 : 1;
    }
    return chosen;
  }

  #sortByPreference(groups: readonly GroupState[]): GroupState[] {
    return groups
      .map((group) => ({
        group,
        isLocal: group.dataCentre === this.#dataCentre,
        weight: this.#hash(`${this.#node} ${group.group}`),
      }))
      .sort((a, b) =>
        Number(b.isLocal) - Number(a.isLocal) || b.weight - a.weight
      )
      .map(({ group }) => group);
  }
}

/** Compiles the hash function and creates the subset of a node. */
export async function createSubset(
  node: string,
  dataCentre: string,
): Promise<Subset> {
  const { h32 } = await xxhash();
  return new Subset((text) => h32(text), node, dataCentre);
}
