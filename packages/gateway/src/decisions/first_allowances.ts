/**
 * The first allowances that one process grants, for the shards that it holds.
 *
 * An installation runs thousands of short programs, few of which come near
 * their budget. Each may spend its first allowance without any write to the
 * store, even while the store is unreachable. A first allowance is granted in
 * parts, each of which is recorded on disks before it's granted, so that the
 * next holder of a shard can find out what was granted and grant the rest. What
 * can't be found out counts as granted.
 */
import { getShard, type ShardTable } from "./shard_table.ts";

/** Share of a budget that a program's homes may forward without a record. */
const FIRST_ALLOWANCE_SHARE = 0.5;
/** Parts of a first allowance; a home that is lost loses what it holds. */
export const FIRST_ALLOWANCE_PARTS = 4;
/** Longest time between a program's first and last turn. */
export const MAX_PROGRAM_LIFETIME_MS = 3_600_000;
/** Maximum age of a trusted table; much longer than store outages. */
export const MAX_TABLE_AGE_MS = 30_000;
/** Time after which an earlier holder that may still run grants nothing. */
export const SILENT_HOLDER_WAIT_MS = 2 * MAX_TABLE_AGE_MS;
/** Time after which no program can still use an earlier holder's allowance. */
const UNVERIFIED_SHARD_WAIT_MS = MAX_PROGRAM_LIFETIME_MS +
  SILENT_HOLDER_WAIT_MS;

/** Computes the part of a budget that needs no record in the store. */
export function computeFirstAllowance(budgetTokens: number): number {
  return Math.floor(budgetTokens * FIRST_ALLOWANCE_SHARE);
}

/** Computes the tokens of the first parts of a first allowance. */
export function computePartTokens(budgetTokens: number, parts: number): number {
  return Math.floor(
    computeFirstAllowance(budgetTokens) * parts / FIRST_ALLOWANCE_PARTS,
  );
}

/** Chooses how many parts are granted in all to cover the wanted tokens. */
export function chooseParts(
  grantedParts: number,
  { budgetTokens, wantedTokens }: {
    readonly budgetTokens: number;
    readonly wantedTokens: number;
  },
): number {
  const before = computePartTokens(budgetTokens, grantedParts);
  for (let parts = grantedParts + 1; parts < FIRST_ALLOWANCE_PARTS; parts++) {
    if (computePartTokens(budgetTokens, parts) - before >= wantedTokens) {
      return parts;
    }
  }
  return FIRST_ALLOWANCE_PARTS;
}

/** Why no part of a first allowance is granted. */
export type FirstAllowanceRefusal =
  /** Another process holds the shard. */
  | "not_held"
  /** An earlier holder may have granted it, or may still grant it. */
  | "doubtful"
  /** The table is stale: another process may hold the shard by now. */
  | "stale"
  /** The disks that know what was granted don't respond. */
  | "not_found_out"
  /** Too few disks confirmed the record of the grant. */
  | "not_recorded"
  /** All of it was granted; no later request will be granted either. */
  | "given_before";

interface HeldShard {
  readonly usableAtMs: number;
  /** Whether earlier holders may have granted what isn't known here. */
  readonly isDoubtful: boolean;
  /** Whether every grant of the shard was recorded on disks. */
  isRecorded: boolean;
  /** Whether the table says so; a build without records drops the mark. */
  isMarked: boolean;
  /** Whether new grants are recorded, while earlier ones are being. */
  isRecording: boolean;
}

interface ProgramGrants {
  readonly parts: number;
  /** The holding during which the parts were known; a later one differs. */
  readonly held: HeldShard | undefined;
  readonly atMs: number;
}

