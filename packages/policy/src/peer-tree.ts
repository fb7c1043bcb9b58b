/**
 * A spanning tree over the connections between nodes.
 *
 * @module
 */

/** What a node tells its neighbours of its place in the tree. */
export interface TreePosition {
  /** The node with the lowest name that is known to live. */
  readonly root: string;
  /** Raised by the root at a fixed interval. */
  readonly rootSequence: number;
  readonly depth: number;
  /** Empty at the root, and while a node looks for a new parent. */
  readonly parent: string;
}

/** Waves that the parent may be behind another neighbour. */
const LATE_WAVES = 3;
/** Roots that were lost and are remembered, so that they do not come back. */
const MAX_LOST_ROOTS = 64;

/**
 * Chooses this node's parent. A parent has a higher rootSequence of the same root, or
 * the same rootSequence and a lower depth; since no node's place becomes worse while
 * its root lives, parents never form a cycle. A root whose rootSequence no longer rises
 * is lost; it is accepted again only with a higher rootSequence.
 */
export class PeerTree {
  #own: string;
  #validityMs: number;
  #place: TreePosition;
  #raisedAt: number;
  #neighbours = new Map<string, TreePosition>();
  #lost = new Map<string, number>();

  /** `rootSequence` must be higher than the last rootSequence of an earlier process. */
  constructor(
    own: string,
    rootSequence: number,
    validityMs: number,
    now: number,
  ) {
    this.#own = own;
    this.#validityMs = validityMs;
    this.#raisedAt = now;
    this.#place = { root: own, rootSequence, depth: 0, parent: "" };
  }

  /** This node's place, as it is told to the neighbours. */
  get position(): TreePosition {
    return this.#place;
  }

  /** Neighbours along the tree: the parent and the children. */
  get links(): string[] {
    return [...this.#neighbours]
      .filter(([node, place]) =>
        node === this.#place.parent || place.parent === this.#own
      )
      .map(([node]) => node);
  }

  /** Begins a rootSequence as the root, or gives up a root that is silent. */
  advance(rootSequence: number, now: number): void {
    const { root, rootSequence: known } = this.#place;
    if (root === this.#own) {
      this.#place = {
        ...this.#place,
        rootSequence: Math.max(rootSequence, known + 1),
      };
    } else if (now - this.#raisedAt > this.#validityMs) {
      this.#giveUpRoot();
      this.#place = { root: this.#own, rootSequence, depth: 0, parent: "" };
    }
  }

  /** Takes in the place of a neighbour. */
  updateNeighbour(node: string, place: TreePosition, now: number): void {
    this.#neighbours.set(node, place);
    const { root, rootSequence, parent } = this.#place;
    if (node === parent && place.root !== root) {
      this.#follow(node, place, now);
    } else if (place.parent !== this.#own && this.#isBetter(node, place)) {
      if (place.root !== root || place.rootSequence > rootSequence) {
        this.#raisedAt = now;
      }
      this.#place = {
        root: place.root,
        rootSequence: place.rootSequence,
        depth: place.depth + 1,
        parent: node,
      };
    }
  }

  /** Forgets neighbours that are no longer connected. */
  retain(connected: ReadonlySet<string>): void {
    for (const node of this.#neighbours.keys()) {
      if (!connected.has(node)) {
        this.#neighbours.delete(node);
      }
    }
    const { parent } = this.#place;
    if (parent === "" || connected.has(parent)) {
      return;
    }
    this.#place = { ...this.#place, parent: "" };
    if (parent === this.#place.root) {
      // If the root lives, its next rootSequence arrives over another connection.
      this.#raisedAt = Number.NEGATIVE_INFINITY;
    }
  }

  /** Stays below a parent that has another root, so that its links remain. */
  #follow(node: string, place: TreePosition, now: number): void {
    if (place.parent === this.#own || place.root === this.#own) {
      this.#place = { ...this.#place, parent: "" };
      return;
    }
    if (place.root > this.#place.root) {
      this.#giveUpRoot();
    }
    this.#raisedAt = now;
    this.#place = {
      root: place.root,
      rootSequence: place.rootSequence,
      depth: place.depth + 1,
      parent: node,
    };
  }

  #giveUpRoot(): void {
    this.#lost.set(this.#place.root, this.#place.rootSequence);
    if (this.#lost.size > MAX_LOST_ROOTS) {
      const [oldest] = this.#lost.keys();
      this.#lost.delete(oldest!);
    }
  }

  #isBetter(node: string, place: TreePosition): boolean {
    const { root, rootSequence, depth, parent } = this.#place;
    if (place.root !== root) {
      return place.root < root &&
        place.rootSequence > (this.#lost.get(place.root) ?? -1);
    }
    if (root === this.#own) {
      return false;
    }
    if (place.rootSequence === rootSequence) {
      return place.depth + 1 < depth;
    }
    const limit = node === parent || parent === ""
      ? rootSequence + 1
      : place.depth + 1 < depth
      ? rootSequence + 1
      : rootSequence + LATE_WAVES;
    return place.rootSequence >= limit;
  }
}
