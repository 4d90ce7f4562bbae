/**
 * The first allowances that one process gives out, for the shards that it
 * holds.
 *
 * The load that this answers: thousands of short programs, few of which come
 * near their budget. Each may spend its first allowance without any write to
 * the store, also while the store is away. What isn't given here counts as
 * given by somebody else, so a process that can't be sure gives nothing.
 */
import { getShard, type ShardTable } from "./shard_table.ts";

/** Part of a budget that a program's first home may pass on. */
const FIRST_SHARE = 0.5;
/** Longest time between a program's first and last turn. */
export const PROGRAM_LIFE_MS = 3_600_000;
/** Age of the table up to which it's trusted; far beyond outages. */
export const TABLE_FRESH_MS = 30_000;
/** Time after which nothing is left of what an earlier holder gave. */
const DOUBT_MS = PROGRAM_LIFE_MS + 2 * TABLE_FRESH_MS;

/** The part of a budget that no record in the store has to cover. */
export function computeFirstAllowance(budgetTokens: number): number {
  return Math.floor(budgetTokens * FIRST_SHARE);
}

/** Why a first allowance isn't given. */
export type FirstRefusal =
  /** Another process holds the shard. */
  | "not_held"
  /** An earlier holder may have given it. */
  | "doubtful"
  /** Another process may hold the shard by now. */
  | "stale"
  | "given_before";

interface HeldShard {
  readonly usableAtMs: number;
}

/** What one process has given. */
export class FirstAllowances {
  readonly #bootId: string;
  readonly #held = new Map<number, HeldShard>();
  readonly #givenAtMs = new Map<string, number>();
  #isReleased = false;
  #confirmedAtMs = Number.NEGATIVE_INFINITY;
  #confirmedWallMs = Number.NEGATIVE_INFINITY;

  constructor(bootId: string) {
    this.#bootId = bootId;
  }

  /** Number of shards held. */
  get heldShards(): number {
    return this.#held.size;
  }

  /** Takes up the shards that a newer table names this process for. */
  applyTable(table: ShardTable, nowMs: number): void {
    for (const [shard, { bootId, isDoubtful }] of table.entries()) {
      if (bootId !== this.#bootId) this.#held.delete(shard);
      else if (!this.#held.has(shard)) {
        const usableAtMs = nowMs + (isDoubtful ? DOUBT_MS : 0);
        this.#held.set(shard, { usableAtMs });
      }
    }
  }

  /** Records when the store last had the known table. */
  confirmTable(nowMs: number, wallMs: number): void {
    this.#confirmedAtMs = Math.max(this.#confirmedAtMs, nowMs);
    this.#confirmedWallMs = Math.max(this.#confirmedWallMs, wallMs);
  }

  /** Gives a program's first allowance; absent, or why it isn't given. */
  grant(
    programId: string,
    nowMs: number,
    wallMs: number,
  ): FirstRefusal | undefined {
    const held = this.#held.get(getShard(programId));
    if (held === undefined || this.#isReleased) return "not_held";
    if (nowMs < held.usableAtMs) return "doubtful";
    // The steady clock stands still while the VM is suspended.
    const ageMs = Math.max(
      nowMs - this.#confirmedAtMs,
      wallMs - this.#confirmedWallMs,
    );
    if (ageMs > TABLE_FRESH_MS) return "stale";
    if (this.#givenAtMs.has(programId)) return "given_before";
    this.#givenAtMs.set(programId, nowMs);
    return undefined;
  }

  /** Stops giving for good, and lists the programs that were given one. */
  release(): string[] {
    this.#isReleased = true;
    return [...this.#givenAtMs.keys()];
  }

  /** Adds programs that an earlier holder has given their first allowance. */
  addGiven(programIds: readonly string[], nowMs: number): void {
    for (const programId of programIds) this.#givenAtMs.set(programId, nowMs);
  }

  /** Forgets programs that are over. */
  removeOld(nowMs: number): void {
    for (const [programId, atMs] of this.#givenAtMs) {
      if (nowMs - atMs <= PROGRAM_LIFE_MS) return;
      this.#givenAtMs.delete(programId);
    }
  }
}
