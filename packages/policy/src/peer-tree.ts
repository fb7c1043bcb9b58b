/**
 * Spanning tree over the connections between nodes.
 *
 * @module
 */

/** A node's position in the tree, as sent to its neighbours. */
export interface TreePosition {
  /** The node with the lowest name among the known live ones. */
  readonly root: string;
  /** Increased by the root at a fixed interval. */
  readonly rootSequence: number;
  readonly depth: number;
  /** Empty at the root, and while a node looks for a new parent. */
  readonly parent: string;
}

/** How far the parent's sequence may be behind another neighbour's. */
const MAX_SEQUENCE_LAG = 3;
/** Lost roots that are remembered; late messages must not restore them. */
const MAX_LOST_ROOTS = 64;

/**
 * Chooses this node's parent. A parent has a higher sequence of the same root,
 * or the same sequence and a lower depth. No node's position becomes worse
 * while its root lives, so parents never form a cycle. A root whose sequence no
 * longer increases is lost; it is accepted again only with a higher sequence.
 */
export class PeerTree {
  #ownNode: string;
  #timeoutMs: number;
  #position: TreePosition;
  #increasedAt: number;
  #neighbours = new Map<string, TreePosition>();
  #lostRoots = new Map<string, number>();

  /** `rootSequence` must be higher than any of an earlier process. */
  constructor(
    ownNode: string,
    rootSequence: number,
    timeoutMs: number,
    now: number,
  ) {
    this.#ownNode = ownNode;
    this.#timeoutMs = timeoutMs;
    this.#increasedAt = now;
    this.#position = { root: ownNode, rootSequence, depth: 0, parent: "" };
  }

  /** This node's position, as sent to the neighbours. */
  get position(): TreePosition {
    return this.#position;
  }

  /** Neighbours along the tree: the parent and the children. */
  get links(): string[] {
    return [...this.#neighbours]
      .filter(([node, position]) =>
        node === this.#position.parent || position.parent === this.#ownNode
      )
      .map(([node]) => node);
  }

  /** Increases the sequence as the root, or gives up a silent root. */
  advance(rootSequence: number, now: number): void {
    const { root, rootSequence: known } = this.#position;
    if (root === this.#ownNode) {
      this.#position = {
        ...this.#position,
        rootSequence: Math.max(rootSequence, known + 1),
      };
    } else if (now - this.#increasedAt > this.#timeoutMs) {
      this.#markRootLost();
      this.#position = {
        root: this.#ownNode,
        rootSequence,
        depth: 0,
        parent: "",
      };
    }
  }

  /** Applies the position of a neighbour. */
  updateNeighbour(node: string, position: TreePosition, now: number): void {
    this.#neighbours.set(node, position);
    const { root, rootSequence, parent } = this.#position;
    if (node === parent && position.root !== root) {
      this.#followParent(node, position, now);
    } else if (
      position.parent !== this.#ownNode && this.#isBetter(node, position)
    ) {
      if (position.root !== root || position.rootSequence > rootSequence) {
        this.#increasedAt = now;
      }
      this.#position = {
        root: position.root,
        rootSequence: position.rootSequence,
        depth: position.depth + 1,
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
    const { parent } = this.#position;
    if (parent === "" || connected.has(parent)) {
      return;
    }
    this.#position = { ...this.#position, parent: "" };
    if (parent === this.#position.root) {
      // If the root lives, its next sequence arrives over another connection.
      this.#increasedAt = Number.NEGATIVE_INFINITY;
    }
  }

  /** Follows the parent to another root, so that the links remain. */
  #followParent(node: string, position: TreePosition, now: number): void {
    if (position.parent === this.#ownNode || position.root === this.#ownNode) {
      this.#position = { ...this.#position, parent: "" };
      return;
    }
    if (position.root > this.#position.root) {
      this.#markRootLost();
    }
    this.#increasedAt = now;
    this.#position = {
      root: position.root,
      rootSequence: position.rootSequence,
      depth: position.depth + 1,
      parent: node,
    };
  }

  #markRootLost(): void {
    this.#lostRoots.set(this.#position.root, this.#position.rootSequence);
    if (this.#lostRoots.size > MAX_LOST_ROOTS) {
      const [oldest] = this.#lostRoots.keys();
      this.#lostRoots.delete(oldest!);
    }
  }

  #isBetter(node: string, position: TreePosition): boolean {
    const { root, rootSequence, depth, parent } = this.#position;
    if (position.root !== root) {
      return position.root < root &&
        position.rootSequence > (this.#lostRoots.get(position.root) ?? -1);
    }
    if (root === this.#ownNode) {
      return false;
    }
    if (position.rootSequence === rootSequence) {
      return position.depth + 1 < depth;
    }
    const minSequence = node === parent || parent === ""
      ? rootSequence + 1
      : position.depth + 1 < depth
      ? rootSequence + 1
      : rootSequence + MAX_SEQUENCE_LAG;
    return position.rootSequence >= minSequence;
  }
}
