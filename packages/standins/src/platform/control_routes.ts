/**
 * The control endpoint of the platform stand-in.
 */
import type { Hono } from "hono";
import type { StandinEnv } from "../http_server.ts";
import { FAULT_REQUEST, type PlatformControl } from "./platform_control.ts";

/** Adds `/control/faults` and `/control/counts`. */
export function addControlRoutes(
  app: Hono<StandinEnv>,
  control: PlatformControl,
): void {
  app.post("/control/faults", async (context) => {
    const body: unknown = await context.req.json().catch(() => undefined);
    const fault = FAULT_REQUEST.safeParse(body);
    if (!fault.success) return context.text(fault.error.message, 400);
    control.startFault(fault.data);
    return context.body(null, 204);
  });
  app.delete("/control/faults", (context) => {
    control.removeFaults();
    return context.body(null, 204);
  });
  app.get("/control/counts", (context) =>
    context.json({
      ...control.getCounts(),
      waitingWatches: control.countWaitingWatches(),
    }));
}
