/**
 * The turns that one disk holds, in memory.
 *
 * The parent of a turn is always held too, and is kept at least as long as the
 * turn itself. Turns have ascending sequence numbers, parents before children,
 * so that a reader that copies them in order never lacks a parent.
 */
import {
  countTurnBytes,
  type KeptTurn,
  type TurnChain,
} from "../model/kept_turn.ts";

/**
 * Time beyond its retention for which a turn stays readable: clocks of VMs
 * differ, and a caller's request may be on its way.
 */
export const RETENTION_MARGIN_MS = 30_000;
/** Memory that an entry takes besides its content. */
const ENTRY_OVERHEAD_BYTES = 400;

/** One held turn. */
export interface HeldTurn {
  readonly turn: KeptTurn;
  readonly sequence: number;
  /** Number of the file that holds the turn's record. */
  segment: number;
  expiresAtMs: number;
}

/** A page of turns in the order of their sequence numbers. */
export interface TurnPage {
  readonly turns: readonly KeptTurn[];
  /** Sequence number of the last turn of the page. */
  readonly lastSequence: number;
  readonly isEnd: boolean;
}

/** The turns of one disk. */
export class TurnTable {
  /** By id, in the order of the sequence numbers. */
  readonly #byId = new Map<string, HeldTurn>();
  #lastSequence = 0;
  #bytes = 0;

  /** Number of turns. */
  get size(): number {
    return this.#byId.size;
  }

  /** Approximate memory that the turns take. */
  get bytes(): number {
    return this.#bytes;
  }

  /** The highest sequence number so far; 0 for none. */
  get lastSequence(): number {
    return this.#lastSequence;
  }

  has(id: string): boolean {
    return this.#byId.has(id);
  }

  /** Whether a turn may be added: its parent is held or it has none. */
  canAdd({ parentId }: Pick<KeptTurn, "parentId">): boolean {
    return parentId === undefined || this.#byId.has(parentId);
  }

  /** Adds a turn whose parent is held; false if it's held already. */
  add(turn: KeptTurn, segment: number): boolean {
    if (this.#byId.has(turn.id)) return false;
    this.#lastSequence += 1;
    const expiresAtMs = turn.endedAtMs + turn.retentionMs + RETENTION_MARGIN_MS;
    const sequence = this.#lastSequence;
    this.#byId.set(turn.id, { turn, sequence, segment, expiresAtMs });
    this.#bytes += countTurnBytes(turn) + ENTRY_OVERHEAD_BYTES;
    this.#renewAncestors(turn, expiresAtMs);
    return true;
  }

  /** Finds a turn with all its ancestors. */
  findChain(id: string): TurnChain | undefined {
    const chain: KeptTurn[] = [];
    for (let next: string | undefined = id; next !== undefined;) {
      const turn: KeptTurn | undefined = this.#byId.get(next)?.turn;
      if (turn === undefined) return undefined;
      chain.push(turn);
      next = turn.parentId;
    }
    return chain.reverse();
  }

  /** Lists turns after a sequence number, up to about `maxBytes`. */
  listAfter(sequence: number, maxBytes: number): TurnPage {
    const turns: KeptTurn[] = [];
    let lastSequence = sequence;
    let bytes = 0;
    for (const held of this.#byId.values()) {
      if (held.sequence <= sequence) continue;
      if (bytes >= maxBytes) return { turns, lastSequence, isEnd: false };
      turns.push(held.turn);
      lastSequence = held.sequence;
      bytes += countTurnBytes(held.turn);
    }
    return {
      turns,
      lastSequence: Math.max(lastSequence, this.#lastSequence),
      isEnd: true,
    };
  }

  /** Removes the turns that needn't be kept any longer. */
  removeExpired(nowMs: number): void {
    for (const [id, held] of this.#byId) {
      if (held.expiresAtMs > nowMs) continue;
      this.#byId.delete(id);
      this.#bytes -= countTurnBytes(held.turn) + ENTRY_OVERHEAD_BYTES;
    }
  }

  /** Lists the turns whose records are in one file. */
  listInSegment(segment: number): HeldTurn[] {
    return [...this.#byId.values()].filter((held) => held.segment === segment);
  }

  #renewAncestors(turn: KeptTurn, expiresAtMs: number): void {
    let next = turn.parentId;
    while (next !== undefined) {
      const held = this.#byId.get(next);
      if (held === undefined) return;
      held.expiresAtMs = Math.max(held.expiresAtMs, expiresAtMs);
      next = held.turn.parentId;
    }
  }
}
