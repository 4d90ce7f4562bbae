/**
 * Reads the reports of an engine: its load, the memory that it holds, the models
 * that it serves and its cache events. The load lags, and cache events arrive
 * late and with gaps.
 */
import type { Failure } from "@camphorlock/codes";
import type { ProgramId } from "@camphorlock/types";
import { type PeerConnection, readJson } from "@camphorlock/http";
import type { Result } from "neverthrow";
import { z } from "zod";

const COUNT = z.number().nonnegative();
const LOAD = z.object({
  running: COUNT,
  waiting: COUNT,
  memoryUsedTokens: COUNT,
});
const MEMORY = z.object({
  programs: z.array(z.object({ programId: z.string(), tokens: COUNT })),
});
const MODELS = z.object({ data: z.array(z.object({ id: z.string() })) });
const CACHE_EVENT = z.object({
  kind: z.enum(["stored", "evicted"]),
  number: z.int().positive(),
  key: z.string(),
  programId: z.string(),
  tokens: COUNT,
});
const CACHE_EVENTS = z.object({ events: z.array(CACHE_EVENT) });

/** The load of an engine. It lags behind the actual load. */
export type EngineLoad = Readonly<z.infer<typeof LOAD>>;

/** The memory that an engine holds for one program. */
export interface HeldMemory {
  readonly programId: ProgramId;
  readonly tokens: number;
}

/** A change of an engine's prefix cache. */
export type EngineCacheEvent = Readonly<z.infer<typeof CACHE_EVENT>>;

/** The cache events after a given number. */
export interface CacheEventBatch {
  readonly events: readonly EngineCacheEvent[];
  /** The number after which to read next. */
  readonly lastNumber: number;
  /** Events that were never published or are no longer kept. */
  readonly missing: number;
}

/** Reads an engine's load. Fails with `TargetBroken`. */
export function readLoad(
  connection: PeerConnection,
): Promise<Result<EngineLoad, Failure>> {
  return readJson(connection, {
    path: "/v1/load",
    schema: LOAD,
    failure: "TargetBroken",
  });
}

/** Lists the held memory of each program. Fails with `TargetBroken`. */
export async function listHeldMemory(
  connection: PeerConnection,
): Promise<Result<readonly HeldMemory[], Failure>> {
  const read = await readJson(connection, {
    path: "/v1/memory",
    schema: MEMORY,
    failure: "TargetBroken",
  });
  return read.map((document) => document.programs);
}

/** Lists the models that an engine serves. Fails with `TargetBroken`. */
export async function listModels(
  connection: PeerConnection,
): Promise<Result<readonly string[], Failure>> {
  const read = await readJson(connection, {
    path: "/v1/models",
    schema: MODELS,
    failure: "TargetBroken",
  });
  return read.map((document) => document.data.map((model) => model.id));
}

/** Reads the cache events after a number. Fails with `TargetBroken`. */
export async function readCacheEvents(
  connection: PeerConnection,
  afterNumber: number,
): Promise<Result<CacheEventBatch, Failure>> {
  const read = await readJson(connection, {
    path: `/v1/cache-events?after=${afterNumber}`,
    schema: CACHE_EVENTS,
    failure: "TargetBroken",
  });
  return read.map(({ events }) => buildBatch(events, afterNumber));
}

function buildBatch(
  events: readonly EngineCacheEvent[],
  afterNumber: number,
): CacheEventBatch {
  const lastNumber = events.reduce(
    (highest, event) => Math.max(highest, event.number),
    afterNumber,
  );
  const missing = lastNumber - afterNumber - events.length;
  return { events, lastNumber, missing };
}
