/**
 * The sorted keys of an object store, for listing by prefix.
 */

/** Bounds of a listing. */
export interface ListOptions {
  /** Lists only keys after this one. */
  readonly after?: string;
  readonly limit: number;
}

/** A sorted set of keys. */
export class SortedKeys {
  readonly #keys: string[] = [];

  /** Adds a key, which must be absent. */
  add(key: string): void {
    this.#keys.splice(this.#findIndex(key), 0, key);
  }

  /** Removes a key if it's present. */
  remove(key: string): void {
    const index = this.#findIndex(key);
    if (this.#keys[index] === key) this.#keys.splice(index, 1);
  }

  /** Lists the keys with a prefix, in order. */
  list(prefix: string, options: ListOptions): string[] {
    const found: string[] = [];
    const after = options.after ?? "";
    let index = this.#findIndex(after > prefix ? after : prefix);
    if (this.#keys[index] === options.after) index += 1;
    while (found.length < options.limit) {
      const key = this.#keys[index];
      if (key === undefined || !key.startsWith(prefix)) break;
      found.push(key);
      index += 1;
    }
    return found;
  }

  #findIndex(key: string): number {
    let low = 0;
    let high = this.#keys.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((this.#keys[middle] ?? "") < key) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
