/**
 * The first allowances that one process grants, for the shards that it holds.
 *
 * An installation runs thousands of short programs, few of which come near
 * their budget. Each may spend its first allowance without any write to the
 * store, even while the store is unreachable. A first allowance that isn't
 * granted here counts as granted by another process, so a process that can't be
 * sure grants nothing.
 */
import { getShard, type ShardTable } from "./shard_table.ts";

/** Share of a budget that a program's first home may forward. */
const FIRST_ALLOWANCE_SHARE = 0.5;
/** Longest time between a program's first and last turn. */
export const MAX_PROGRAM_LIFETIME_MS = 3_600_000;
/** Maximum age of a trusted table; much longer than store outages. */
export const MAX_TABLE_AGE_MS = 30_000;
/** Time after which no program can still use an earlier holder's allowance. */
const UNVERIFIED_SHARD_WAIT_MS = MAX_PROGRAM_LIFETIME_MS + 2 * MAX_TABLE_AGE_MS;

/** Computes the part of a budget that needs no record in the store. */
export function computeFirstAllowance(budgetTokens: number): number {
  return Math.floor(budgetTokens * FIRST_ALLOWANCE_SHARE);
}

/** Why a first allowance isn't granted. */
export type FirstAllowanceRefusal =
  /** Another process holds the shard. */
  | "not_held"
  /** An earlier holder may have granted it. */
  | "doubtful"
  /** The table is stale: another process may hold the shard by now. */
  | "stale"
  | "given_before";

interface HeldShard {
  readonly usableAtMs: number;
}

/** The first allowances that one process has granted. */
export class FirstAllowances {
  readonly #bootId: string;
  readonly #held = new Map<number, HeldShard>();
  readonly #grantedAtMs = new Map<string, number>();
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

  /** Acquires and drops shards as a newer table assigns them. */
  applyTable(table: ShardTable, nowMs: number): void {
    for (const [shard, { bootId, isDoubtful }] of table.entries()) {
      if (bootId !== this.#bootId) this.#held.delete(shard);
      else if (!this.#held.has(shard)) {
        const usableAtMs = nowMs + (isDoubtful ? UNVERIFIED_SHARD_WAIT_MS : 0);
        this.#held.set(shard, { usableAtMs });
      }
    }
  }

  /** Records when the store last contained the cached table. */
  confirmTable(nowMs: number, wallMs: number): void {
    this.#confirmedAtMs = Math.max(this.#confirmedAtMs, nowMs);
    this.#confirmedWallMs = Math.max(this.#confirmedWallMs, wallMs);
  }

  /** Grants a program's first allowance, or returns why it isn't granted. */
  grant(
    programId: string,
    nowMs: number,
    wallMs: number,
  ): FirstAllowanceRefusal | undefined {
    const held = this.#held.get(getShard(programId));
    if (held === undefined || this.#isReleased) return "not_held";
    if (nowMs < held.usableAtMs) return "doubtful";
    // The monotonic clock stops while the VM is suspended.
    const ageMs = Math.max(
      nowMs - this.#confirmedAtMs,
      wallMs - this.#confirmedWallMs,
    );
    if (ageMs > MAX_TABLE_AGE_MS) return "stale";
    if (this.#grantedAtMs.has(programId)) return "given_before";
    this.#grantedAtMs.set(programId, nowMs);
    return undefined;
  }

  /** Stops granting permanently, and lists the programs with a grant. */
  release(): string[] {
    this.#isReleased = true;
    return [...this.#grantedAtMs.keys()];
  }

  /** Adds programs whose first allowance an earlier holder has granted. */
  addGranted(programIds: readonly string[], nowMs: number): void {
    for (const programId of programIds) this.#grantedAtMs.set(programId, nowMs);
  }

  /** Expires programs whose longest lifetime has passed. */
  removeExpired(nowMs: number): void {
    for (const [programId, atMs] of this.#grantedAtMs) {
      if (nowMs - atMs <= MAX_PROGRAM_LIFETIME_MS) return;
      this.#grantedAtMs.delete(programId);
    }
  }
}
