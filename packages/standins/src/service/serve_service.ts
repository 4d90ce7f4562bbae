/**
 * The service stand-in over HTTP. `docs/EDGES.md` describes the interface.
 *
 * A request is run again even if its idempotency key was run before, so that
 * history checkers detect callers that rely on services for deduplication.
 * Requests with a key that was reported as not run are refused.
 */
import { createHash } from "node:crypto";
import { setTimeout as waitFor } from "node:timers/promises";
import { checkNever } from "@camphorlock/types";
import {
  IDEMPOTENCY_KEY_HEADER,
  NOT_RUN_HEADER,
  PROGRAM_HEADER,
} from "@camphorlock/http";
import { type Context, Hono } from "hono";
import {
  closeConnection,
  type ListenOptions,
  type RunningServer,
  type StandinEnv,
  startServer,
  waitForever,
} from "../http_server.ts";
import { ServiceControl } from "./service_control.ts";
import { ServiceRuns } from "./service_runs.ts";

/** Settings of a service stand-in. */
export interface ServeServiceOptions extends ListenOptions {
  readonly name?: string;
  readonly delayMs?: number;
  /** The run log, if shared with other instances of the same service. */
  readonly runs?: ServiceRuns;
  /** Whether the service reports the outcome of a key. */
  readonly reportsOutcomes?: boolean;
}

/** A running service stand-in. */
export interface RunningService extends RunningServer {
  readonly control: ServiceControl;
}

interface Operation {
  readonly key: string;
  readonly programId: string;
  readonly operation: string;
  readonly body: string;
}

/** Starts a stand-in for a tool or another service. */
export async function serveService(
  options: ServeServiceOptions = {},
): Promise<RunningService> {
  const startedAtMs = performance.now();
  const readNow = (): number => performance.now() - startedAtMs;
  const runs = options.runs ?? new ServiceRuns();
  const control = new ServiceControl(runs, options.delayMs ?? 0);
  const app = new Hono<StandinEnv>();
  app.post("/v1/operations/:operation", async (context) => {
    const operation = await readOperation(context);
    if (operation === undefined) {
      return refuse(context, 400, "the idempotency key is missing");
    }
    return await runOperation(context, { operation, control, readNow });
  });
  if (options.reportsOutcomes !== false) addOutcomeRoute(app, runs);
  const server = await startServer(app, options);
  return { ...server, control };
}

/** Derives the response to an operation, so that tests can check it. */
export function buildOperationText(operation: string, body: string): string {
  const digest = createHash("sha256").update(body).digest("hex");
  return JSON.stringify({ operation, result: digest });
}

interface RunOperationOptions {
  readonly operation: Operation;
  readonly control: ServiceControl;
  readonly readNow: () => number;
}

async function runOperation(
  context: Context<StandinEnv>,
  options: RunOperationOptions,
): Promise<Response> {
  const { operation, control, readNow } = options;
  const { runs } = control;
  const { key, body } = operation;
  if (runs.findState(key)?.kind === "sealed") {
    return refuse(context, 409, "the key was told as not run");
  }
  const behavior = control.takeBehavior(operation.operation);
  if (behavior.kind === "refuse") {
    return refuse(context, 503, "taking no new work");
  }
  if (behavior.kind === "break_before") return await closeConnection(context);
  runs.setRunning(key);
  if (behavior.kind === "hang") return await waitForever();
  await waitFor(behavior.kind === "delay" ? behavior.ms : control.delayMs);
  const text = buildOperationText(operation.operation, body);
  runs.add({ ...operation, text, atMs: readNow() });
  switch (behavior.kind) {
    case "break_after":
      return await closeConnection(context);
    case "hang_after":
      return await waitForever();
    case "fail":
      context.header(IDEMPOTENCY_KEY_HEADER, key);
      return context.text(behavior.detail, 500);
    case "cross":
      context.header(IDEMPOTENCY_KEY_HEADER, `${key}-crossed`);
      return context.text(buildOperationText(operation.operation, "crossed"));
    case "normal":
    case "delay":
      context.header(IDEMPOTENCY_KEY_HEADER, key);
      return context.text(text);
    default:
      return checkNever(behavior);
  }
}

function addOutcomeRoute(app: Hono<StandinEnv>, runs: ServiceRuns): void {
  app.post("/v1/outcomes/:key/settle", (context) => {
    const key = context.req.param("key");
    const state = runs.findState(key);
    if (state === undefined) {
      runs.addSeal(key);
      return context.json({ state: "not_run" });
    }
    switch (state.kind) {
      case "sealed":
        return context.json({ state: "not_run" });
      case "running":
        return context.json({ state: "running" });
      case "ended":
        return context.json({ state: "completed", text: state.run.text });
      default:
        return checkNever(state);
    }
  });
}

async function readOperation(
  context: Context<StandinEnv>,
): Promise<Operation | undefined> {
  const key = context.req.header(IDEMPOTENCY_KEY_HEADER);
  const operation = context.req.param("operation");
  if (key === undefined || operation === undefined) return undefined;
  const programId = context.req.header(PROGRAM_HEADER) ?? "";
  const body = await context.req.text();
  return { key, programId, operation, body };
}

function refuse(
  context: Context<StandinEnv>,
  status: 400 | 409 | 503,
  detail: string,
): Response {
  context.header(NOT_RUN_HEADER, "true");
  return context.text(detail, status);
}
