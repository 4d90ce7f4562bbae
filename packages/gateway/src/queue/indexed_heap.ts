/**
 * A heap from which any item can be removed, in logarithmic time. The
 * order of an item must not change while the heap holds it.
 */

/** Four children halve the depth, and with it the positions to keep. */
const CHILDREN = 4;

/** Negative if `left` comes before `right`. */
export type Compare<T> = (left: T, right: T) => number;

/** Items in a partial order; the first one is known. */
export class IndexedHeap<T> {
  readonly #compare: Compare<T>;
  readonly #items: T[] = [];
  readonly #positions = new Map<T, number>();

  constructor(compare: Compare<T>) {
    this.#compare = compare;
  }

  get size(): number {
    return this.#items.length;
  }

  /** The first item in order. */
  get first(): T | undefined {
    return this.#items[0];
  }

  has(item: T): boolean {
    return this.#positions.has(item);
  }

  /** Lists the first items in order; for small counts. */
  listFirst(count: number): T[] {
    const found: T[] = [];
    const open = this.#items.length > 0 ? [0] : [];
    while (open.length > 0 && found.length < count) {
      open.sort((left, right) =>
        this.#compare(this.#items[left] as T, this.#items[right] as T)
      );
      const [position = 0] = open.splice(0, 1);
      found.push(this.#items[position] as T);
      const start = CHILDREN * position + 1;
      const end = Math.min(start + CHILDREN, this.#items.length);
      for (let child = start; child < end; child += 1) open.push(child);
    }
    return found;
  }

  add(item: T): void {
    if (this.has(item)) return;
    this.#items.push(item);
    this.#placeUp(this.#items.length - 1, item);
  }

  /** Removes an item; false if the heap doesn't hold it. */
  remove(item: T): boolean {
    const position = this.#positions.get(item);
    if (position === undefined) return false;
    this.#positions.delete(item);
    const moved = this.#items.pop();
    if (moved === undefined || moved === item) return true;
    this.#placeDown(position, moved);
    this.#placeUp(this.#positions.get(moved) ?? position, moved);
    return true;
  }

  #placeUp(start: number, item: T): void {
    let position = start;
    while (position > 0) {
      const parentAt = Math.floor((position - 1) / CHILDREN);
      const parent = this.#items[parentAt] as T;
      if (this.#compare(item, parent) >= 0) break;
      this.#set(position, parent);
      position = parentAt;
    }
    this.#set(position, item);
  }

  #placeDown(start: number, item: T): void {
    let position = start;
    for (;;) {
      const child = this.#findFirstChild(position);
      if (child === undefined) break;
      const next = this.#items[child] as T;
      if (this.#compare(item, next) <= 0) break;
      this.#set(position, next);
      position = child;
    }
    this.#set(position, item);
  }

  #findFirstChild(position: number): number | undefined {
    const start = CHILDREN * position + 1;
    const end = Math.min(start + CHILDREN, this.#items.length);
    if (start >= end) return undefined;
    let first = start;
    for (let child = start + 1; child < end; child += 1) {
      const item = this.#items[child] as T;
      if (this.#compare(item, this.#items[first] as T) < 0) first = child;
    }
    return first;
  }

  #set(position: number, item: T): void {
    this.#items[position] = item;
    this.#positions.set(item, position);
  }
}

/** Items whose first and last in order are known. */
export class OrderedItems<T> {
  readonly #ascending: IndexedHeap<T>;
  readonly #descending: IndexedHeap<T>;

  constructor(compare: Compare<T>) {
    this.#ascending = new IndexedHeap(compare);
    this.#descending = new IndexedHeap((left, right) => compare(right, left));
  }

  get size(): number {
    return this.#ascending.size;
  }

  get first(): T | undefined {
    return this.#ascending.first;
  }

  get last(): T | undefined {
    return this.#descending.first;
  }

  listFirst(count: number): T[] {
    return this.#ascending.listFirst(count);
  }

  add(item: T): void {
    this.#ascending.add(item);
    this.#descending.add(item);
  }

  remove(item: T): boolean {
    this.#descending.remove(item);
    return this.#ascending.remove(item);
  }
}
