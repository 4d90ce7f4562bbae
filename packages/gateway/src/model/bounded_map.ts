/**
 * A map with a limit on its entries: beyond it, the entry that was set the
 * longest ago is removed.
 */
export class BoundedMap<K, V> {
  readonly #entries = new Map<K, V>();
  readonly #maxEntries: number;

  constructor(maxEntries: number) {
    this.#maxEntries = maxEntries;
  }

  get size(): number {
    return this.#entries.size;
  }

  get(key: K): V | undefined {
    return this.#entries.get(key);
  }

  has(key: K): boolean {
    return this.#entries.has(key);
  }

  /** Sets an entry and makes it the newest. */
  set(key: K, value: V): void {
    this.#entries.delete(key);
    this.#entries.set(key, value);
    const [oldest] = this.#entries.keys();
    if (this.#entries.size > this.#maxEntries && oldest !== undefined) {
      this.#entries.delete(oldest);
    }
  }

  remove(key: K): void {
    this.#entries.delete(key);
  }

  /** Lists the entries, the oldest first. */
  list(): [K, V][] {
    return [...this.#entries];
  }
}
