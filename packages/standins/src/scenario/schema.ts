/**
 * The schema of scenario files, which are written in TOML.
 *
 * A scenario defines a fleet, its load, timed faults, and expectations that
 * must hold in addition to the checks of the history.
 */
import { z } from "zod";

const timeMs = z.number().int().nonnegative().max(600_000);
const durationMs = z.number().int().positive().max(600_000);
const vm = z.string().regex(/^vm-\d+$/, "vm-N");
const target = z.string().regex(
  /^(engine|service)-\d+$/,
  "engine-N, service-N",
);
const mode = z.enum(["down", "silent", "breaking"]);
const at = { "at_ms": timeMs };

const killNode = z.strictObject({
  kind: z.literal("kill_node"),
  ...at,
  vm,
  restart_after_ms: durationMs,
});

const pauseNode = z.strictObject({
  kind: z.literal("pause_node"),
  ...at,
  vm,
  duration_ms: durationMs,
});

const cutLink = z.strictObject({
  kind: z.literal("cut_link"),
  ...at,
  from: vm,
  to: vm,
  both_ways: z.boolean().default(true),
  duration_ms: durationMs,
});

const loseMessages = z.strictObject({
  kind: z.literal("lose_messages"),
  ...at,
  per_mille: z.number().int().min(1).max(900),
  duration_ms: durationMs,
});

const platformFault = z.strictObject({
  kind: z.literal("platform_fault"),
  ...at,
  fault: z.enum(["outage", "silent", "lost_answer", "slow"]),
  duration_ms: durationMs,
});

const targetFault = z.strictObject({
  kind: z.literal("target_fault"),
  ...at,
  target,
  mode,
  duration_ms: durationMs,
});

const poolFault = z.strictObject({
  kind: z.literal("pool_fault"),
  ...at,
  mode,
  duration_ms: durationMs,
});

const raceOperators = z.strictObject({
  kind: z.literal("race_operators"),
  ...at,
  vms: z.array(vm).length(2),
  target,
  duration_ms: durationMs,
});

const stopNode = z.strictObject({
  kind: z.literal("stop_node"),
  ...at,
  vm,
  restart_after_ms: durationMs,
});

const killAtAnswer = z.strictObject({
  kind: z.literal("kill_at_answer"),
  ...at,
  restart_after_ms: durationMs,
});

const fault = z.discriminatedUnion("kind", [
  killNode,
  pauseNode,
  cutLink,
  loseMessages,
  platformFault,
  targetFault,
  poolFault,
  raceOperators,
  stopNode,
  killAtAnswer,
]);

const fleet = z.strictObject({
  nodes: z.number().int().min(1).max(12).default(5),
  engines: z.number().int().min(1).max(12).default(3),
  services: z.number().int().min(1).max(12).default(2),
  shards: z.number().int().min(1).max(64).default(6),
});

const load = z.strictObject({
  /** Sequences of programs that run concurrently. */
  lines: z.number().int().min(1).max(50).default(5),
  /** Programs in each sequence, run one after the other. */
  programs: z.number().int().min(1).max(20).default(3),
  calls: z.number().int().min(1).max(50).default(4),
  order_percent: z.number().int().min(0).max(100).default(40),
});

const expectation = z.strictObject({
  /** Minimum percentage of calls that must complete. */
  completed_percent: z.number().min(0).max(100).default(0),
  /** Highest allowed number of calls with an unknown outcome. */
  most_unknown: z.number().int().nonnegative().optional(),
  /** Whether every call must complete. */
  graceful: z.boolean().default(false),
});

/** The schema of a scenario file. */
export const SCENARIO_SCHEMA = z.strictObject({
  name: z.string().min(1),
  /** One sentence on the scenario's fault or behaviour. */
  about: z.string().min(1),
  seed: z.number().int().nonnegative().default(1),
  fleet: fleet.prefault({}),
  load: load.prefault({}),
  faults: z.array(fault).default([]),
  expect: expectation.prefault({}),
});

/** A validated scenario. */
export type Scenario = z.infer<typeof SCENARIO_SCHEMA>;

/** A fault of a scenario. */
export type ScenarioFault = Scenario["faults"][number];
