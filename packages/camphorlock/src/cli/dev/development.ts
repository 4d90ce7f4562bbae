/**
 * Starts the stand-ins of a deployment and nodes before them, in one process.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import { type ConfigurationValue } from "@camphorlock/types";
import { EMPTY_CONFIGURATION } from "@camphorlock/scheduler";
import {
  type Deployment,
  DEPLOYMENT_NAMES,
  loadDeployment,
  serveDeployment,
} from "@camphorlock/standins";
import type { RunningDeployment } from "@camphorlock/standins";
import { err, ok, type Result } from "neverthrow";
import { NodeProcess } from "../../node/node_process.ts";
import { type NodeSettings, settingsSchema } from "../../settings/schema.ts";
import { findFreePorts } from "./free_ports.ts";

const READY_LIMIT_MS = 30_000;
const POLL_MS = 50;
const DEV_SHARDS = 16;
const FIRST_PORT = 7_400;
const PORTS_PER_NODE = 2;
const PRICES = {
  promptMicros: 1_000,
  cachedMicros: 100,
  completionMicros: 4_000,
} as const;
const SERVICE_CALL_MICROS = 500;

/** What is started. */
export interface DevelopmentOptions {
  readonly deployment: string;
  readonly nodeCount: number;
  readonly logLevel: string;
  /** The first port to try; later ones follow. */
  readonly firstPort?: number;
}

/** A running development set-up. */
export interface Development {
  /** Where each node serves callers. */
  readonly addresses: readonly string[];
  readonly nodes: readonly NodeProcess[];
  readonly targets: RunningDeployment;
  /** A model and a service that the deployment has. */
  readonly model: string;
  readonly service: string;
  stop(limitMs: number): Promise<void>;
}

/** Starts everything and waits until the nodes serve. */
export async function startDevelopment(
  options: DevelopmentOptions,
): Promise<Result<Development, Failure>> {
  const name = DEPLOYMENT_NAMES.find((each) => each === options.deployment);
  if (name === undefined) return err(createUnknown(options.deployment));
  const deployment = await loadDeployment(name);
  if (deployment.isErr()) return err(deployment.error);
  const listed = deployment.value.nodes.length;
  if (!(options.nodeCount >= 1 && options.nodeCount <= listed)) {
    const detail = `nodes: found ${options.nodeCount}; allowed: 1 to ${listed}`;
    return err(createFailure("SettingsInvalid", detail));
  }
  const targets = await serveDeployment(deployment.value);
  const nodes = await startNodes(options, deployment.value, targets);
  if (nodes.isErr()) {
    await targets.stop();
    return err(nodes.error);
  }
  return ok({
    addresses: nodes.value.map((node) => node.callerAddress),
    nodes: nodes.value,
    targets,
    model: findServed(targets, "engine"),
    service: findServed(targets, "service"),
    async stop(limitMs): Promise<void> {
      await Promise.all(nodes.value.map((node) => node.stop(limitMs)));
      await targets.stop();
    },
  });
}

async function startNodes(
  options: DevelopmentOptions,
  deployment: Deployment,
  targets: RunningDeployment,
): Promise<Result<NodeProcess[], Failure>> {
  const { nodeCount, firstPort = FIRST_PORT } = options;
  const ports = await findFreePorts(firstPort, nodeCount * PORTS_PER_NODE);
  const initial = {
    value: buildConfiguration(targets),
    by: { partner: deployment.deployment.partner, operator: "dev" },
    atMs: Date.now(),
  };
  const nodes: NodeProcess[] = [];
  for (const [at, place] of deployment.nodes.slice(0, nodeCount).entries()) {
    const settings = buildSettings(place, {
      baseUrl: `http://${targets.platform.address}`,
      callerPort: ports[at * PORTS_PER_NODE] ?? 0,
      peerPort: ports[at * PORTS_PER_NODE + 1] ?? 0,
      logLevel: options.logLevel,
    });
    if (settings.isErr()) return err(settings.error);
    const node = new NodeProcess({ settings: settings.value, initial });
    const started = await node.start();
    if (started.isErr()) return err(started.error);
    addToVmList(targets, settings.value);
    nodes.push(node);
  }
  return await waitServing(nodes) ? ok(nodes) : err(createNotServing());
}

interface DevPlaces {
  readonly baseUrl: string;
  readonly callerPort: number;
  readonly peerPort: number;
  readonly logLevel: string;
}

function buildSettings(
  place: Deployment["nodes"][number],
  places: DevPlaces,
): Result<NodeSettings, Failure> {
  const settings = settingsSchema.safeParse({
    node: {
      vm: place.vm,
      region: place.region,
      failure_domain: place.failure_domain,
    },
    listen: { caller_port: places.callerPort, peer_port: places.peerPort },
    platform: { base_url: places.baseUrl, calls_per_second: 400 },
    installation: { shard_count: DEV_SHARDS },
    log: { level: places.logLevel, format: "readable" },
  });
  if (settings.success) return ok(settings.data);
  return err(createFailure("SettingsInvalid", settings.error.message));
}

/** The platform's VM list tells the nodes of each other. */
function addToVmList(targets: RunningDeployment, settings: NodeSettings): void {
  const { node, listen } = settings;
  targets.platform.vms.set({
    vmId: node.vm,
    address: `${listen.host}:${listen.peer_port}`,
    region: node.region,
    failureDomain: node.failure_domain,
    state: "live",
  }, 0);
}

function buildConfiguration(targets: RunningDeployment): ConfigurationValue {
  const models = listServed(targets, "engine");
  const services = listServed(targets, "service");
  return {
    ...EMPTY_CONFIGURATION,
    targets: targets.targets,
    models: models.map((model) => ({ model, ...PRICES })),
    services: services.map((service) => ({
      service,
      callMicros: SERVICE_CALL_MICROS,
    })),
  };
}

function listServed(
  targets: RunningDeployment,
  kind: "engine" | "service",
): string[] {
  const served = targets.targets
    .filter((target) => target.kind === kind)
    .flatMap((target) => target.serves);
  return [...new Set(served)].sort();
}

function findServed(
  targets: RunningDeployment,
  kind: "engine" | "service",
): string {
  return listServed(targets, kind)[0] ?? "";
}

async function waitServing(nodes: readonly NodeProcess[]): Promise<boolean> {
  const untilMs = performance.now() + READY_LIMIT_MS;
  while (performance.now() < untilMs) {
    const serving = nodes
      .reduce((sum, node) => sum + node.core.countShards().serving, 0);
    if (serving >= DEV_SHARDS) return true;
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
  return false;
}

function createUnknown(name: string): Failure {
  const detail = `deployment: found ${name}; allowed: ${
    DEPLOYMENT_NAMES.join(", ")
  }`;
  return createFailure("SettingsInvalid", detail);
}

function createNotServing(): Failure {
  return createFailure("NodeNotReady", "the shards aren't served in time");
}
