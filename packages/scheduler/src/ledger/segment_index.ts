/**
 * An index of the entries in the live segments of a shard's log.
 */

/** A segment and the last sequence that it or an earlier one holds. */
export interface LogExtent {
  readonly number: number;
  readonly throughSequence: number;
  /** Encoded bytes of its entries. */
  readonly bytes: number;
}

/** The segments that no snapshot covers. */
export class SegmentIndex {
  #extents: LogExtent[];
  #bytes: number;

  constructor(extents: readonly LogExtent[]) {
    this.#extents = [...extents];
    this.#bytes = sumBytes(extents);
  }

  /** Number of live segments. */
  get count(): number {
    return this.#extents.length;
  }

  /** Encoded bytes that a recovery would read. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Appends the newest segment. */
  append(extent: LogExtent): void {
    this.#extents.push(extent);
    this.#bytes += extent.bytes;
  }

  /** Finds the first segment that may hold entries after a sequence. */
  findFirstAfter(throughSequence: number): number | undefined {
    const first = this.#extents.find((extent) =>
      extent.throughSequence > throughSequence
    );
    const last = this.#extents.at(-1);
    if (first !== undefined) return first.number;
    return last === undefined ? undefined : last.number + 1;
  }

  /** Removes the segments that a snapshot covers. */
  removeBefore(number: number): void {
    this.#extents = this.#extents.filter((extent) => extent.number >= number);
    this.#bytes = sumBytes(this.#extents);
  }
}

function sumBytes(extents: readonly LogExtent[]): number {
  return extents.reduce((sum, extent) => sum + extent.bytes, 0);
}
