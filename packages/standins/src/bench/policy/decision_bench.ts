/**
 * Measures the wall-clock time and memory of placement decisions by fleet size.
 */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import {
  DEFAULT_PLACEMENT_SETTINGS,
  Placement,
  type PlacementRequest,
  RandomSource,
} from "@camphorlock/scheduler";
import type {
  MembershipView,
  NodeView,
  PlacementRule,
  TargetLoad,
  TargetSpec,
} from "@camphorlock/types";
import { DEFAULT_ENGINE_SETTINGS } from "../../engine/mod.ts";
import { computeMean, computeQuantile } from "./measurements.ts";
import { createTopology } from "./topology.ts";

/** The size of a fleet. */
export interface FleetSize {
  readonly engines: number;
  readonly nodes: number;
  readonly regions: number;
  readonly models: number;
  /** Programs that the measured node owns. */
  readonly programs: number;
}

/** The sizes that are measured by default. */
export const DECISION_SIZES: readonly FleetSize[] = [
  { engines: 8, nodes: 9, regions: 3, models: 1, programs: 100 },
  { engines: 100, nodes: 9, regions: 3, models: 2, programs: 300 },
  { engines: 1_000, nodes: 40, regions: 5, models: 8, programs: 800 },
  { engines: 4_000, nodes: 150, regions: 7, models: 16, programs: 840 },
  { engines: 12_000, nodes: 430, regions: 7, models: 16, programs: 840 },
];

/** Measurements at one size. */
export interface DecisionPoint extends FleetSize {
  readonly decisions: number;
  readonly meanUs: number;
  readonly p50Us: number;
  readonly p99Us: number;
  readonly p999Us: number;
  /** Time of one periodic update of target speeds. */
  readonly tickUs: number;
  readonly memoryKb: number;
}

const NO_RULES: readonly PlacementRule[] = [];
const WARM_UP_DECISIONS = 20_000;
const DECISIONS = 100_000;
const TICKS = 20;
const TICK_MS = 1_000;
const CACHED_PROGRAM_EVERY = 2;
const NS_PER_US = 1_000;

/** Measures every size. */
export function runDecisionBench(
  sizes: readonly FleetSize[],
): DecisionPoint[] {
  return sizes.map(measureSize);
}

function measureSize(size: FleetSize): DecisionPoint {
  const fleet = createFleet(size);
  const before = readMemory();
  const placement = createPlacement(fleet);
  recordLoads(placement, fleet.targets);
  recordCachedPrefixes(placement, fleet, size);
  placement.handle({ kind: "tick" }, 0);
  measureDecisions(placement, size, WARM_UP_DECISIONS);
  const times = measureDecisions(placement, size, DECISIONS);
  const memoryKb = Math.round((readMemory() - before) / 1_024);
  return {
    ...size,
    decisions: times.length,
    meanUs: computeMean(times),
    p50Us: computeQuantile(times, 0.5),
    p99Us: computeQuantile(times, 0.99),
    p999Us: computeQuantile(times, 0.999),
    tickUs: measureTick(placement),
    memoryKb,
  };
}

interface Fleet {
  readonly targets: readonly TargetSpec[];
  readonly nodes: readonly NodeView[];
  readonly region: string;
}

function createFleet(size: FleetSize): Fleet {
  const regions = Array.from({ length: size.regions }, (_, each) => `r${each}`);
  const topology = createTopology({
    regions,
    nodes: size.nodes,
    engines: size.engines,
    delays: { withinRegionMs: 0.5, betweenRegionsMs: 8, toClientMs: 1 },
    engine: DEFAULT_ENGINE_SETTINGS,
  });
  const targets = topology.engines.map((each, index) => ({
    ...each,
    serves: [getModel(Math.floor(index / size.regions), size)],
  }));
  return { targets, nodes: topology.nodes, region: "r0" };
}

function createPlacement({ targets, nodes, region }: Fleet): Placement {
  const view: MembershipView = { self: "vm-0", nodes };
  return new Placement({
    region,
    settings: DEFAULT_PLACEMENT_SETTINGS,
    seed: 1,
    getTargets: () => targets,
    getRules: () => NO_RULES,
    getView: () => view,
  });
}

function recordLoads(
  placement: Placement,
  targets: readonly TargetSpec[],
): void {
  const random = new RandomSource(3);
  const loads: TargetLoad[] = targets.map(({ targetId }) => ({
    targetId,
    running: random.takeIndex(30),
    queued: random.takeIndex(5),
    limit: 24,
    queuedPromptTokens: random.takeIndex(10_000),
    relativeSpeed: 1,
    tokenMs: random.takeBetween(15, 36),
    slotMs: 4_000,
    prefillTokens: random.takeIndex(2_000),
  }));
  placement.handle({ kind: "loads", loads }, 0);
}

function recordCachedPrefixes(
  placement: Placement,
  { targets }: Fleet,
  size: FleetSize,
): void {
  for (
    let program = 0;
    program < size.programs;
    program += CACHED_PROGRAM_EVERY
  ) {
    const target = targets[(program * 7) % targets.length];
    if (target === undefined) continue;
    const { targetId } = target;
    placement.recordCached(`p${program}`, {
      targetId,
      tokens: 5_000,
      nowMs: 0,
    });
  }
}

function measureDecisions(
  placement: Placement,
  size: FleetSize,
  count: number,
): number[] {
  const times: number[] = [];
  for (let number = 0; number < count; number += 1) {
    const request = buildRequest(number, size);
    const startNs = process.hrtime.bigint();
    const decision = placement.choose(request, 1);
    const endNs = process.hrtime.bigint();
    if (decision.isErr()) throw new Error(decision.error.detail);
    times.push(Number(endNs - startNs) / NS_PER_US);
  }
  return times;
}

function buildRequest(number: number, size: FleetSize): PlacementRequest {
  return {
    callId: `c${number}`,
    programId: `p${number % size.programs}`,
    partner: number % 2 === 0 ? "zincir" : "okonkwo",
    programClass: "standard",
    agent: `agent-${number % 50}`,
    call: {
      kind: "model",
      model: getModel(number, size),
      messages: [],
      maxTokens: 512,
    },
    promptTokens: 6_000,
    excluded: [],
  };
}

function measureTick(placement: Placement): number {
  const startNs = process.hrtime.bigint();
  for (let tick = 1; tick <= TICKS; tick += 1) {
    placement.handle({ kind: "tick" }, tick * TICK_MS);
  }
  const elapsedNs = process.hrtime.bigint() - startNs;
  return Number(elapsedNs) / NS_PER_US / TICKS;
}

function getModel(number: number, size: FleetSize): string {
  return `model-${number % size.models}`;
}

function readMemory(): number {
  setFlagsFromString("--expose-gc");
  const collect: unknown = runInNewContext("gc");
  if (typeof collect === "function") collect();
  return process.memoryUsage().heapUsed;
}
