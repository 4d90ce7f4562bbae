/**
 * The records of a run, kept separately by callers, targets and nodes.
 */
import type {
  HistoryItem,
  ProgramId,
  ProgramView,
  Revision,
  TargetId,
  VmId,
} from "@camphorlock/types";
import type { VirtualRequest } from "../fleet/virtual_fleet.ts";
import type { TargetRun } from "../fleet/virtual_targets.ts";
import type { CallerCall } from "./virtual_caller.ts";

/** A program's state and history as read after the run. */
export interface ProgramReading {
  readonly programId: ProgramId;
  readonly budgetMicros: number;
  /** Absent if the read failed. */
  readonly view?: ProgramView;
  readonly items?: readonly HistoryItem[];
}

/** A revision that a node served under. */
export interface ServedRevision {
  readonly vmId: VmId;
  readonly atMs: number;
  readonly revision: Revision;
}

/** An accepted configuration change. */
export interface AcceptedChange {
  readonly revision: Revision;
  readonly atMs: number;
}

/** A period in which a target drains. */
export interface DrainPeriod {
  readonly targetId: TargetId;
  readonly acceptedAtMs: number;
  /** When the drain's end was submitted; absent or infinite if it wasn't. */
  readonly untilMs?: number;
}

/** The input of every check. */
export interface RunHistory {
  readonly seed: number;
  readonly endedAtMs: number;
  readonly calls: readonly CallerCall[];
  readonly requests: readonly VirtualRequest[];
  readonly runs: readonly TargetRun[];
  readonly programs: readonly ProgramReading[];
  /** Ended programs for which an engine still holds memory after the run. */
  readonly memoryHeldAfterEnd: readonly {
    readonly targetId: TargetId;
    readonly programId: ProgramId;
  }[];
  readonly servedRevisions: readonly ServedRevision[];
  readonly accepted: readonly AcceptedChange[];
  readonly leaving: readonly DrainPeriod[];
  /** The revision of each node that is running at the end. */
  readonly finalRevisions: readonly ServedRevision[];
  /**
   * The call requests of a run with ample budgets and no faults other than
   * graceful shutdowns. Empty for any other run.
   */
  readonly gracefulRequests: readonly VirtualRequest[];
}

/** A violated check. */
export interface Violation {
  readonly check: CheckName;
  readonly detail: string;
}

/** The names of the checks, one for each guarantee of the system. */
export const CHECK_NAMES = [
  "calls_in_order",
  "history_kept",
  "budget_kept",
  "memory_released",
  "answers_whole",
  "not_run_honest",
  "at_most_once",
  "leaving_target_idle",
  "planned_stop_graceful",
  "configuration_forward",
  "callers_settled",
] as const;

/** The name of a check. */
export type CheckName = typeof CHECK_NAMES[number];
