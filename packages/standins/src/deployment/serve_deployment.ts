/**
 * Starts all stand-ins of a deployment on the loopback interface.
 */
import { checkNever, type TargetSpec } from "@camphorlock/types";
import {
  DEFAULT_ENGINE_SETTINGS,
  EngineModel,
  type EngineSettings,
} from "../engine/mod.ts";
import type { EngineCore } from "../engine_server/engine_core.ts";
import { SimpleEngine } from "../engine_server/simple_engine.ts";
import type { SlowPeriodsOptions } from "../engine_server/slow_periods.ts";
import {
  type RunningEngine,
  serveEngine,
  type ServeEngineOptions,
} from "../engine_server/serve_engine.ts";
import {
  type RunningPlatform,
  servePlatform,
  type ServePlatformOptions,
} from "../platform/serve_platform.ts";
import { type RunningService, serveService } from "../service/serve_service.ts";
import { ServiceRuns } from "../service/service_runs.ts";
import type { Deployment } from "./schema.ts";

/** The kind of engine that a deployment runs. */
export type DeploymentEngine =
  /** Continuous batching, with a prefix cache in limited memory. */
  | { readonly kind: "batching"; readonly settings?: Partial<EngineSettings> }
  /** A fixed time per token, independent of the load. */
  | {
    readonly kind: "paced";
    readonly tokenMs: number;
    readonly firstTokenMs: number;
  };

/** Settings of a running deployment. */
export interface ServeDeploymentOptions {
  readonly platform?: ServePlatformOptions;
  /** The kind of engine. Defaults to batching with the default settings. */
  readonly engine?: DeploymentEngine;
  /** Periods in which engines are slow. None when absent. */
  readonly slowPeriods?: SlowPeriodsOptions;
  readonly serviceDelayMs?: number;
}

/** The stand-ins of a deployment, by target. */
export interface RunningDeployment {
  readonly platform: RunningPlatform;
  readonly engines: ReadonlyMap<string, RunningEngine>;
  readonly services: ReadonlyMap<string, RunningService>;
  /** The runs of all services, for history checkers. */
  readonly runs: ServiceRuns;
  /** The targets, with the addresses of their stand-ins. */
  readonly targets: readonly TargetSpec[];
  stop(): Promise<void>;
}

/** Starts a platform stand-in and a stand-in for each target. */
export async function serveDeployment(
  deployment: Deployment,
  options: ServeDeploymentOptions = {},
): Promise<RunningDeployment> {
  const platform = await servePlatform(options.platform);
  const engines = new Map<string, RunningEngine>();
  const services = new Map<string, RunningService>();
  const runs = new ServiceRuns();
  const targets: TargetSpec[] = [];
  for (const target of deployment.targets) {
    if (target.kind === "engine") {
      const instance = { target, index: engines.size };
      const engine = await serveEngine(buildEngineOptions(options, instance));
      engines.set(target.target, engine);
      targets.push(buildSpec(target, engine.address));
    } else {
      const delayMs = options.serviceDelayMs ?? 0;
      const service = await serveService({ delayMs, runs });
      services.set(target.target, service);
      targets.push(buildSpec(target, service.address));
    }
  }
  const servers = [...engines.values(), ...services.values(), platform];
  return {
    platform,
    engines,
    services,
    runs,
    targets,
    stop: async () => {
      await Promise.all(servers.map((server) => server.stop()));
    },
  };
}

interface EngineInstance {
  readonly target: Deployment["targets"][number];
  readonly index: number;
}

function buildEngineOptions(
  options: ServeDeploymentOptions,
  instance: EngineInstance,
): ServeEngineOptions {
  const { slowPeriods } = options;
  return {
    core: createEngine(options.engine ?? { kind: "batching" }, instance),
    models: instance.target.serves,
    ...(slowPeriods === undefined ? {} : {
      // Each engine has its own seed, so that the slow periods differ.
      slowPeriods: { ...slowPeriods, seed: slowPeriods.seed + instance.index },
    }),
  };
}

function createEngine(
  engine: DeploymentEngine,
  instance: EngineInstance,
): EngineCore {
  const checksFencing = instance.target.checks_fencing;
  switch (engine.kind) {
    case "batching":
      return new EngineModel({
        ...DEFAULT_ENGINE_SETTINGS,
        models: instance.target.serves,
        seed: instance.index + 1,
        ...engine.settings,
        checksFencing,
      });
    case "paced":
      return new SimpleEngine({ ...engine, checksFencing });
    default:
      return checkNever(engine);
  }
}

function buildSpec(
  target: Deployment["targets"][number],
  address: string,
): TargetSpec {
  return {
    targetId: target.target,
    kind: target.kind,
    serves: target.serves,
    region: target.region,
    failureDomain: target.failure_domain,
    address,
    checksFencing: target.checks_fencing,
    leaving: false,
  };
}
