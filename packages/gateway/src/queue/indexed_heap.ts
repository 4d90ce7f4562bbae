/**
 * A heap from which any item can be removed, in logarithmic time. The order of
 * an item must not change while the heap holds it.
 */

/** Four children halve the depth of two. */
const CHILDREN = 4;

/** Negative if `left` comes before `right`. */
export type Compare<T> = (left: T, right: T) => number;

/** An item and its position, which changes without a look-up of the item. */
interface Node<T> {
  readonly item: T;
  position: number;
}

/** Items in a partial order; the first one is known. */
export class IndexedHeap<T> {
  readonly #compare: Compare<T>;
  readonly #nodes: Node<T>[] = [];
  readonly #byItem = new Map<T, Node<T>>();

  constructor(compare: Compare<T>) {
    this.#compare = compare;
  }

  get size(): number {
    return this.#nodes.length;
  }

  /** The first item in order. */
  get first(): T | undefined {
    return this.#nodes[0]?.item;
  }

  /** Whether the heap holds an item. */
  has(item: T): boolean {
    return this.#byItem.has(item);
  }

  /** Lists all items, in no order. */
  listAll(): T[] {
    return this.#nodes.map(({ item }) => item);
  }

  /** Lists the first items in order; for small counts. */
  listFirst(count: number): T[] {
    const found: T[] = [];
    const open = this.#nodes.slice(0, 1);
    while (open.length > 0 && found.length < count) {
      open.sort((left, right) => this.#compare(left.item, right.item));
      const [next] = open.splice(0, 1);
      if (next === undefined) break;
      found.push(next.item);
      const start = CHILDREN * next.position + 1;
      open.push(...this.#nodes.slice(start, start + CHILDREN));
    }
    return found;
  }

  add(item: T): void {
    if (this.#byItem.has(item)) return;
    const node = { item, position: this.#nodes.length };
    this.#byItem.set(item, node);
    this.#nodes.push(node);
    this.#placeUp(node);
  }

  /** Removes an item; false if the heap doesn't hold it. */
  remove(item: T): boolean {
    const node = this.#byItem.get(item);
    if (node === undefined) return false;
    this.#byItem.delete(item);
    const moved = this.#nodes.pop();
    if (moved === undefined || moved === node) return true;
    this.#set(node.position, moved);
    this.#placeDown(moved);
    this.#placeUp(moved);
    return true;
  }

  #placeUp(node: Node<T>): void {
    while (node.position > 0) {
      const { position } = node;
      const parentAt = Math.floor((position - 1) / CHILDREN);
      const parent = this.#nodes[parentAt] as Node<T>;
      if (this.#compare(node.item, parent.item) >= 0) return;
      this.#set(position, parent);
      this.#set(parentAt, node);
    }
  }

  #placeDown(node: Node<T>): void {
    for (;;) {
      const { position } = node;
      const child = this.#findFirstChild(position);
      if (child === undefined) return;
      if (this.#compare(node.item, child.item) <= 0) return;
      const childAt = child.position;
      this.#set(position, child);
      this.#set(childAt, node);
    }
  }

  #findFirstChild(position: number): Node<T> | undefined {
    const start = CHILDREN * position + 1;
    const end = Math.min(start + CHILDREN, this.#nodes.length);
    let first = this.#nodes[start];
    for (let at = start + 1; at < end; at += 1) {
      const child = this.#nodes[at] as Node<T>;
      if (first === undefined || this.#compare(child.item, first.item) < 0) {
        first = child;
      }
    }
    return first;
  }

  #set(position: number, node: Node<T>): void {
    this.#nodes[position] = node;
    node.position = position;
  }
}

/** Items whose first and last in order are known. */
export class OrderedItems<T> {
  readonly #compare: Compare<T>;
  readonly #ascending: IndexedHeap<T>;
  /** Kept from the first look-up of the last item, which most never need. */
  #descending: IndexedHeap<T> | undefined;

  constructor(compare: Compare<T>) {
    this.#compare = compare;
    this.#ascending = new IndexedHeap(compare);
  }

  get size(): number {
    return this.#ascending.size;
  }

  get first(): T | undefined {
    return this.#ascending.first;
  }

  /** Finds the last item in order. */
  findLast(): T | undefined {
    this.#descending ??= this.#createDescending();
    return this.#descending.first;
  }

  listFirst(count: number): T[] {
    return this.#ascending.listFirst(count);
  }

  add(item: T): void {
    this.#ascending.add(item);
    this.#descending?.add(item);
  }

  remove(item: T): boolean {
    this.#descending?.remove(item);
    return this.#ascending.remove(item);
  }

  #createDescending(): IndexedHeap<T> {
    const heap = new IndexedHeap<T>((left, right) =>
      this.#compare(right, left)
    );
    for (const item of this.#ascending.listAll()) heap.add(item);
    return heap;
  }
}
