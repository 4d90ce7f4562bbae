/**
 * Orders the connections whose input waits to be parsed, by start-time fair
 * queueing on the processor time that their input has taken.
 *
 * The load: input that costs far more than its bytes, for instance chunks of one
 * byte, on hundreds of connections, beside ordinary requests. A connection that
 * was idle may use a little time ahead of those that have kept the processor
 * busy, so that cheap requests pass costly ones; costly ones share what is left.
 */
import { IndexedHeap } from "../queue/indexed_heap.ts";

/** Processor time ahead of busy sources; ordinary requests take less. */
const CREDIT_MS = 2;

interface InputEntry<Source> {
  readonly source: Source;
  /** Virtual time at which the source's next turn starts, in milliseconds. */
  startMs: number;
  /** Sources with the same start keep their order of arrival. */
  sequence: number;
}

/** The sources of input of one process. */
export class InputQueue<Source extends object> {
  readonly #waiting = new IndexedHeap<InputEntry<Source>>(compareEntries);
  readonly #entries = new WeakMap<Source, InputEntry<Source>>();
  /** The start of the turn that was taken last. */
  #virtualMs = 0;
  #sequence = 0;

  get size(): number {
    return this.#waiting.size;
  }

  /** Adds a source that has input; no effect if it waits already. */
  add(source: Source): void {
    const entry = this.#findEntry(source);
    if (this.#waiting.has(entry)) return;
    entry.startMs = this.#computeStart(entry);
    entry.sequence = this.#sequence += 1;
    this.#waiting.add(entry);
  }

  /** Removes a source that has no more input. */
  remove(source: Source): void {
    const entry = this.#entries.get(source);
    if (entry !== undefined) this.#waiting.remove(entry);
  }

  /** Takes the source whose turn it is. */
  takeNext(): Source | undefined {
    const { first } = this.#waiting;
    if (first === undefined) return undefined;
    this.#waiting.remove(first);
    this.#virtualMs = Math.max(this.#virtualMs, first.startMs);
    return first.source;
  }

  /** Charges the processor time of a source's turn, in milliseconds. */
  recordCost(source: Source, costMs: number): void {
    const entry = this.#findEntry(source);
    const isWaiting = this.#waiting.remove(entry);
    entry.startMs = this.#computeStart(entry) + costMs;
    if (isWaiting) this.#waiting.add(entry);
    // Time that no other source waits for is free.
    if (this.#waiting.size > 0) return;
    this.#virtualMs = Math.max(this.#virtualMs, entry.startMs);
  }

  #computeStart({ startMs }: InputEntry<Source>): number {
    return Math.max(startMs, this.#virtualMs - CREDIT_MS);
  }

  #findEntry(source: Source): InputEntry<Source> {
    const known = this.#entries.get(source);
    if (known !== undefined) return known;
    const entry = { source, startMs: 0, sequence: 0 };
    this.#entries.set(source, entry);
    return entry;
  }
}

function compareEntries<Source>(
  left: InputEntry<Source>,
  right: InputEntry<Source>,
): number {
  return left.startMs - right.startMs || left.sequence - right.sequence;
}
