/**
 * The state of a program under way, as its owner holds it.
 */
import type { VmId } from "@camphorlock/types";
import type { PlannedProgram } from "./workload.ts";

/** What a tree of programs shares. */
export interface ProgramTree {
  readonly startedAtMs: number;
  /** Service that the whole tree has had. */
  attainedMs: number;
}

/** A program under way. */
export interface ProgramRun {
  readonly plan: PlannedProgram;
  readonly tree: ProgramTree;
  readonly onEnd: (nowMs: number) => void;
  readonly onRefused: (retryAfterMs: number, nowMs: number) => void;
  turn: number;
  historyTokens: number;
  attempt: number;
  /** Targets that refused the present call. */
  excluded: string[];
  callStartedAtMs: number;
}

/** An attempt under way. */
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
