/**
 * Reads the reports of engines again and again: load and cache events.
 *
 * A node feeds on the engines that it dispatches for, so that each engine is
 * read by one node and a node's work doesn't grow with the fleet. Ticks come
 * from the node's timer service.
 */
import type { Failure } from "@camphorlock/codes";
import { checkNever, type TargetId } from "@camphorlock/types";
import type { EngineClient } from "./engine_client.ts";
import type { EngineCacheEvent, EngineLoad } from "./engine_reports.ts";

const PERIOD_MS = 1_000;
const MAX_READS = 64;

/** What an engine reported. */
export type EngineReport =
  | {
    readonly kind: "load";
    readonly targetId: TargetId;
    readonly load: EngineLoad;
  }
  | {
    readonly kind: "cache_events";
    readonly targetId: TargetId;
    readonly events: readonly EngineCacheEvent[];
    /** Events that were lost before the last of these. */
    readonly missing: number;
  }
  | {
    readonly kind: "unreadable";
    readonly targetId: TargetId;
    readonly failure: Failure;
  };

/** The part of an engine's client that the feed uses. */
export type ReportReader = Pick<EngineClient, "readLoad" | "readCacheEvents">;

/** Settings of a feed. */
export interface EngineFeedOptions {
  readonly findReader: (targetId: TargetId) => ReportReader | undefined;
  readonly onReport: (report: EngineReport) => void;
  /** Time between two reads of one engine. */
  readonly periodMs?: number;
  /** Engines that are read at the same time at most. */
  readonly maxReads?: number;
}

interface FedEngine {
  nextAtMs: number;
  lastNumber: number;
  reading: boolean;
}

/** Feeds on the reports of a set of engines. */
export class EngineFeed {
  readonly #options: EngineFeedOptions;
  readonly #engines = new Map<TargetId, FedEngine>();
  #reads = 0;

  constructor(options: EngineFeedOptions) {
    this.#options = options;
  }

  /** Changes the engines that are read. Reads are spread over the period. */
  setTargets(targetIds: readonly TargetId[], nowMs: number): void {
    const wanted = new Set(targetIds);
    for (const targetId of [...this.#engines.keys()]) {
      if (!wanted.has(targetId)) this.#engines.delete(targetId);
    }
    let place = 0;
    for (const targetId of wanted) {
      place += 1;
      if (this.#engines.has(targetId)) continue;
      const nextAtMs = nowMs + this.#getPeriod() * place / wanted.size;
      this.#engines.set(targetId, { nextAtMs, lastNumber: 0, reading: false });
    }
  }

  /** Starts the reads that are due. */
  handleTick(nowMs: number): void {
    const maxReads = this.#options.maxReads ?? MAX_READS;
    for (const [targetId, engine] of this.#engines) {
      if (this.#reads >= maxReads) return;
      if (engine.reading || engine.nextAtMs > nowMs) continue;
      engine.nextAtMs = nowMs + this.#getPeriod();
      // Goes behind the engines that still wait, so that none waits for good.
      this.#engines.delete(targetId);
      this.#engines.set(targetId, engine);
      void this.#read(targetId, engine);
    }
  }

  async #read(targetId: TargetId, engine: FedEngine): Promise<void> {
    const reader = this.#options.findReader(targetId);
    if (reader === undefined) return;
    engine.reading = true;
    this.#reads += 1;
    for (const kind of ["load", "cache_events"] as const) {
      const report = await readReport(reader, { kind, targetId, engine });
      if (this.#engines.get(targetId) !== engine) break;
      this.#options.onReport(report);
      if (report.kind === "unreadable") break;
    }
    engine.reading = false;
    this.#reads -= 1;
  }

  #getPeriod(): number {
    return this.#options.periodMs ?? PERIOD_MS;
  }
}

interface ReportToRead {
  readonly kind: "load" | "cache_events";
  readonly targetId: TargetId;
  readonly engine: FedEngine;
}

async function readReport(
  reader: ReportReader,
  options: ReportToRead,
): Promise<EngineReport> {
  const { kind, targetId, engine } = options;
  switch (kind) {
    case "load": {
      const read = await reader.readLoad();
      if (read.isErr()) return buildUnreadable(targetId, read.error);
      return { kind, targetId, load: read.value };
    }
    case "cache_events": {
      const read = await reader.readCacheEvents(engine.lastNumber);
      if (read.isErr()) return buildUnreadable(targetId, read.error);
      const { events, missing, lastNumber } = read.value;
      engine.lastNumber = lastNumber;
      return { kind, targetId, events, missing };
    }
    default:
      return checkNever(kind);
  }
}

function buildUnreadable(targetId: TargetId, failure: Failure): EngineReport {
  return { kind: "unreadable", targetId, failure };
}
