/**
 * Starts a deployment's stand-ins, and nodes that use them, in one process.
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

const READY_TIMEOUT_MS = 30_000;
const POLL_INTERVAL_MS = 50;
const DEV_SHARDS = 16;
const FIRST_PORT = 7_400;
const PORTS_PER_NODE = 2;
const PRICES = {
  promptMicros: 1_000,
  cachedMicros: 100,
  completionMicros: 4_000,
} as const;
const SERVICE_CALL_MICROS = 500;

/** What to start. */
export interface DevelopmentClusterOptions {
  readonly deployment: string;
  readonly nodeCount: number;
  readonly logLevel: string;
  /** The lowest port to try. */
  readonly firstPort?: number;
}

/** Nodes and stand-ins that run in this process. */
export interface DevelopmentCluster {
  /** The caller address of each node. */
  readonly addresses: readonly string[];
  readonly nodes: readonly NodeProcess[];
  readonly targets: RunningDeployment;
  /** A model and a service that the deployment's targets serve. */
  readonly model: string;
  readonly service: string;
  stop(limitMs: number): Promise<void>;
}

/** Starts stand-ins and nodes, and waits until the nodes serve every shard. */
export async function startDevelopmentCluster(
  options: DevelopmentClusterOptions,
): Promise<Result<DevelopmentCluster, Failure>> {
  const name = DEPLOYMENT_NAMES.find((each) => each === options.deployment);
  if (name === undefined) return err(createUnknownName(options.deployment));
  const deployment = await loadDeployment(name);
  if (deployment.isErr()) return err(deployment.error);
  const maxNodes = deployment.value.nodes.length;
  if (!(options.nodeCount >= 1 && options.nodeCount <= maxNodes)) {
    const detail =
      `nodes: found ${options.nodeCount}; allowed: 1 to ${maxNodes}`;
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
    model: findServedName(targets, "engine"),
    service: findServedName(targets, "service"),
    async stop(limitMs): Promise<void> {
      await Promise.all(nodes.value.map((node) => node.stop(limitMs)));
      await targets.stop();
    },
  });
}

async function startNodes(
  options: DevelopmentClusterOptions,
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
  for (
    const [index, location] of deployment.nodes.slice(0, nodeCount).entries()
  ) {
    const settings = buildSettings(location, {
      baseUrl: `http://${targets.platform.address}`,
      callerPort: ports[index * PORTS_PER_NODE] ?? 0,
      peerPort: ports[index * PORTS_PER_NODE + 1] ?? 0,
      logLevel: options.logLevel,
    });
    if (settings.isErr()) return err(settings.error);
    const node = new NodeProcess({ settings: settings.value, initial });
    const started = await node.start();
    if (started.isErr()) return err(started.error);
    addToVmList(targets, settings.value);
    nodes.push(node);
  }
  return await waitUntilServing(nodes) ? ok(nodes) : err(createNotServing());
}

interface DevNodeOptions {
  readonly baseUrl: string;
  readonly callerPort: number;
  readonly peerPort: number;
  readonly logLevel: string;
}

function buildSettings(
  location: Deployment["nodes"][number],
  options: DevNodeOptions,
): Result<NodeSettings, Failure> {
  const settings = settingsSchema.safeParse({
    node: {
      vm: location.vm,
      region: location.region,
      failure_domain: location.failure_domain,
    },
    listen: { caller_port: options.callerPort, peer_port: options.peerPort },
    platform: { base_url: options.baseUrl, calls_per_second: 400 },
    installation: { shard_count: DEV_SHARDS },
    log: { level: options.logLevel, format: "readable" },
  });
  if (settings.success) return ok(settings.data);
  return err(createFailure("SettingsInvalid", settings.error.message));
}

/** Adds a node to the platform's VM list, where other nodes discover it. */
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
  const models = listServedNames(targets, "engine");
  const services = listServedNames(targets, "service");
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

function listServedNames(
  targets: RunningDeployment,
  kind: "engine" | "service",
): string[] {
  const served = targets.targets
    .filter((target) => target.kind === kind)
    .flatMap((target) => target.serves);
  return [...new Set(served)].sort();
}

function findServedName(
  targets: RunningDeployment,
  kind: "engine" | "service",
): string {
  return listServedNames(targets, kind)[0] ?? "";
}

async function waitUntilServing(
  nodes: readonly NodeProcess[],
): Promise<boolean> {
  const deadlineMs = performance.now() + READY_TIMEOUT_MS;
  while (performance.now() < deadlineMs) {
    const serving = nodes
      .reduce((sum, node) => sum + node.core.countShards().serving, 0);
    if (serving >= DEV_SHARDS) return true;
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
  return false;
}

function createUnknownName(name: string): Failure {
  const detail = `deployment: found ${name}; allowed: ${
    DEPLOYMENT_NAMES.join(", ")
  }`;
  return createFailure("SettingsInvalid", detail);
}

function createNotServing(): Failure {
  return createFailure("NodeNotReady", "not all shards are served in time");
}
