/**
 * What the cases have in common: the engines of one service, spread over the
 * zones, and the operator's configuration with one route.
 */
import { Engine, type EngineOptions } from "./engine.ts";
import type { CaseTools } from "./run_case.ts";

/** The engines of a service. */
export interface ServiceOptions {
  readonly service: string;
  readonly count: number;
  readonly slots: number;
  readonly run: EngineOptions["run"];
}

/**
 * Starts the engines of a service and registers them; rejects if an address
 * can't be used.
 */
export async function startEngines(
  { deployment, recorder }: Pick<CaseTools, "deployment" | "recorder">,
  { service, count, slots, run }: ServiceOptions,
): Promise<Engine[]> {
  const { zones, store } = deployment;
  const engines: Engine[] = [];
  for (let index = 0; index < count; index += 1) {
    const engine = new Engine({
      name: `${service}-${index + 1}`,
      service,
      ip: deployment.buildEngineIp(index),
      zone: zones[index % zones.length] ?? "",
      slots,
      store,
      recorder,
      run,
    });
    await engine.start();
    engine.register();
    engines.push(engine);
  }
  return engines;
}

/** Writes a configuration whose route runs each request at most once. */
export function putOrderRoute(
  { deployment }: Pick<CaseTools, "deployment">,
  { service, timeoutMs }: {
    readonly service: string;
    readonly timeoutMs: number;
  },
): void {
  putConfiguration(deployment, {
    service,
    route: { routeType: "non_idempotent", timeoutMs, attempts: 1 },
  });
}

/** Writes a configuration whose route has streams that may be resumed. */
export function putStreamRoute(
  { deployment }: Pick<CaseTools, "deployment">,
  { service, timeoutMs, slots }: {
    readonly service: string;
    readonly timeoutMs: number;
    readonly slots: number;
  },
): void {
  putConfiguration(deployment, {
    service,
    route: {
      routeType: "streaming",
      timeoutMs,
      attempts: 1,
      resumable: true,
      sticky: true,
      retentionS: 60,
      targetGapMs: 250,
    },
    engine: { slots, kvCapacityTokens: 444_000, chunkTokens: 35 },
  });
}

/** Writes the operator's configuration with one route of one service. */
function putConfiguration(
  { store }: CaseTools["deployment"],
  { service, route, engine }: {
    readonly service: string;
    readonly route: object;
    readonly engine?: object;
  },
): void {
  store.put("config", "main", {
    version: 7,
    routes: [{
      name: "r-main",
      host: "shop.example",
      pathPrefix: "/main/",
      targetLatencyMs: 300,
      priority: 0,
      service,
      serverHistory: false,
      ...route,
    }],
    services: [{
      name: service,
      healthPath: "/healthz",
      maxConnections: 180,
      protocol: "h1",
      tls: false,
      ...(engine === undefined ? {} : { engine }),
    }],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  });
}
