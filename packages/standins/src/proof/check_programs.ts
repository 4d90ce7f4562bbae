/**
 * Checks of programs as read after the run: histories, budgets and memory.
 */
import { formatOutcome, isSameCall } from "./check_calls.ts";
import type { ReadProgram, RunHistory, Violation } from "./run_history.ts";
import type { CallerCall } from "./virtual_caller.ts";

/** A history holds what its callers were told, and nothing else. */
export function checkHistoryKept(history: RunHistory): Violation[] {
  return history.programs.flatMap((program) => {
    const own = history.calls
      .filter((call) => call.programId === program.programId);
    return checkHistory(program, own)
      .map((detail) => ({ check: "history_kept", detail }) as const);
  });
}

function checkHistory(
  program: ReadProgram,
  own: readonly CallerCall[],
): string[] {
  const { items, programId } = program;
  if (items === undefined) return [`${programId} can't be read`];
  const problems: string[] = [];
  for (const call of own) {
    if (call.outcome === undefined) continue;
    const item = items.findLast((each) => each.key === call.key);
    if (item === undefined) {
      problems.push(`${call.key} is missing in the history`);
    } else if (formatOutcome(item.outcome) !== formatOutcome(call.outcome)) {
      problems.push(`${call.key} has another outcome in the history`);
    } else if (!isSameCall(item.call, call.call)) {
      problems.push(`${call.key} has another request in the history`);
    }
  }
  for (const item of items) {
    if (own.some((call) => call.key === item.key)) continue;
    problems.push(`${item.key} is in the history of ${programId}`);
  }
  return problems;
}

/** No program spends beyond its budget, by the nodes' account or the targets'. */
export function checkBudgetKept(history: RunHistory): Violation[] {
  const violations: Violation[] = [];
  for (const { programId, budgetMicros, view, items } of history.programs) {
    const charged = (items ?? []).reduce((sum, { outcome }) => {
      return sum + (outcome.status === "not_run" ? 0 : outcome.chargeMicros);
    }, 0);
    const spent = Math.max(charged, view?.spentMicros ?? 0);
    if (spent <= budgetMicros) continue;
    const detail = `${programId} spent ${spent} of ${budgetMicros}`;
    violations.push({ check: "budget_kept", detail });
  }
  return violations;
}

/** No engine holds memory for a program that has ended. */
export function checkMemoryReleased(history: RunHistory): Violation[] {
  return history.heldAfterEnd.map(({ targetId, programId }) => ({
    check: "memory_released",
    detail: `${targetId} holds memory for ${programId}`,
  }));
}
