/**
 * Starts the stand-ins of a whole deployment on loopback.
 */
import type { TargetSpec } from "@camphorlock/types";
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

/** Settings of a running deployment. */
export interface ServeDeploymentOptions {
  readonly platform?: ServePlatformOptions;
  readonly engine?: Omit<
    ServeEngineOptions,
    "port" | "checksFencing" | "models"
  >;
  readonly serviceDelayMs?: number;
}

/** The stand-ins of a deployment, by target. */
export interface RunningDeployment {
  readonly platform: RunningPlatform;
  readonly engines: ReadonlyMap<string, RunningEngine>;
  readonly services: ReadonlyMap<string, RunningService>;
  /** The runs of all services, for history checkers. */
  readonly runs: ServiceRuns;
  /** The targets with the addresses at which they listen. */
  readonly targets: readonly TargetSpec[];
  stop(): Promise<void>;
}

/** Starts a platform, and a stand-in for each target. */
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
      const checksFencing = target.checks_fencing;
      const engine = await serveEngine({
        ...options.engine,
        ...chooseSlowMoments(options, engines.size),
        checksFencing,
        models: target.serves,
      });
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

/** Engines are slow at different times. */
function chooseSlowMoments(
  options: ServeDeploymentOptions,
  index: number,
): Pick<ServeEngineOptions, "slowMoments"> {
  const slowMoments = options.engine?.slowMoments;
  if (slowMoments === undefined) return {};
  const seed = slowMoments.seed + index;
  return { slowMoments: { ...slowMoments, seed } };
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
