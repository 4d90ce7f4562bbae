/**
 * Measures the cost of an append and the duration of a recovery.
 */
import { randomBytes } from "node:crypto";
import type { EntryBody, VmId } from "@camphorlock/types";
import { BenchSimulation, createBenchReplica } from "./bench_simulation.ts";
import {
  DEFAULT_LEDGER_LIMITS,
  type LedgerInput,
  type LedgerStart,
} from "./ledger_types.ts";
import type { RecoveredShard } from "./recovery_types.ts";
import { ShardLedger } from "./shard_ledger.ts";
import { ShardRecovery } from "./shard_recovery.ts";
import { WritePacer } from "./write_pacer.ts";

/** The load, delays and rates of a benchmark run. */
export interface LedgerBenchOptions {
  readonly entries: number;
  /** Bytes of text in each entry. */
  readonly entryBytes: number;
  readonly entriesPerSecond: number;
  /** One-way delay between two nodes. */
  readonly peerDelayMs: number;
  /** Time from a platform request to its response. */
  readonly platformDelayMs: number;
  readonly writesPerSecond: number;
  /** Returns the CPU time used so far in milliseconds. */
  readonly readCpuMs: () => number;
}

/** The measurements; times are virtual, except for CPU times. */
export interface LedgerBenchResult {
  readonly entries: number;
  readonly entryBytes: number;
  /** The owner's CPU time per entry, without network and platform I/O. */
  readonly ownerCpuUs: number;
  /** One replica's CPU time per entry, without network I/O. */
  readonly keeperCpuUs: number;
  readonly messagesPerEntry: number;
  readonly platformWrites: number;
  /** Longest time from an append until the entry is durable. */
  readonly durableMs: number;
  readonly recoveryMs: number;
  readonly recoveryCpuMs: number;
  readonly recoveryRequests: number;
  readonly recoveredEntries: number;
}

const REPLICAS: readonly VmId[] = ["replica-a", "replica-b", "replica-c"];
const STEP_MS = 10;
const SHARD = 1;
const MS_PER_SECOND = 1_000;
const US_PER_MS = 1_000;

/** Appends at a constant rate, then recovers the shard without its owner. */
export function runLedgerBench(options: LedgerBenchOptions): LedgerBenchResult {
  const simulation = new BenchSimulation(REPLICAS, {
    peerMs: options.peerDelayMs,
    platformMs: options.platformDelayMs,
  });
  const opened = runRecovery(simulation, 1);
  const before = options.readCpuMs();
  const { durableMs } = appendAll(simulation, opened.shard.start, options);
  const allCpuMs = options.readCpuMs() - before;
  const replicaCpuMs = measureReplicaCpu(simulation, options);
  const ownerCpuMs = allCpuMs - replicaCpuMs * REPLICAS.length;
  const { messages, writes } = simulation;
  const recoveryBefore = options.readCpuMs();
  const recovered = runRecovery(simulation, 2);
  return {
    entries: options.entries,
    entryBytes: options.entryBytes,
    ownerCpuUs: ownerCpuMs * US_PER_MS / options.entries,
    keeperCpuUs: replicaCpuMs * US_PER_MS / options.entries,
    messagesPerEntry: messages / options.entries,
    platformWrites: writes,
    durableMs,
    recoveryMs: recovered.durationMs,
    recoveryCpuMs: options.readCpuMs() - recoveryBefore,
    recoveryRequests: recovered.requests,
    recoveredEntries: recovered.shard.entries.length,
  };
}

interface BenchRecovery {
  readonly shard: RecoveredShard;
  readonly durationMs: number;
  readonly requests: number;
}

