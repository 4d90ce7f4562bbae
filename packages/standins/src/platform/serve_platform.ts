/**
 * The platform stand-in over HTTP, with fault injection.
 *
 * `docs/EDGES.md` describes the interface. The paths under `/control` exist
 * only in the stand-in.
 */
import { setTimeout as waitFor } from "node:timers/promises";
import {
  checkNever,
  type PlatformRequest,
  type PlatformResponse,
} from "@camphorlock/types";
import { type Context, Hono } from "hono";
import {
  closeConnection,
  type ListenOptions,
  type RunningServer,
  type StandinEnv,
  startServer,
  waitForever,
} from "../http_server.ts";
import {
  encodeResponse,
  parseObjectRequest,
  parseQueryRequest,
} from "./http_codec.ts";
import { FaultPlan } from "./fault_plan.ts";
import { FaultyStore } from "./faulty_store.ts";
import { ObjectStore, type ObjectStoreOptions } from "./object_store.ts";
import { PlatformControl } from "./platform_control.ts";
import { addControlRoutes } from "./control_routes.ts";
import { addVmRoutes, VmList } from "./vm_list.ts";
import { addWeightRoutes, type WeightStoreOptions } from "./weight_store.ts";

const MAX_WATCH_WAIT_MS = 60_000;
const DELAYED_CHECK_INTERVAL_MS = 20;

/** Settings of the platform stand-in. */
export interface ServePlatformOptions extends ListenOptions {
  readonly seed?: number;
  readonly rates?: ObjectStoreOptions;
  /** Delay after which the VM list shows a change. */
  readonly vmListLagMs?: number;
  readonly weights?: WeightStoreOptions;
}

/** A running platform stand-in. */
export interface RunningPlatform extends RunningServer {
  readonly control: PlatformControl;
  readonly store: ObjectStore;
  readonly vms: VmList;
}

type WatchRequest = Extract<PlatformRequest, { kind: "watch" }>;

/** Starts a platform stand-in: object API, VM list and weight store. */
export async function servePlatform(
  options: ServePlatformOptions = {},
): Promise<RunningPlatform> {
  const startedAtMs = performance.now();
  const readNow = (): number => performance.now() - startedAtMs;
  const store = new ObjectStore(options.rates);
  const plan = new FaultPlan({ seed: options.seed ?? 1, faults: [] });
  const faulty = new FaultyStore(store, plan);
  const control = new PlatformControl(faulty, readNow);
  const vms = new VmList(options.vmListLagMs ?? 0);
  const app = new Hono<StandinEnv>();
  addObjectRoutes(app, { faulty, readNow });
  addControlRoutes(app, control);
  addVmRoutes(app, { vms, readNow });
  addWeightRoutes(app, { ...options.weights, readNow });
  const server = await startServer(app, options);
  const delayedTimer = setInterval(
    () => faulty.applyDelayed(readNow()),
    DELAYED_CHECK_INTERVAL_MS,
  );
  return {
    address: server.address,
    control,
    store,
    vms,
    stop: () => {
      clearInterval(delayedTimer);
      return server.stop();
    },
  };
}

interface ObjectRouteOptions {
  readonly faulty: FaultyStore;
  readonly readNow: () => number;
}

function addObjectRoutes(
  app: Hono<StandinEnv>,
  options: ObjectRouteOptions,
): void {
  app.get("/v1/objects", async (context) => {
    const request = parseQueryRequest(context, "list");
    return await handleRequest(context, { ...options, request });
  });
  app.all("/v1/objects/*", async (context) => {
    const request = await parseObjectRequest(context);
    if (request === undefined) return context.text("bad request", 400);
    return await handleRequest(context, { ...options, request });
  });
  app.get("/v1/watch", async (context) => {
    const request = parseQueryRequest(context, "watch");
    if (request.kind !== "watch") return context.text("bad request", 400);
    return encodeResponse(
      await waitForChange(context, { ...options, request }),
    );
  });
}

async function handleRequest(
  context: Context<StandinEnv>,
  options: ObjectRouteOptions & { readonly request: PlatformRequest },
): Promise<Response> {
  const result = options.faulty.handle(options.request, options.readNow());
  switch (result.kind) {
    case "silent":
      return await waitForever();
    case "cut":
      return await closeConnection(context);
    case "answered":
      if (result.delayMs > 0) await waitFor(result.delayMs);
      return encodeResponse(result.answer);
    default:
      return checkNever(result);
  }
}

function waitForChange(
  context: Context<StandinEnv>,
  options: ObjectRouteOptions & { readonly request: WatchRequest },
): Promise<PlatformResponse> {
  const requestedMs = Number(context.req.query("wait_ms") ?? MAX_WATCH_WAIT_MS);
  const waitMs = Math.min(requestedMs, MAX_WATCH_WAIT_MS);
  return new Promise((resolve) => {
    const timer = setTimeout(() => stop(), waitMs);
    const stop = options.faulty.watch(options.request, {
      nowMs: options.readNow(),
      answer: (response) => {
        clearTimeout(timer);
        resolve(response);
      },
    });
    context.req.raw.signal.addEventListener("abort", stop, { once: true });
  });
}