/** The first allowances that one process has granted. */
export class FirstAllowances {
  readonly #bootId: string;
  readonly #held = new Map<number, HeldShard>();
  /** The program that was granted something the longest ago comes first. */
  readonly #programs = new Map<string, ProgramGrants>();
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
    for (const [shard, entry] of table.entries()) {
      const { isDoubtful, isRecorded = false } = entry;
      const held = this.#held.get(shard);
      // Doubt that is new comes from a holder in between.
      const isSame = held !== undefined && (held.isDoubtful || !isDoubtful);
      if (entry.bootId !== this.#bootId) this.#held.delete(shard);
      else if (!isSame) {
        this.#held.set(shard, {
          usableAtMs: nowMs + computeWaitMs(entry),
          isDoubtful,
          isRecorded,
          isMarked: isRecorded,
          isRecording: false,
        });
      } else {
        held.isRecorded ||= isRecorded;
        held.isMarked = isRecorded;
      }
    }
  }

  /** Records when the store last contained the cached table. */
  confirmTable(nowMs: number, wallMs: number): void {
    this.#confirmedAtMs = Math.max(this.#confirmedAtMs, nowMs);
    this.#confirmedWallMs = Math.max(this.#confirmedWallMs, wallMs);
  }

  /** Returns why nothing of a program's first allowance may be granted now. */
  check(
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
    return ageMs > MAX_TABLE_AGE_MS ? "stale" : undefined;
  }

  /** Finds how many parts were granted; undefined if only the disks know. */
  findParts(programId: string): number | undefined {
    const held = this.#held.get(getShard(programId));
    const known = this.#programs.get(programId);
    if (known !== undefined && known.held === held) return known.parts;
    if (held?.isRecorded === true) {
      return known === undefined && !held.isDoubtful ? 0 : undefined;
    }
    return known === undefined ? 0 : FIRST_ALLOWANCE_PARTS;
  }

  /** Identifies the time for which a program's shard is held without a break. */
  findHolding(programId: string): object | undefined {
    return this.#held.get(getShard(programId));
  }

  /** Whether a grant to a program has to be recorded on disks first. */
  needsRecord(programId: string): boolean {
    const held = this.#held.get(getShard(programId));
    return held?.isRecorded === true || held?.isRecording === true;
  }

  /** The time on the monotonic clock since which a program's shard is usable. */
  findUsableAtMs(programId: string): number {
    return this.#held.get(getShard(programId))?.usableAtMs ??
      Number.POSITIVE_INFINITY;
  }

  /** Sets how many parts of a program's first allowance were granted. */
  setParts(programId: string, parts: number, nowMs: number): void {
    const held = this.#held.get(getShard(programId));
    this.#programs.delete(programId);
    this.#programs.set(programId, { parts, held, atMs: nowMs });
  }

  /**
   * Starts to record the grants of all usable shards; lists the parts that were
   * granted without a record. Undefined if the table marks all shards.
   */
  startRecording(nowMs: number): Map<string, number> | undefined {
    const shards = new Set<number>();
    let isMarked = true;
    for (const [shard, held] of this.#held) {
      if (held.isMarked || nowMs < held.usableAtMs) continue;
      isMarked = false;
      held.isRecording = true;
      if (!held.isRecorded) shards.add(shard);
    }
    if (isMarked) return undefined;
    const granted = new Map<string, number>();
    for (const programId of this.#programs.keys()) {
      if (!shards.has(getShard(programId))) continue;
      granted.set(
        programId,
        this.findParts(programId) ?? FIRST_ALLOWANCE_PARTS,
      );
    }
    return granted;
  }

  /** Whether a shard's grants are recorded although the table doesn't say so. */
  isRecording(shard: number): boolean {
    const held = this.#held.get(shard);
    return held !== undefined && held.isRecording && !held.isMarked;
  }

  /** Stops granting permanently, and lists the programs with a grant. */
  release(): string[] {
    this.#isReleased = true;
    return [...this.#programs.keys()];
  }

  /** Adds programs to which an earlier holder has granted something. */
  addGranted(programIds: readonly string[], nowMs: number): void {
    for (const programId of programIds) {
      this.#programs.delete(programId);
      this.#programs.set(programId, {
        parts: FIRST_ALLOWANCE_PARTS,
        held: undefined,
        atMs: nowMs,
      });
    }
  }

  /** Expires programs whose longest lifetime has passed. */
  removeExpired(nowMs: number): void {
    for (const [programId, { atMs }] of this.#programs) {
      if (nowMs - atMs <= MAX_PROGRAM_LIFETIME_MS) return;
      this.#programs.delete(programId);
    }
  }
}

/** Computes how long a process that is assigned a shard grants nothing. */
function computeWaitMs(
  { isDoubtful, isRecorded, mayHaveSilentHolder }: ShardTable[number],
): number {
  if (!isDoubtful) return 0;
  if (isRecorded !== true) return UNVERIFIED_SHARD_WAIT_MS;
  return mayHaveSilentHolder === true ? SILENT_HOLDER_WAIT_MS : 0;
}
