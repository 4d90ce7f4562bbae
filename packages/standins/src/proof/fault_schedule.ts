/**
 * Random schedules of faults, from a seed.
 *
 * A schedule stays within what the design promises to survive: one VM lost for
 * good at a time, with some seconds between, so that what its shards' keepers
 * held has reached the platform. Pauses, cuts, losses, platform faults and
 * target faults overlap freely.
 */
import type { TargetMode } from "../fleet/virtual_targets.ts";
import { checkNever, type TargetId, type VmId } from "@camphorlock/types";
import type { RandomSource } from "./random_source.ts";

const KILL_GAP_MS = 12_000;
const FIRST_FAULT_MS = 1_000;
const GAP_MS = { low: 500, high: 5_000 } as const;

/** One fault and when it begins. */
export type PlannedEvent =
  | {
    readonly kind: "kill_node";
    readonly atMs: number;
    readonly vmId: VmId;
    readonly restartAfterMs: number;
  }
  | {
    readonly kind: "pause_node";
    readonly atMs: number;
    readonly vmId: VmId;
    readonly durationMs: number;
  }
  | {
    readonly kind: "cut_link";
    readonly atMs: number;
    readonly from: VmId;
    readonly to: VmId;
    readonly isBothWays: boolean;
    readonly durationMs: number;
  }
  | {
    readonly kind: "lose_messages";
    readonly atMs: number;
    readonly perMille: number;
    readonly durationMs: number;
  }
  | {
    readonly kind: "platform_fault";
    readonly atMs: number;
    readonly fault: "outage" | "silent" | "lost_answer" | "slow";
    readonly durationMs: number;
  }
  | {
    readonly kind: "target_fault";
    readonly atMs: number;
    readonly targetId: TargetId;
    readonly mode: TargetMode;
    readonly durationMs: number;
  }
  | {
    /** Two operators race; one of them drains a target for a while. */
    readonly kind: "race_operators";
    readonly atMs: number;
    readonly vmIds: readonly VmId[];
    readonly targetId: TargetId;
    readonly durationMs: number;
  }
  | {
    /** Kills the next entry VM at the moment when it gives an outcome. */
    readonly kind: "kill_at_answer";
    readonly atMs: number;
    readonly restartAfterMs: number;
  }
  | {
    /** Every engine has the same fault. */
    readonly kind: "pool_fault";
    readonly atMs: number;
    readonly mode: TargetMode;
    readonly durationMs: number;
  }
  | {
    readonly kind: "stop_node";
    readonly atMs: number;
    readonly vmId: VmId;
    readonly restartAfterMs: number;
  };

/** Every kind of fault. */
const EVENT_KINDS: readonly PlannedEvent["kind"][] = [
  "kill_node",
  "pause_node",
  "cut_link",
  "lose_messages",
  "platform_fault",
  "target_fault",
  "race_operators",
  "stop_node",
  "kill_at_answer",
  "pool_fault",
];

/** What a schedule may touch, and for how long. */
export interface ScheduleOptions {
  readonly vmIds: readonly VmId[];
  readonly targetIds: readonly TargetId[];
  readonly lengthMs: number;
  /** The kinds of fault to choose from, all of them unless named. */
  readonly kinds?: readonly PlannedEvent["kind"][];
}

/** Builds a random schedule. */
export function buildSchedule(
  random: RandomSource,
  options: ScheduleOptions,
): PlannedEvent[] {
  const events: PlannedEvent[] = [];
  let lastKillMs = -KILL_GAP_MS;
  let atMs = FIRST_FAULT_MS;
  while (atMs < options.lengthMs) {
    const event = buildEvent(random, { ...options, atMs });
    const isKill = isLoss(event);
    if (!isKill || atMs - lastKillMs >= KILL_GAP_MS) events.push(event);
    if (isKill && atMs - lastKillMs >= KILL_GAP_MS) lastKillMs = atMs;
    atMs += random.take(GAP_MS.low, GAP_MS.high);
  }
  return removeKillsInOutages(events);
}

/** Whether a process ends, and what it kept in memory with it. */
function isLoss(event: PlannedEvent): boolean {
  return event.kind === "kill_node" || event.kind === "stop_node" ||
    event.kind === "kill_at_answer";
}

function buildEvent(
  random: RandomSource,
  options: ScheduleOptions & { readonly atMs: number },
): PlannedEvent {
  const { atMs, vmIds, targetIds } = options;
  const vmId = random.choose(vmIds);
  const durationMs = random.take(300, 8_000);
  const kind = random.choose(options.kinds ?? EVENT_KINDS);
  switch (kind) {
    case "kill_node": {
      const restartAfterMs = random.take(500, 8_000);
      return { kind, atMs, vmId, restartAfterMs };
    }
    case "pause_node":
      return { kind, atMs, vmId, durationMs };
    case "cut_link": {
      const to = random.choose(vmIds);
      const isBothWays = random.isHit(50);
      return { kind, atMs, from: vmId, to, isBothWays, durationMs };
    }
    case "lose_messages":
      return { kind, atMs, perMille: random.take(10, 200), durationMs };
    case "platform_fault": {
      const faults = ["outage", "silent", "lost_answer", "slow"] as const;
      return { kind, atMs, fault: random.choose(faults), durationMs };
    }
    case "target_fault": {
      const targetId = random.choose(targetIds);
      const mode = random.choose(["down", "silent", "breaking"] as const);
      return { kind, atMs, targetId, mode, durationMs };
    }
    case "race_operators": {
      const vmIdsOfRace = [vmId, random.choose(vmIds)];
      const targetId = random.choose(targetIds);
      return { kind, atMs, vmIds: vmIdsOfRace, targetId, durationMs };
    }
    case "stop_node": {
      const restartAfterMs = random.take(500, 8_000);
      return { kind, atMs, vmId, restartAfterMs };
    }
    case "kill_at_answer":
      return { kind, atMs, restartAfterMs: random.take(500, 8_000) };
    case "pool_fault": {
      const mode = random.choose(["down", "silent", "breaking"] as const);
      return { kind, atMs, mode, durationMs };
    }
    default:
      return checkNever(kind);
  }
}

/**
 * Two VMs lost before the platform held their entries, during one outage, is
 * the exposure that docs/LEDGER.md states: kills near an outage are left out.
 */
function removeKillsInOutages(events: readonly PlannedEvent[]): PlannedEvent[] {
  const outages = events.filter((event) => event.kind === "platform_fault");
  return events.filter((event) => {
    if (!isLoss(event)) return true;
    return !outages.some((outage) => {
      const endMs = outage.atMs + outage.durationMs + KILL_GAP_MS;
      return event.atMs + KILL_GAP_MS >= outage.atMs && event.atMs <= endMs;
    });
  });
}
