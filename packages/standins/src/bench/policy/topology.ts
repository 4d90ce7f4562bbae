/**
 * The nodes, engines and delays of a bench. The scenarios use three regions, as
 * current deployments do.
 */
import type {
  MembershipView,
  NodeView,
  Region,
  TargetSpec,
} from "@camphorlock/types";
import type { EngineSettings } from "../../engine/mod.ts";

/** One-way delays in milliseconds. */
export interface Delays {
  readonly withinRegionMs: number;
  readonly betweenRegionsMs: number;
  readonly toClientMs: number;
}

/** The nodes, engines and network of a bench. */
export interface Topology {
  readonly nodes: readonly NodeView[];
  readonly engines: readonly TargetSpec[];
  readonly delays: Delays;
  readonly engine: EngineSettings;
}

/** The model that every engine of the benches serves. */
export const BENCH_MODEL = "agent-model";

/** Creates nodes and engines, spread evenly over the regions. */
export function createTopology(options: {
  readonly regions: readonly Region[];
  readonly nodes: number;
  readonly engines: number;
  readonly delays: Delays;
  readonly engine: EngineSettings;
}): Topology {
  const { regions, delays, engine } = options;
  const getRegion = (number: number): Region =>
    regions[number % regions.length] ?? "";
  const nodes = listNumbers(options.nodes).map((number) =>
    createNode(number, getRegion(number))
  );
  const engines = listNumbers(options.engines).map((number) =>
    createEngine(number, getRegion(number))
  );
  return { nodes, engines, delays, engine };
}

/** Creates the membership view of one node. */
export function createView(topology: Topology, node: NodeView): MembershipView {
  return { self: node.spec.vmId, nodes: topology.nodes };
}

/** Gets the one-way delay between two regions. */
export function getDelay(
  delays: Delays,
  from: Region,
  to: Region,
): number {
  return from === to ? delays.withinRegionMs : delays.betweenRegionsMs;
}

function listNumbers(count: number): number[] {
  return Array.from({ length: count }, (_, index) => index);
}

function createNode(number: number, region: Region): NodeView {
  return {
    state: "alive",
    revision: 1,
    spec: {
      vmId: `vm-${number}`,
      incarnation: 1,
      region,
      failureDomain: `${region}`,
      peerAddress: `10.0.0.${number}:1`,
      callerAddress: `10.0.0.${number}:2`,
      hasDisk: false,
    },
  };
}

function createEngine(number: number, region: Region): TargetSpec {
  return {
    targetId: `engine-${number}`,
    kind: "engine",
    serves: [BENCH_MODEL],
    region,
    failureDomain: `${region}`,
    address: "",
    checksFencing: true,
    leaving: false,
  };
}
