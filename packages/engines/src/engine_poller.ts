/**
 * Polls engines for their load and their cache events.
 *
 * A node polls only the engines that it dispatches for, so that each engine is
 * polled by one node and a node's work doesn't grow with the fleet. Ticks come
 * from the node's timer service.
 */
import type { Failure } from "@camphorlock/codes";
import { checkNever, type TargetId } from "@camphorlock/types";
import type { EngineClient } from "./engine_client.ts";
import type { EngineCacheEvent, EngineLoad } from "./engine_reports.ts";

const PERIOD_MS = 1_000;
const MAX_CONCURRENT_READS = 64;

/** The result of one read of an engine. */
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
    /** Number of events that are missing before the last of these. */
    readonly missing: number;
  }
  | {
    readonly kind: "unreadable";
    readonly targetId: TargetId;
    readonly failure: Failure;
  };

/** The methods of an engine's client that the poller uses. */
export type ReportReader = Pick<EngineClient, "readLoad" | "readCacheEvents">;

/** Options of a poller. */
export interface EnginePollerOptions {
  readonly findReader: (targetId: TargetId) => ReportReader | undefined;
  readonly onReport: (report: EngineReport) => void;
  /** Interval between reads of one engine. */
  readonly periodMs?: number;
  /** Largest number of engines that are read at the same time. */
  readonly maxConcurrentReads?: number;
}

interface PolledEngine {
  nextReadAtMs: number;
  lastNumber: number;
  isReading: boolean;
}

/** Polls a set of engines for their reports. */
export class EnginePoller {
  readonly #options: EnginePollerOptions;
  readonly #engines = new Map<TargetId, PolledEngine>();
  #openReads = 0;

  constructor(options: EnginePollerOptions) {
    this.#options = options;
  }

  /** Sets the engines to poll. Their reads are spread over the period. */
  setTargets(targetIds: readonly TargetId[], nowMs: number): void {
    const wanted = new Set(targetIds);
    for (const targetId of [...this.#engines.keys()]) {
      if (!wanted.has(targetId)) this.#engines.delete(targetId);
    }
    let position = 0;
    for (const targetId of wanted) {
      position += 1;
      if (this.#engines.has(targetId)) continue;
      const nextReadAtMs = nowMs + this.#getPeriod() * position / wanted.size;
      this.#engines.set(targetId, {
        nextReadAtMs,
        lastNumber: 0,
        isReading: false,
      });
    }
  }

  /** Starts the reads that are due. */
  handleTick(nowMs: number): void {
    const maxConcurrentReads = this.#options.maxConcurrentReads ??
      MAX_CONCURRENT_READS;
    for (const [targetId, engine] of this.#engines) {
      if (this.#openReads >= maxConcurrentReads) return;
      if (engine.isReading || engine.nextReadAtMs > nowMs) continue;
      engine.nextReadAtMs = nowMs + this.#getPeriod();
      // Moves behind the engines that are still due, so that none starves.
      this.#engines.delete(targetId);
      this.#engines.set(targetId, engine);
      void this.#read(targetId, engine);
    }
  }

  async #read(targetId: TargetId, engine: PolledEngine): Promise<void> {
    const reader = this.#options.findReader(targetId);
    if (reader === undefined) return;
    engine.isReading = true;
    this.#openReads += 1;
    for (const kind of ["load", "cache_events"] as const) {
      const report = await readReport(reader, { kind, targetId, engine });
      if (this.#engines.get(targetId) !== engine) break;
      this.#options.onReport(report);
      if (report.kind === "unreadable") break;
    }
    engine.isReading = false;
    this.#openReads -= 1;
  }

  #getPeriod(): number {
    return this.#options.periodMs ?? PERIOD_MS;
  }
}

interface ReadReportOptions {
  readonly kind: "load" | "cache_events";
  readonly targetId: TargetId;
  readonly engine: PolledEngine;
}

async function readReport(
  reader: ReportReader,
  options: ReadReportOptions,
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
