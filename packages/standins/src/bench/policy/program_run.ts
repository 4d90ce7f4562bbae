/**
 * The state of a running program at its owner.
 */
import type { VmId } from "@camphorlock/types";
import type { PlannedProgram } from "./workload.ts";

/** State that a program shares with all its sub-agents. */
export interface ProgramTree {
  readonly startedAtMs: number;
  /** Service time that the tree has received. */
  attainedMs: number;
}

/** A running program. */
export interface ProgramRun {
  readonly plan: PlannedProgram;
  readonly tree: ProgramTree;
  readonly onEnd: (nowMs: number) => void;
  readonly onRefused: (retryAfterMs: number, nowMs: number) => void;
  turn: number;
  historyTokens: number;
  attempt: number;
  /** Targets that refused the current call. */
  excluded: string[];
  callStartedAtMs: number;
}

/** An attempt from its slot request to its end. */
export interface AttemptRun {
  readonly attemptId: string;
  readonly targetId: string;
  readonly dispatcher: VmId;
  readonly program: ProgramRun;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  grantedAtMs: number | undefined;
  firstTokenAtMs: number | undefined;
  tokens: number;
  unreportedTokens: number;
}
