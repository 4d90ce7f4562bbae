/**
 * Keys of an object store in order, for listing by prefix.
 */

/** Bounds of a listing. */
export interface ListOptions {
  /** Lists keys behind this one only. */
  readonly after?: string;
  readonly limit: number;
}

/** A sorted set of keys. */
export class SortedKeys {
  readonly #keys: string[] = [];

  /** Adds a key that isn't there yet. */
  add(key: string): void {
    this.#keys.splice(this.#findPlace(key), 0, key);
  }

  /** Removes a key if it's there. */
  remove(key: string): void {
    const place = this.#findPlace(key);
    if (this.#keys[place] === key) this.#keys.splice(place, 1);
  }

  /** Lists keys with a prefix, in order. */
  list(prefix: string, options: ListOptions): string[] {
    const found: string[] = [];
    const after = options.after ?? "";
    let place = this.#findPlace(after > prefix ? after : prefix);
    if (this.#keys[place] === options.after) place += 1;
    while (found.length < options.limit) {
      const key = this.#keys[place];
      if (key === undefined || !key.startsWith(prefix)) break;
      found.push(key);
      place += 1;
    }
    return found;
  }

  #findPlace(key: string): number {
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
