/**
 * The change log of an object store: its latest changes, by position.
 */
const MAX_CHANGES = 100_000;
const RETAINED_CHANGES = 50_000;

/** A bounded log of changed keys by position. Drops the oldest changes. */
export class ChangeLog {
  #keys: string[] = [];
  #dropped = 0;

  /** The position of the latest change, or zero without any change. */
  get position(): number {
    return this.#dropped + this.#keys.length;
  }

  /** The lowest position after which the log still has every change. */
  get firstPosition(): number {
    return this.#dropped;
  }

  /** Appends a change and returns its position. */
  append(key: string): number {
    this.#keys.push(key);
    if (this.#keys.length > MAX_CHANGES) this.#removeOldest();
    return this.position;
  }

  /** Lists the keys below a prefix that changed after a position. */
  listAfter(position: number, prefix: string): string[] {
    const start = Math.max(0, position - this.#dropped);
    const changed = new Set<string>();
    for (let index = start; index < this.#keys.length; index += 1) {
      const key = this.#keys[index];
      if (key?.startsWith(prefix)) changed.add(key);
    }
    return [...changed].sort();
  }

  #removeOldest(): void {
    const count = this.#keys.length - RETAINED_CHANGES;
    this.#keys = this.#keys.slice(count);
    this.#dropped += count;
  }
}
