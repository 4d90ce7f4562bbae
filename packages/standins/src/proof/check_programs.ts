/**
 * Checks of programs as read after the run: history, budget and engine memory.
 */
import { formatOutcome, isSameCall } from "./check_calls.ts";
import type { ProgramReading, RunHistory, Violation } from "./run_history.ts";
import type { CallerCall } from "./virtual_caller.ts";

/** A history contains exactly the outcomes that its callers received. */
export function checkHistoryKept(history: RunHistory): Violation[] {
  return history.programs.flatMap((program) => {
    const own = history.calls
      .filter((call) => call.programId === program.programId);
    return checkHistory(program, own)
      .map((detail) => ({ check: "history_kept", detail }) as const);
  });
}

function checkHistory(
  program: ProgramReading,
  own: readonly CallerCall[],
): string[] {
  const { items, programId } = program;
  if (items === undefined) return [`${programId}: unreadable history`];
  const problems: string[] = [];
  for (const call of own) {
    if (call.outcome === undefined) continue;
    const item = items.findLast((each) => each.key === call.key);
    if (item === undefined) {
      problems.push(`${call.key} is missing from the history`);
    } else if (formatOutcome(item.outcome) !== formatOutcome(call.outcome)) {
      problems.push(`${call.key} has a different outcome in the history`);
    } else if (!isSameCall(item.call, call.call)) {
      problems.push(`${call.key} has a different request in the history`);
    }
  }
  for (const item of items) {
    if (own.some((call) => call.key === item.key)) continue;
    problems.push(`${item.key}, never sent, is in ${programId}`);
  }
  return problems;
}

/**
 * No program exceeds its budget, neither by the spending that nodes report nor
 * by the charges in its history.
 */
export function checkBudgetKept(history: RunHistory): Violation[] {
  const violations: Violation[] = [];
  for (const { programId, budgetMicros, view, items } of history.programs) {
    const charged = (items ?? []).reduce((sum, { outcome }) => {
      return sum + (outcome.status === "not_run" ? 0 : outcome.chargeMicros);
    }, 0);
    const spent = Math.max(charged, view?.spentMicros ?? 0);
    if (spent <= budgetMicros) continue;
    const detail = `${programId} spent ${spent} of ${budgetMicros} micros`;
    violations.push({ check: "budget_kept", detail });
  }
  return violations;
}

/** No engine still holds memory for a program that has ended. */
export function checkMemoryReleased(history: RunHistory): Violation[] {
  return history.memoryHeldAfterEnd.map(({ targetId, programId }) => ({
    check: "memory_released",
    detail: `${targetId} still holds memory for ${programId}`,
  }));
}
