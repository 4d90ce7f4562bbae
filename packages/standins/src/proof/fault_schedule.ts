/**
 * Random schedules of faults, derived from a seed.
 *
 * A schedule contains only faults that the system is designed to survive: one
 * VM process ends at a time, with an interval in between, so that the ledger
 * entries held by its shards' replicas have reached the platform. Pauses, cut
 * links, message loss, platform faults and target faults overlap freely.
 */
import type { TargetMode } from "../fleet/virtual_targets.ts";
import { checkNever, type TargetId, type VmId } from "@camphorlock/types";
import type { RandomSource } from "./random_source.ts";

/** Minimum time between two process exits, or an exit and an outage. */
const EXIT_GAP_MS = 12_000;
const FIRST_FAULT_MS = 1_000;
const GAP_MS = { low: 500, high: 5_000 } as const;

/** One fault and its start time. */
export type FaultEvent =
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
    /** Two operators submit changes at once; one drains a target for a time. */
    readonly kind: "race_operators";
    readonly atMs: number;
    readonly vmIds: readonly VmId[];
    readonly targetId: TargetId;
    readonly durationMs: number;
  }
  | {
    /** Kills the next entry VM at the moment when it returns an outcome. */
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
const EVENT_KINDS: readonly FaultEvent["kind"][] = [
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

/** The VMs and targets that a schedule affects, and its length. */
export interface ScheduleOptions {
  readonly vmIds: readonly VmId[];
  readonly targetIds: readonly TargetId[];
  readonly lengthMs: number;
  /** The kinds of fault to choose from. Default: every kind. */
  readonly kinds?: readonly FaultEvent["kind"][];
}

/** Builds a random schedule. */
export function buildSchedule(
  random: RandomSource,
  options: ScheduleOptions,
): FaultEvent[] {
  const events: FaultEvent[] = [];
  let lastExitMs = -EXIT_GAP_MS;
  let atMs = FIRST_FAULT_MS;
  while (atMs < options.lengthMs) {
    const event = buildEvent(random, { ...options, atMs });
    const isExit = isProcessExit(event);
    if (!isExit || atMs - lastExitMs >= EXIT_GAP_MS) events.push(event);
    if (isExit && atMs - lastExitMs >= EXIT_GAP_MS) lastExitMs = atMs;
    atMs += random.chooseInteger(GAP_MS.low, GAP_MS.high);
  }
  return removeExitsNearOutages(events);
}

/** Whether a fault ends a process, which loses its in-memory state. */
function isProcessExit(event: FaultEvent): boolean {
  return event.kind === "kill_node" || event.kind === "stop_node" ||
    event.kind === "kill_at_answer";
}

function buildEvent(
  random: RandomSource,
  options: ScheduleOptions & { readonly atMs: number },
): FaultEvent {
  const { atMs, vmIds, targetIds } = options;
  const vmId = random.choose(vmIds);
  const durationMs = random.chooseInteger(300, 8_000);
  const kind = random.choose(options.kinds ?? EVENT_KINDS);
  switch (kind) {
    case "kill_node": {
      const restartAfterMs = random.chooseInteger(500, 8_000);
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
      return {
        kind,
        atMs,
        perMille: random.chooseInteger(10, 200),
        durationMs,
      };
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
      const restartAfterMs = random.chooseInteger(500, 8_000);
      return { kind, atMs, vmId, restartAfterMs };
    }
    case "kill_at_answer":
      return { kind, atMs, restartAfterMs: random.chooseInteger(500, 8_000) };
    case "pool_fault": {
      const mode = random.choose(["down", "silent", "breaking"] as const);
      return { kind, atMs, mode, durationMs };
    }
    default:
      return checkNever(kind);
  }
}

/**
 * Removes process exits near an outage. If two VMs fail during one outage,
 * entries that haven't reached the platform can be lost: docs/LEDGER.md
 * documents this exposure.
 */
function removeExitsNearOutages(events: readonly FaultEvent[]): FaultEvent[] {
  const outages = events.filter((event) => event.kind === "platform_fault");
  return events.filter((event) => {
    if (!isProcessExit(event)) return true;
    return !outages.some((outage) => {
      const endMs = outage.atMs + outage.durationMs + EXIT_GAP_MS;
      return event.atMs + EXIT_GAP_MS >= outage.atMs && event.atMs <= endMs;
    });
  });
}
