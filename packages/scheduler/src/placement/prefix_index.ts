/**
 * The index of targets that hold a program's prefix in their caches.
 *
 * The node fills it from its own ended attempts. The cached tokens that attempts
 * report and the cache events of targets correct it. Cache events arrive late
 * and some are lost.
 */
import type { ProgramId, TargetId } from "@camphorlock/types";

/** A target that, by the index, holds a prefix. */
export interface PrefixHolder {
  readonly targetId: TargetId;
  readonly tokens: number;
  readonly atMs: number;
}

/** A cache event of a target, for one program. */
export interface CacheEventReport {
  readonly targetId: TargetId;
  readonly programId: ProgramId;
  readonly kind: "stored" | "evicted";
  readonly tokens: number;
  /** Sequence number of the target's event; a gap means lost events. */
  readonly number: number;
  /** Time of the change on the target, as stated in the event. */
  readonly atMs: number;
}

const MAX_HOLDERS = 4;

/** Holders by program: bounded, evicts the least recently used program. */
export class PrefixIndex {
  readonly #mostPrograms: number;
  readonly #holders = new Map<ProgramId, PrefixHolder[]>();
  readonly #lastEventNumbers = new Map<TargetId, number>();
  /** Records of a target older than this time are unverified. */
  readonly #unverifiedBeforeMs = new Map<TargetId, number>();

  constructor(mostPrograms: number) {
    this.#mostPrograms = mostPrograms;
  }

  /** The number of programs in the index. */
  get size(): number {
    return this.#holders.size;
  }

  /** Lists the holders of a program's prefix, the most recent first. */
  listHolders(programId: ProgramId): readonly PrefixHolder[] {
    return this.#holders.get(programId) ?? [];
  }

  /** Whether cache events about this record may have been lost. */
  isUnverified(holder: PrefixHolder): boolean {
    const beforeMs = this.#unverifiedBeforeMs.get(holder.targetId) ?? -Infinity;
    return holder.atMs < beforeMs;
  }

  /** Records that a target holds a program's prefix. */
  record(programId: ProgramId, holder: PrefixHolder): void {
    const others = this.listHolders(programId).filter((each) =>
      each.targetId !== holder.targetId
    );
    this.#holders.delete(programId);
    const holders = [holder, ...others].slice(0, MAX_HOLDERS);
    this.#holders.set(programId, holders);
    this.#evictOldest();
  }

  /** Removes a target from the holders of a program's prefix. */
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

  /** Applies a cache event. Later records of the node's own take precedence. */
  apply(report: CacheEventReport): void {
    const { targetId, number, atMs } = report;
    const lastNumber = this.#lastEventNumbers.get(targetId) ?? number - 1;
    if (number <= lastNumber) return;
    this.#lastEventNumbers.set(targetId, number);
    if (number > lastNumber + 1) this.#unverifiedBeforeMs.set(targetId, atMs);
    const holder = this.listHolders(report.programId).find((each) =>
      each.targetId === targetId
    );
    if (holder === undefined || holder.atMs > atMs) return;
    if (report.kind === "evicted") {
      this.removeHolder(report.programId, targetId);
    }
  }

  #evictOldest(): void {
    if (this.#holders.size <= this.#mostPrograms) return;
    const oldest = this.#holders.keys().next().value;
    if (oldest !== undefined) this.#holders.delete(oldest);
  }
}
