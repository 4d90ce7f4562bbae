/**
 * The engine stand-in over HTTP. `docs/EDGES.md` describes the interface.
 */
import { setTimeout as waitFor } from "node:timers/promises";
import type { AttemptId } from "@camphorlock/types";
import {
  ATTEMPT_HEADER,
  NOT_RUN_HEADER,
  PROGRAM_HEADER,
} from "@camphorlock/http";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { type Context, Hono } from "hono";
import {
  type ListenOptions,
  type RunningServer,
  type StandinEnv,
  startServer,
  waitForever,
} from "../http_server.ts";
import { parseChatRequest } from "./chat_request.ts";
import type { EngineCore } from "./engine_core.ts";
import { EngineControl } from "./engine_control.ts";
import { EngineDriver } from "./engine_driver.ts";
import { addOrderRoutes } from "./order_routes.ts";
import { addReportRoutes } from "./report_routes.ts";
import { SimpleEngine } from "./simple_engine.ts";
import { type SlowPeriodsOptions, startSlowPeriods } from "./slow_periods.ts";

const DEFAULT_TOKEN_MS = 5;
const DEFAULT_FIRST_TOKEN_MS = 20;

/** Settings of an engine stand-in. */
export interface ServeEngineOptions extends ListenOptions {
  /** The engine model. Defaults to `SimpleEngine`. */
  readonly core?: EngineCore;
  readonly tokenMs?: number;
  readonly firstTokenMs?: number;
  readonly checksFencing?: boolean;
  /** Periods in which the engine is slow. None when absent. */
  readonly slowPeriods?: SlowPeriodsOptions;
  /** Models served from the start. */
  readonly models?: readonly string[];
}

/** A running engine stand-in. */
export interface RunningEngine extends RunningServer {
  readonly control: EngineControl;
}

/** Starts an engine stand-in. */
export async function serveEngine(
  options: ServeEngineOptions = {},
): Promise<RunningEngine> {
  const core = options.core ?? createSimpleEngine(options);
  const driver = new EngineDriver(core);
  const control = new EngineControl(driver);
  const app = new Hono<StandinEnv>();
  app.use("*", async (_context, next) => {
    control.requests += 1;
    if (control.silent) return await waitForever();
    await next();
  });
  addStreamRoutes(app, { driver, control });
  addOrderRoutes(app, { driver, models: new Set(options.models) });
  addReportRoutes(app, driver);
  const server = await startServer(app, options);
  const slowPeriods = options.slowPeriods &&
    startSlowPeriods(options.slowPeriods, (speed) => control.setSpeed(speed));
  return {
    address: server.address,
    control,
    stop: () => {
      slowPeriods?.stop();
      driver.stop();
      return server.stop();
    },
  };
}

interface StreamRouteOptions {
  readonly driver: EngineDriver;
  readonly control: EngineControl;
}

function addStreamRoutes(
  app: Hono<StandinEnv>,
  options: StreamRouteOptions,
): void {
  const { driver, control } = options;
  app.post("/v1/chat/completions", async (context) => {
    const body: unknown = await context.req.json().catch(() => undefined);
    if (control.refusing) return refuse(context, 503, "taking no new work");
    const attemptId = context.req.header(ATTEMPT_HEADER);
    const programId = context.req.header(PROGRAM_HEADER);
    if (attemptId === undefined || programId === undefined) {
      return refuse(context, 400, "attempt or program header is missing");
    }
    const planned = parseChatRequest(body, { attemptId, programId });
    if (planned.isErr()) return refuse(context, 400, planned.error);
    if (control.startDelayMs > 0) await waitFor(control.startDelayMs);
    const result = driver.startCompletion(planned.value);
    // The response doesn't state whether the earlier attempt was run.
    if (result.kind === "known") return context.text("known attempt", 409);
    if (result.kind === "rejected") return refuse(context, 400, result.detail);
    return openStream(context, { ...options, attemptId, fromOffset: 0 });
  });
  app.get("/v1/streams/:attemptId", (context) => {
    const attemptId = context.req.param("attemptId");
    const stream = driver.streams.get(attemptId);
    if (stream === undefined) return context.text("unknown attempt", 404);
    const fromOffset = Number(context.req.query("offset") ?? 0);
    if (!(fromOffset >= 0 && fromOffset <= stream.length)) {
      return context.text("offset beyond the text", 416);
    }
    return openStream(context, { ...options, attemptId, fromOffset });
  });
  app.delete("/v1/streams/:attemptId", (context) => {
    const attemptId = context.req.param("attemptId");
    if (!driver.streams.has(attemptId)) return context.body(null, 404);
    driver.handle({ kind: "cancel", attemptId });
    return context.body(null, 204);
  });
}

interface OpenStreamOptions extends StreamRouteOptions {
  readonly attemptId: AttemptId;
  readonly fromOffset: number;
}

function openStream(
  context: Context<StandinEnv>,
  options: OpenStreamOptions,
): Response {
  const { attemptId, control, driver } = options;
  const response = context.env.outgoing;
  const reportedId = chooseReportedId(attemptId, control);
  response.writeHead(200, {
    "content-type": "text/event-stream",
    "cache-control": "no-store",
    [ATTEMPT_HEADER]: reportedId,
  });
  response.flushHeaders();
  driver.streams.get(attemptId)?.addReader(response, {
    fromOffset: options.fromOffset,
    reportedId,
    silent: control.silent,
  });
  return RESPONSE_ALREADY_SENT;
}

function chooseReportedId(
  attemptId: AttemptId,
  control: EngineControl,
): string {
  if (control.mismatchedResponses === 0) return attemptId;
  control.mismatchedResponses -= 1;
  return `${attemptId}-crossed`;
}

function refuse(
  context: Context<StandinEnv>,
  status: 400 | 503,
  detail: string,
): Response {
  context.header(NOT_RUN_HEADER, "true");
  return context.text(detail, status);
}

function createSimpleEngine(options: ServeEngineOptions): SimpleEngine {
  return new SimpleEngine({
    tokenMs: options.tokenMs ?? DEFAULT_TOKEN_MS,
    firstTokenMs: options.firstTokenMs ?? DEFAULT_FIRST_TOKEN_MS,
    checksFencing: options.checksFencing ?? true,
  });
}