/** Recovers the shard under a new epoch and measures the duration. */
function runRecovery(
  simulation: BenchSimulation,
  epoch: number,
): BenchRecovery {
  const startedAtMs = simulation.nowMs;
  const { requests } = simulation;
  let recovered: RecoveredShard | undefined;
  const recovery = new ShardRecovery({
    shard: SHARD,
    epoch,
    keepers: REPLICAS,
    limits: DEFAULT_LEDGER_LIMITS,
    exposeAfterMs: Number.POSITIVE_INFINITY,
  });
  const receive = (input: LedgerInput): void => {
    const step = recovery.handle(input, simulation.nowMs);
    for (const notice of step.notices) {
      if (notice.kind === "recovered") recovered = notice.shard;
    }
    simulation.applyEffects(step.effects, receive);
  };
  while (recovered === undefined) {
    receive({ kind: "tick" });
    simulation.runUntil(simulation.nowMs + 1);
  }
  const durationMs = simulation.nowMs - startedAtMs;
  return {
    shard: recovered,
    durationMs,
    requests: simulation.requests - requests,
  };
}

/** Appends every entry and waits until the last one is durable. */
function appendAll(
  simulation: BenchSimulation,
  start: LedgerStart,
  options: LedgerBenchOptions,
): { readonly durableMs: number } {
  const { writesPerSecond, entries, entriesPerSecond } = options;
  const ledger = new ShardLedger({
    ...start,
    self: "owner",
    shard: SHARD,
    epoch: 1,
    failureDomainOf: (vmId) => `domain of ${vmId}`,
    limits: DEFAULT_LEDGER_LIMITS,
    pacer: new WritePacer({ writesPerSecond }),
  });
  const bodies = createBodies(options.entryBytes);
  const appendedAtMs: number[] = [];
  let durableMs = 0;
  const receive = (input: LedgerInput): void => {
    const step = ledger.handle(input, simulation.nowMs);
    for (const notice of step.notices) {
      if (notice.kind !== "durable") continue;
      const atMs = appendedAtMs[notice.through - 1] ?? simulation.nowMs;
      durableMs = Math.max(durableMs, simulation.nowMs - atMs);
    }
    simulation.applyEffects(step.effects, receive);
  };
  const entriesPerStep = Math.ceil(entriesPerSecond * STEP_MS / MS_PER_SECOND);
  while (ledger.durableThrough < entries) {
    for (let each = 0; each < entriesPerStep; each += 1) {
      if (ledger.lastSequence >= entries) break;
      const body = bodies[ledger.lastSequence % bodies.length];
      if (body === undefined) break;
      const step = ledger.append([body], simulation.nowMs);
      if (step.isErr()) break;
      appendedAtMs.push(simulation.nowMs);
      simulation.applyEffects(step.value.effects, receive);
    }
    receive({ kind: "tick" });
    simulation.runUntil(simulation.nowMs + STEP_MS);
  }
  return { durableMs };
}

/** Measures the CPU time of one replica, by replaying its messages. */
function measureReplicaCpu(
  simulation: BenchSimulation,
  options: LedgerBenchOptions,
): number {
  const replica = createBenchReplica();
  const messages = simulation.received.get(REPLICAS[0] ?? "") ?? [];
  const before = options.readCpuMs();
  for (const message of messages) replica.handle("owner", message);
  return options.readCpuMs() - before;
}

/** Creates entries of the most common kind: a call's end with its text. */
function createBodies(entryBytes: number): EntryBody[] {
  return Array.from({ length: 64 }, (_, index): EntryBody => ({
    kind: "call_ended",
    programId: `p0001-${index}`,
    callId: randomBytes(16).toString("hex"),
    endedAtMs: 1_700_000_000_000,
    serviceMs: 1_200,
    outcome: {
      status: "completed",
      attemptId: randomBytes(16).toString("hex"),
      targetId: "engine-1",
      text: randomBytes(Math.ceil(entryBytes / 2)).toString("hex"),
      usage: { promptTokens: 900, cachedTokens: 500, completionTokens: 300 },
      chargeMicros: 1_200,
      agreementRevision: 4,
      digest: randomBytes(32).toString("hex"),
    },
  }));
}
