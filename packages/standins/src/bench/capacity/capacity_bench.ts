/**
 * Measures the cost of each role of a node at five or more sizes.
 */
import { runNodesBench } from "@camphorlock/nodes";
import {
  runAssignmentBench,
  runLedgerBench,
  runMembershipBench,
} from "@camphorlock/scheduler";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { runConfigurationBench } from "../../configuration_fleet/configuration_bench.ts";
import { DECISION_SIZES, runDecisionBench } from "../policy/decision_bench.ts";
import { runOwnerBench } from "./owner_bench.ts";

const SEED = 1;
const US_PER_MS = 1_000;

/** Measurements of one role, one row per size. */
export interface CapacityTable {
  readonly name: string;
  readonly rows: readonly CapacityRow[];
}

/** Measurements at one size; column names contain the units. */
export interface CapacityRow {
  readonly [column: string]: number;
}

/** The parts of the capacity bench, in the order in which they run. */
export const CAPACITY_PARTS = [
  "owner",
  "ledger",
  "membership",
  "assignment",
  "configuration",
  "placement",
  "protocol",
] as const;

/** The name of one part. */
export type CapacityPart = typeof CAPACITY_PARTS[number];

/** Runs one part. */
export async function runCapacityPart(
  part: CapacityPart,
): Promise<CapacityTable> {
  const rows = await runRows(part);
  return { name: part, rows: rows.map(filterNumbers) };
}

function runRows(part: CapacityPart): Promise<object[]> {
  switch (part) {
    case "owner":
      return Promise.resolve(runOwnerSizes());
    case "ledger":
      return Promise.resolve(runLedgerSizes());
    case "membership":
      return Promise.resolve(
        FLEET_SIZES.map((fleet) =>
          runMembershipBench({ ...fleet, seed: SEED, readCpuMs })
        ),
      );
    case "assignment":
      return Promise.resolve(runAssignmentSizes());
    case "configuration":
      return Promise.resolve(runConfigurationSizes());
    case "placement":
      return Promise.resolve(runDecisionBench(DECISION_SIZES));
    case "protocol":
      return runProtocolBursts();
  }
}

const FLEET_SIZES = [
  { nodes: 9, failureDomains: 3 },
  { nodes: 27, failureDomains: 9 },
  { nodes: 90, failureDomains: 27 },
  { nodes: 215, failureDomains: 27 },
  { nodes: 430, failureDomains: 27 },
] as const;

function runOwnerSizes(): object[] {
  const sizes = [500, 1_000, 2_000, 5_000, 10_000];
  return sizes.map((programs) =>
    runOwnerBench({
      programs,
      callsPerProgram: 4,
      textEvents: 8,
      eventLength: 32,
      readCpuMs,
      readHeapBytes,
    })
  );
}

function runLedgerSizes(): object[] {
  const sizes = [500, 1_000, 2_000, 5_000, 10_000];
  return sizes.map((entries) =>
    runLedgerBench({
      entries,
      entryBytes: 1_000,
      entriesPerSecond: 60,
      peerDelayMs: 8,
      platformDelayMs: 4,
      writesPerSecond: 1,
      readCpuMs,
    })
  );
}

function runAssignmentSizes(): object[] {
  return FLEET_SIZES.map((fleet) => {
    const result = runAssignmentBench({ ...fleet, seed: SEED, readCpuMs });
    const { idle, domainLoss, afterOutage, ...rest } = result;
    return {
      ...rest,
      idleReads: idle.readsPerSecond,
      idleWrites: idle.writesPerSecond,
      idlePeak: idle.peakPerSecond,
      lossReads: domainLoss.readsPerSecond,
      lossWrites: domainLoss.writesPerSecond,
      lossPeak: domainLoss.peakPerSecond,
      outagePeak: afterOutage.peakPerSecond,
    };
  });
}

function runConfigurationSizes(): object[] {
  const targets = [9, 300, 1_500, 6_000, 12_000];
  return FLEET_SIZES.map(({ nodes }, index) =>
    runConfigurationBench({
      nodes,
      regions: nodes < 50 ? 3 : 7,
      targets: targets[index] ?? 0,
      changes: 20,
      changesPerDay: 11_000,
      seed: SEED,
    })
  );
}

async function runProtocolBursts(): Promise<object[]> {
  const rows: object[] = [];
  for (const burst of [1, 4, 16, 64, 256]) {
    rows.push(
      await runNodesBench({
        security: { kind: "plain" },
        burst,
        messages: 20_000,
        textLength: 64,
        readCpuMs,
      }),
    );
  }
  return rows;
}

/** Reads the CPU time of this process, in milliseconds. */
function readCpuMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / US_PER_MS;
}

/** Collects garbage and reads the heap in use, in bytes. */
function readHeapBytes(): number {
  setFlagsFromString("--expose_gc");
  const collect: () => void = runInNewContext("gc");
  collect();
  return process.memoryUsage().heapUsed;
}

function filterNumbers(row: object): CapacityRow {
  const numbers = Object.entries(row)
    .filter(([, value]) => typeof value === "number");
  return Object.fromEntries(numbers);
}
