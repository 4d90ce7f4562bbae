/**
 * Measures, at five sizes or more each, what every role of a node costs.
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

/** Rows of one role's measurement, each a size. */
export interface CapacityTable {
  readonly name: string;
  readonly rows: readonly CapacityRow[];
}

/** One measured size; times and units are in the names. */
export interface CapacityRow {
  readonly [column: string]: number;
}

/** The name of a part of the capacity bench. */
export const CAPACITY_PARTS = [
  "owner",
  "ledger",
  "membership",
  "assignment",
  "configuration",
  "placement",
  "protocol",
] as const;

/** A part of the capacity bench. */
export type CapacityPart = typeof CAPACITY_PARTS[number];

/** Runs one part. */
export async function runCapacityPart(
  part: CapacityPart,
): Promise<CapacityTable> {
  const rows = await runRows(part);
  return { name: part, rows: rows.map(takeNumbers) };
}

function runRows(part: CapacityPart): Promise<object[]> {
  switch (part) {
    case "owner":
      return Promise.resolve(runOwners());
    case "ledger":
      return Promise.resolve(runLedgers());
    case "membership":
      return Promise.resolve(
        FLEETS.map((fleet) =>
          runMembershipBench({ ...fleet, seed: SEED, readCpuMs })
        ),
      );
    case "assignment":
      return Promise.resolve(runAssignments());
    case "configuration":
      return Promise.resolve(runConfigurations());
    case "placement":
      return Promise.resolve(runDecisionBench(DECISION_SIZES));
    case "protocol":
      return runProtocols();
  }
}

const FLEETS = [
  { nodes: 9, failureDomains: 3 },
  { nodes: 27, failureDomains: 9 },
  { nodes: 90, failureDomains: 27 },
  { nodes: 215, failureDomains: 27 },
  { nodes: 430, failureDomains: 27 },
] as const;

function runOwners(): object[] {
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

function runLedgers(): object[] {
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

function runAssignments(): object[] {
  return FLEETS.map((fleet) => {
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

function runConfigurations(): object[] {
  const targets = [9, 300, 1_500, 6_000, 12_000];
  return FLEETS.map(({ nodes }, at) =>
    runConfigurationBench({
      nodes,
      regions: nodes < 50 ? 3 : 7,
      targets: targets[at] ?? 0,
      changes: 20,
      changesPerDay: 11_000,
      seed: SEED,
    })
  );
}

async function runProtocols(): Promise<object[]> {
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

/** Processor time of this process, in milliseconds. */
function readCpuMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / US_PER_MS;
}

/** The heap in use after a collection, in bytes. */
function readHeapBytes(): number {
  setFlagsFromString("--expose_gc");
  const collect: () => void = runInNewContext("gc");
  collect();
  return process.memoryUsage().heapUsed;
}

function takeNumbers(row: object): CapacityRow {
  const numbers = Object.entries(row)
    .filter(([, value]) => typeof value === "number");
  return Object.fromEntries(numbers);
}
