/**
 * The entries of a shard that aren't on the platform yet, in their order.
 */
import type { LedgerEntry } from "@camphorlock/types";

/** An entry with its encoded form. */
export interface EncodedEntry {
  readonly entry: LedgerEntry;
  readonly value: Uint8Array;
}

/** A range of entries to list. */
export interface EntryRange {
  readonly afterSequence: number;
  /** Maximum encoded bytes; at least one entry is listed. */
  readonly maxBytes: number;
}

/** A queue of entries that starts at the first one that isn't stored. */
export class UnstoredEntries {
  #entries: EncodedEntry[] = [];
  #storedThrough: number;
  #bytes = 0;

  constructor(storedThrough: number) {
    this.#storedThrough = storedThrough;
  }

  /** Encoded bytes of the entries. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Every entry up to here is on the platform. */
  get storedThrough(): number {
    return this.#storedThrough;
  }

  /** The sequence of the last entry appended. */
  get lastSequence(): number {
    return this.#storedThrough + this.#entries.length;
  }

  /** Appends the entry that follows the last one. */
  append(entry: EncodedEntry): void {
    this.#entries.push(entry);
    this.#bytes += entry.value.length;
  }

  /** Lists entries after a sequence, up to a size. */
  list(range: EntryRange): EncodedEntry[] {
    const first = Math.max(0, range.afterSequence - this.#storedThrough);
    const listed: EncodedEntry[] = [];
    let bytes = 0;
    for (let index = first; index < this.#entries.length; index += 1) {
      const entry = this.#entries[index];
      if (entry === undefined) break;
      bytes += entry.value.length;
      if (listed.length > 0 && bytes > range.maxBytes) break;
      listed.push(entry);
    }
    return listed;
  }

  /** Removes the entries that the platform holds. */
  removeThrough(storedThrough: number): void {
    const count = storedThrough - this.#storedThrough;
    if (count <= 0) return;
    const removed = this.#entries.splice(0, count);
    this.#bytes -= removed.reduce((sum, each) => sum + each.value.length, 0);
    this.#storedThrough = storedThrough;
  }
}
