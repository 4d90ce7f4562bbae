/**
 * The sum of the reports on one target, kept up by differences, so that a report
 * costs only its own entries.
 */
import { DecayedRatio } from "../placement/decayed_ratio.ts";
import type { PartReport, TargetReport, TargetSum } from "./load_messages.ts";

/** Speeds follow phases of some hundred ms, but not single requests. */
const SPEED_HALF_LIFE_MS = 1_500;
/** Share of a target's memory after whose use a part counts as evicted. */
const CACHED_SHARE = 0.8;
/** How long a part counts as cached where the memory isn't known. */
const CACHED_MS = 30_000;
/** Parts tracked per target; more than an engine keeps. */
const MAX_PARTS = 64;
/** Parts that a sum names: the latest ones. */
const MAX_NAMED_PARTS = 24;

interface TrackedPart {
  tokens: number;
  holders: number;
  usedAtMs: number;
  /** Tokens that the target had been sent when the part was last used. */
  usedAtTokens: number;
}

/** The load of a region's gateways at one target. */
export class TargetSums {
  readonly id: string;
  #running = 0;
  #remainingMs = 0;
  #ownTokens = 0;
  #sentTokens = 0;
  readonly #speeds = new DecayedRatio(SPEED_HALF_LIFE_MS);
  /** In the order of use. */
  readonly #parts = new Map<string, TrackedPart>();

  constructor(id: string) {
    this.id = id;
  }

  /** Whether anything runs there. */
  get isBusy(): boolean {
    return this.#running > 0;
  }

  /** Adds a report with its news. */
  add(report: TargetReport, nowMs: number): void {
    const [, , , , sentTokens, samples, taken, parts] = report;
    this.#addState(report, 1);
    this.#sentTokens += sentTokens;
    if (taken > 0) this.#speeds.add(samples, taken, nowMs);
    for (const part of parts) this.#addPart(part, nowMs);
  }

  /** Removes a report that another one replaces, or that is too old. */
  remove(report: TargetReport): void {
    this.#addState(report, -1);
    for (const [id, , held] of report[7]) {
      const part = this.#parts.get(id);
      if (part !== undefined) part.holders -= held;
    }
  }

  /** Builds the sum without the given report of the one who asks. */
  build(
    memoryTokens: number | undefined,
    nowMs: number,
    without?: TargetReport,
  ): TargetSum {
    const [, running, remainingMs, ownTokens] = without ?? [this.id, 0, 0, 0];
    const { above, below } = this.#speeds.computeSums(nowMs);
    return [
      this.id,
      Math.max(0, this.#running - running),
      Math.max(0, Math.round(this.#remainingMs - remainingMs)),
      Math.max(0, Math.round(this.#ownTokens - ownTokens)),
      Math.round(above),
      Math.round(below),
      this.#listCached(memoryTokens, nowMs),
    ];
  }

  #addState(
    [, running, remainingMs, ownTokens]: TargetReport,
    sign: 1 | -1,
  ): void {
    this.#running += sign * running;
    this.#remainingMs += sign * remainingMs;
    this.#ownTokens += sign * ownTokens;
  }

  #addPart([id, tokens, held]: PartReport, nowMs: number): void {
    const holders = (this.#parts.get(id)?.holders ?? 0) + held;
    const usedAtTokens = this.#sentTokens;
    this.#parts.delete(id);
    this.#parts.set(id, { tokens, holders, usedAtMs: nowMs, usedAtTokens });
    for (const [oldest, part] of this.#parts) {
      if (this.#parts.size <= MAX_PARTS) break;
      if (part.holders <= 0) this.#parts.delete(oldest);
      else break;
    }
  }

  /** Lists the latest used parts, as far as the memory holds them. */
  #listCached(memoryTokens: number | undefined, nowMs: number): PartReport[] {
    const limit = (memoryTokens ?? Number.POSITIVE_INFINITY) * CACHED_SHARE;
    let sharedTokens = 0;
    const cached: PartReport[] = [];
    for (const [id, part] of [...this.#parts].reverse()) {
      if (cached.length >= MAX_NAMED_PARTS) break;
      sharedTokens += part.tokens;
      const sinceTokens = this.#sentTokens - part.usedAtTokens;
      const isHeld = part.holders > 0;
      const isCached = memoryTokens === undefined
        ? nowMs - part.usedAtMs < CACHED_MS
        : sinceTokens + sharedTokens <= limit;
      if (isHeld || isCached) {
        cached.push([id, part.tokens, isHeld ? 1 : 0]);
      }
    }
    return cached;
  }
}
