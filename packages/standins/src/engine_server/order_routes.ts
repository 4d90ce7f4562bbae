/**
 * Orders to the engine stand-in: memory release, KV export and import, models.
 */
import type { TargetOrder } from "@camphorlock/types";
import { FENCE_HEADER } from "@camphorlock/http";
import type { Context, Hono } from "hono";
import { z } from "zod";
import type { StandinEnv } from "../http_server.ts";
import type { EngineDriver } from "./engine_driver.ts";

const KV_PREFIXES = z.object({
  prefixes: z.array(z.object({ key: z.string(), tokens: z.int() })),
});

/** Adds the routes for orders. */
export function addOrderRoutes(
  app: Hono<StandinEnv>,
  options: { readonly driver: EngineDriver; readonly models: Set<string> },
): void {
  const { driver, models } = options;
  app.delete("/v1/programs/:programId/memory", (context) => {
    const programId = context.req.param("programId");
    return runOrder(context, {
      driver,
      order: { kind: "release", programId },
    });
  });
  app.put("/v1/models/:model", (context) => {
    const model = context.req.param("model");
    const fence = readFence(context);
    const response = runOrder(context, {
      driver,
      order: { kind: "load_model", model, fence },
    });
    if (response.ok) models.add(model);
    return response;
  });
  app.delete("/v1/models/:model", (context) => {
    const model = context.req.param("model");
    const fence = readFence(context);
    const response = runOrder(context, {
      driver,
      order: { kind: "unload_model", model, fence },
    });
    if (response.ok) models.delete(model);
    return response;
  });
  app.get("/v1/models", (context) =>
    context.json({
      object: "list",
      data: [...models].sort().map((id) => ({ id, object: "model" })),
    }));
  addKvRoutes(app, driver);
}

function addKvRoutes(app: Hono<StandinEnv>, driver: EngineDriver): void {
  app.get("/v1/programs/:programId/kv", (context) => {
    const programId = context.req.param("programId");
    const prefixes = driver.core.listPrefixes()
      .filter((prefix) => prefix.programId === programId)
      .map(({ key, tokens }) => ({ key, tokens }));
    if (prefixes.length === 0) return context.body(null, 404);
    return context.json({ prefixes });
  });
  app.put("/v1/programs/:programId/kv", async (context) => {
    const programId = context.req.param("programId");
    const body: unknown = await context.req.json().catch(() => undefined);
    const parsed = KV_PREFIXES.safeParse(body);
    if (!parsed.success) return context.text("malformed KV cache", 400);
    for (const prefix of parsed.data.prefixes) {
      driver.handle({ kind: "import_prefix", programId, ...prefix });
    }
    return context.body(null, 204);
  });
}

function runOrder(
  context: Context<StandinEnv>,
  options: { readonly driver: EngineDriver; readonly order: TargetOrder },
): Response {
  const { order } = options;
  const result = options.driver.handle({ kind: "order", order });
  if (result.kind === "fenced") {
    return context.json({ highest: result.highest }, 412);
  }
  return context.body(null, 204);
}

function readFence(context: Context<StandinEnv>): number {
  return Number(context.req.header(FENCE_HEADER) ?? 0);
}
