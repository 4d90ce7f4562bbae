/**
 * Measures what an append costs and how long a recovery takes.
 */
import { randomBytes } from "node:crypto";
import type { EntryBody, VmId } from "@camphorlock/types";
import { BenchWorld, createBenchKeeper } from "./bench_world.ts";
import {
  DEFAULT_LEDGER_LIMITS,
  type LedgerInput,
  type LedgerStart,
} from "./ledger_types.ts";
import type { RecoveredShard } from "./recovery_types.ts";
import { ShardLedger } from "./shard_ledger.ts";
import { ShardRecovery } from "./shard_recovery.ts";
import { WritePacer } from "./write_pacer.ts";

/** What to measure. */
export interface LedgerBenchOptions {
  readonly entries: number;
  /** Text in each entry, in bytes. */
  readonly entryBytes: number;
  readonly entriesPerSecond: number;
  /** One way between two nodes. */
  readonly peerDelayMs: number;
  /** From a platform request to its answer. */
  readonly platformDelayMs: number;
  readonly writesPerSecond: number;
  /** Gives processor time in milliseconds. */
  readonly readCpuMs: () => number;
}

/** What was measured; times are virtual unless they say processor time. */
export interface LedgerBenchResult {
  readonly entries: number;
  readonly entryBytes: number;
  /** Processor time of the owner for an entry, without its edges. */
  readonly ownerCpuUs: number;
  /** Processor time of one keeper for an entry, without its edges. */
  readonly keeperCpuUs: number;
  readonly messagesPerEntry: number;
  readonly platformWrites: number;
  /** From an append until the entry is durable, at most. */
  readonly durableMs: number;
  readonly recoveryMs: number;
  readonly recoveryCpuMs: number;
  readonly recoveryRequests: number;
  readonly recoveredEntries: number;
}

const KEEPERS: readonly VmId[] = ["keeper-a", "keeper-b", "keeper-c"];
const STEP_MS = 10;
const SHARD = 1;
const MS_PER_SECOND = 1_000;
const US_PER_MS = 1_000;

/** Appends at a steady rate, then lets the owner vanish and recovers. */
export function runLedgerBench(options: LedgerBenchOptions): LedgerBenchResult {
  const world = new BenchWorld(KEEPERS, {
    peerMs: options.peerDelayMs,
    platformMs: options.platformDelayMs,
  });
  const opened = runRecovery(world, 1);
  const before = options.readCpuMs();
  const { durableMs } = appendAll(world, opened.shard.start, options);
  const allCpuMs = options.readCpuMs() - before;
  const keeperCpuMs = computeKeeperCpu(world, options);
  const ownerCpuMs = allCpuMs - keeperCpuMs * KEEPERS.length;
  const { messages, writes } = world;
  const recoveryBefore = options.readCpuMs();
  const recovered = runRecovery(world, 2);
  return {
    entries: options.entries,
    entryBytes: options.entryBytes,
    ownerCpuUs: ownerCpuMs * US_PER_MS / options.entries,
    keeperCpuUs: keeperCpuMs * US_PER_MS / options.entries,
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

/** Takes the shard over and gives what was recovered. */
function runRecovery(world: BenchWorld, epoch: number): BenchRecovery {
  const startedAtMs = world.nowMs;
  const { requests } = world;
  let recovered: RecoveredShard | undefined;
  const recovery = new ShardRecovery({
    shard: SHARD,
    epoch,
    keepers: KEEPERS,
    limits: DEFAULT_LEDGER_LIMITS,
    exposeAfterMs: Number.POSITIVE_INFINITY,
  });
  const receive = (input: LedgerInput): void => {
    const step = recovery.handle(input, world.nowMs);
    for (const notice of step.notices) {
      if (notice.kind === "recovered") recovered = notice.shard;
    }
    world.applyEffects(step.effects, receive);
  };
  while (recovered === undefined) {
    receive({ kind: "tick" });
    world.runUntil(world.nowMs + 1);
  }
  const durationMs = world.nowMs - startedAtMs;
  return { shard: recovered, durationMs, requests: world.requests - requests };
}

/** Appends every entry and waits until the last one is durable. */
function appendAll(
  world: BenchWorld,
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
    const step = ledger.handle(input, world.nowMs);
    for (const notice of step.notices) {
      if (notice.kind !== "durable") continue;
      const atMs = appendedAtMs[notice.through - 1] ?? world.nowMs;
      durableMs = Math.max(durableMs, world.nowMs - atMs);
    }
    world.applyEffects(step.effects, receive);
  };
  const perStep = Math.ceil(entriesPerSecond * STEP_MS / MS_PER_SECOND);
  while (ledger.durableThrough < entries) {
    for (let each = 0; each < perStep; each += 1) {
      if (ledger.lastSequence >= entries) break;
      const body = bodies[ledger.lastSequence % bodies.length];
      if (body === undefined) break;
      const step = ledger.append([body], world.nowMs);
      if (step.isErr()) break;
      appendedAtMs.push(world.nowMs);
      world.applyEffects(step.value.effects, receive);
    }
    receive({ kind: "tick" });
    world.runUntil(world.nowMs + STEP_MS);
  }
  return { durableMs };
}

/** Replays one keeper's messages to a fresh keeper. */
function computeKeeperCpu(
  world: BenchWorld,
  options: LedgerBenchOptions,
): number {
  const keeper = createBenchKeeper();
  const messages = world.received.get(KEEPERS[0] ?? "") ?? [];
  const before = options.readCpuMs();
  for (const message of messages) keeper.handle("owner", message);
  return options.readCpuMs() - before;
}

/** Entries of the common kind: a call's end with its text. */
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
