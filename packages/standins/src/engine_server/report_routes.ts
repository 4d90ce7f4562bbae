/**
 * Reports of the engine stand-in: load, held memory and cache events.
 */
import type { Hono } from "hono";
import type { StandinEnv } from "../http_server.ts";
import type { EngineDriver } from "./engine_driver.ts";

const MAX_EVENTS_PER_READ = 1_000;

/** The program id of a prefix that programs share. */
const SHARED_PROGRAM_ID = "";

/** Adds the routes for reports. */
export function addReportRoutes(
  app: Hono<StandinEnv>,
  driver: EngineDriver,
): void {
  app.get(
    "/v1/load",
    (context) => context.json(driver.core.getReportedLoad(driver.readNow())),
  );
  app.get(
    "/v1/memory",
    (context) => context.json({ programs: listHeldMemory(driver) }),
  );
  app.get("/v1/cache-events", (context) => {
    const after = Number(context.req.query("after") ?? 0);
    const events = driver.cacheEvents
      .filter((event) => event.number > after)
      .slice(0, MAX_EVENTS_PER_READ);
    return context.json({ events });
  });
}

function listHeldMemory(
  driver: EngineDriver,
): { programId: string; tokens: number }[] {
  const held = new Map<string, number>();
  for (const prefix of driver.core.listPrefixes()) {
    if (prefix.programId === SHARED_PROGRAM_ID) continue;
    const before = held.get(prefix.programId) ?? 0;
    held.set(prefix.programId, before + prefix.heldTokens);
  }
  return [...held].map(([programId, tokens]) => ({ programId, tokens }));
}
