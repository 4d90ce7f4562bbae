/**
 * The programs of a bench. Each is a chain of calls with pauses and sub-agents
 * that the policy can't observe in advance.
 */
import type { Partner, ProgramClass } from "@camphorlock/types";
import type { EngineSettings } from "../../engine/mod.ts";

/** One call of a program. */
export interface PlannedCall {
  /** Prompt tokens in addition to the program's history. */
  readonly newTokens: number;
  readonly completionTokens: number;
  /** Time between the response and the next call. */
  readonly pauseMs: number;
  /** Sub-agents that run after the response and before the next call. */
  readonly children: readonly PlannedProgram[];
}

/** One program. */
export interface PlannedProgram {
  readonly programId: string;
  readonly agent: string;
  readonly partner: Partner;
  readonly programClass: ProgramClass;
  readonly arrivesAtMs: number;
  /** The first tokens of the prompt, the same for all programs of an agent. */
  readonly sharedTokens: number;
  readonly calls: readonly PlannedCall[];
  /** Selects the node that owns the program, modulo the number of nodes. */
  readonly place: number;
}

/** The programs of one run, in order of arrival. */
export interface Workload {
  readonly programs: readonly PlannedProgram[];
  readonly measureFromMs: number;
  readonly measureToMs: number;
}

/** The inter-token time at which capacity is computed. */
export const TARGET_TOKEN_MS = 36;

/**
 * Computes the engine time of a program without the base time of the steps, if
 * each prompt token is computed once.
 */
export function computeWorkMs(
  program: PlannedProgram,
  engine: EngineSettings,
): number {
  let history = program.sharedTokens;
  let workMs = 0;
  for (const call of program.calls) {
    const prompt = history + call.newTokens;
    const context = prompt + call.completionTokens / 2;
    const tokenMs = engine.stepPerSequenceMs +
      context * engine.stepPerContextTokenMs;
    workMs += call.newTokens * engine.prefillPerTokenMs;
    workMs += call.completionTokens * tokenMs;
    history = prompt + call.completionTokens;
    for (const child of call.children) workMs += computeWorkMs(child, engine);
  }
  return workMs;
}

/** Counts the prompt tokens that have to be computed at least once. */
export function countNewTokens(program: PlannedProgram): number {
  let tokens = 0;
  for (const call of program.calls) {
    tokens += call.newTokens;
    for (const child of call.children) tokens += countNewTokens(child);
  }
  return tokens;
}

/**
 * Computes how many programs of a mean work a pool completes per second at the
 * target inter-token time, if no prompt token is computed twice and no engine
 * idles.
 */
export function computeCapacity(
  meanWorkMs: number,
  pool: { readonly engines: number; readonly engine: EngineSettings },
): number {
  const usable = (TARGET_TOKEN_MS - pool.engine.stepBaseMs) / TARGET_TOKEN_MS;
  return pool.engines * usable * 1_000 / meanWorkMs;
}

/**
 * Computes a program's latency when it has an engine to itself. Sub-agents of
 * one turn run in parallel.
 */
export function computeUnloadedMs(
  program: PlannedProgram,
  engine: EngineSettings,
): number {
  let history = program.sharedTokens;
  let unloadedMs = 0;
  program.calls.forEach((call, turn) => {
    const prompt = history + call.newTokens;
    const steps = Math.ceil(call.newTokens / engine.prefillChunkTokens);
    const context = prompt + call.completionTokens / 2;
    const tokenMs = engine.stepBaseMs + engine.stepPerSequenceMs +
      context * engine.stepPerContextTokenMs;
    unloadedMs += steps * engine.stepBaseMs;
    unloadedMs += call.newTokens * engine.prefillPerTokenMs;
    unloadedMs += (call.completionTokens - 1) * tokenMs;
    const children = call.children.map((each) =>
      computeUnloadedMs(each, engine)
    );
    unloadedMs += Math.max(0, ...children);
    const isLast = turn === program.calls.length - 1;
    if (!isLast) unloadedMs += call.pauseMs;
    history = prompt + call.completionTokens;
  });
  return unloadedMs;
}
