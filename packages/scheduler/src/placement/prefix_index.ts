/**
 * The record of which targets hold a program's prefix in their caches.
 *
 * It's the node's own record of ended attempts, corrected by what attempts
 * report as cached and by cache events, which are late and have gaps.
 */
import type { ProgramId, TargetId } from "@camphorlock/types";

/** A target that is believed to hold a prefix. */
export interface PrefixHolder {
  readonly targetId: TargetId;
  readonly tokens: number;
  readonly atMs: number;
}

/** A cache event of a target, for one program. */
export interface CacheReport {
  readonly targetId: TargetId;
  readonly programId: ProgramId;
  readonly kind: "stored" | "evicted";
  readonly tokens: number;
  /** Counts the target's events; a jump shows lost ones. */
  readonly number: number;
  /** When the target did it, as far as the event tells. */
  readonly atMs: number;
}

const MOST_HOLDERS = 4;

/** Holders by program, bounded, in order of last use. */
export class PrefixIndex {
  readonly #mostPrograms: number;
  readonly #holders = new Map<ProgramId, PrefixHolder[]>();
  readonly #eventNumbers = new Map<TargetId, number>();
  /** Records of a target from before this time may be wrong. */
  readonly #doubtedBeforeMs = new Map<TargetId, number>();

  constructor(mostPrograms: number) {
    this.#mostPrograms = mostPrograms;
  }

  /** The number of programs on record. */
  get size(): number {
    return this.#holders.size;
  }

  /** Lists the holders of a program's prefix, the latest first. */
  listHolders(programId: ProgramId): readonly PrefixHolder[] {
    return this.#holders.get(programId) ?? [];
  }

  /** Whether events about this record may have been lost. */
  isDoubted(holder: PrefixHolder): boolean {
    const beforeMs = this.#doubtedBeforeMs.get(holder.targetId) ?? -Infinity;
    return holder.atMs < beforeMs;
  }

  /** Records that a target holds a program's first tokens. */
  record(programId: ProgramId, holder: PrefixHolder): void {
    const others = this.listHolders(programId).filter((each) =>
      each.targetId !== holder.targetId
    );
    this.#holders.delete(programId);
    const holders = [holder, ...others].slice(0, MOST_HOLDERS);
    this.#holders.set(programId, holders);
    this.#removeOldest();
  }

  /** Removes what a target was believed to hold of a program. */
  removeHolder(programId: ProgramId, targetId: TargetId): void {
    const holders = this.#holders.get(programId);
    if (holders === undefined) return;
    const rest = holders.filter((each) => each.targetId !== targetId);
    if (rest.length === 0) this.#holders.delete(programId);
    else this.#holders.set(programId, rest);
  }

  /** Removes a program that has ended. */
  removeProgram(programId: ProgramId): void {
    this.#holders.delete(programId);
  }

  /** Corrects the record by a cache event. */
  apply(report: CacheReport): void {
    const { targetId, number, atMs } = report;
    const before = this.#eventNumbers.get(targetId) ?? number - 1;
    if (number <= before) return;
    this.#eventNumbers.set(targetId, number);
    if (number > before + 1) this.#doubtedBeforeMs.set(targetId, atMs);
    const holder = this.listHolders(report.programId).find((each) =>
      each.targetId === targetId
    );
    if (holder === undefined || holder.atMs > atMs) return;
    if (report.kind === "evicted") {
      this.removeHolder(report.programId, targetId);
    }
  }

  #removeOldest(): void {
    if (this.#holders.size <= this.#mostPrograms) return;
    const oldest = this.#holders.keys().next().value;
    if (oldest !== undefined) this.#holders.delete(oldest);
  }
}
