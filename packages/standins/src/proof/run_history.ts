/**
 * What callers, targets and the platform recorded of a run, each for itself.
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

/** A program as read after the run. */
export interface ReadProgram {
  readonly programId: ProgramId;
  readonly budgetMicros: number;
  /** Absent when it couldn't be read. */
  readonly view?: ProgramView;
  readonly items?: readonly HistoryItem[];
}

/** A revision that came into force on a node's process. */
export interface ForcedRevision {
  readonly vmId: VmId;
  readonly atMs: number;
  readonly revision: Revision;
}

/** A change that was accepted. */
export interface AcceptedChange {
  readonly revision: Revision;
  readonly atMs: number;
}

/** A target that an accepted change takes out of service. */
export interface LeavingTarget {
  readonly targetId: TargetId;
  readonly acceptedAtMs: number;
  /** When the target was taken back, if it was. */
  readonly untilMs?: number;
}

/** Everything that the checks read. */
export interface RunHistory {
  readonly seed: number;
  readonly endedAtMs: number;
  readonly calls: readonly CallerCall[];
  readonly requests: readonly VirtualRequest[];
  readonly runs: readonly TargetRun[];
  readonly programs: readonly ReadProgram[];
  /** Programs that callers ended, still held by an engine after the run. */
  readonly heldAfterEnd: readonly {
    readonly targetId: TargetId;
    readonly programId: ProgramId;
  }[];
  readonly forced: readonly ForcedRevision[];
  readonly accepted: readonly AcceptedChange[];
  readonly leaving: readonly LeavingTarget[];
  /** Nodes that live at the end, with their revision. */
  readonly finalRevisions: readonly ForcedRevision[];
  /** Requests that were open or sent while a node stopped as planned. */
  readonly gracefulRequests: readonly VirtualRequest[];
}

/** A promise that was broken. */
export interface Violation {
  readonly check: CheckName;
  readonly detail: string;
}

/** The checks, one a promise of the brief. */
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
