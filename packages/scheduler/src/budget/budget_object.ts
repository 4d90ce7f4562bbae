/**
 * The stored form of a shared budget.
 *
 * The sum of what holders hold and what is finally spent never exceeds the
 * limit. Every write is conditional on the object's version.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import type { Micros, VmId } from "@camphorlock/types";
import { Packr } from "msgpackr";
import { err, ok, type Result } from "neverthrow";

const FORMAT = 1;

const packr = new Packr({ useRecords: false });

/** What one process has drawn from a budget and not returned. */
export interface BudgetHolder {
  readonly vmId: VmId;
  readonly incarnation: number;
  readonly heldMicros: Micros;
  /** Number of the holder's last change, to check whether it was stored. */
  readonly changeNumber: number;
}

/** A shared budget as stored. */
export interface BudgetObject {
  /** The sum that removed holders held, all of which counts as spent. */
  readonly spentMicros: Micros;
  readonly holders: readonly BudgetHolder[];
}

/** A budget without draws. */
export const EMPTY_BUDGET: BudgetObject = { spentMicros: 0, holders: [] };

/** One process's draw on a budget, or its return of money to it. */
export interface BudgetChange {
  readonly vmId: VmId;
  readonly incarnation: number;
  readonly changeNumber: number;
  /** Positive for a draw, negative for a return of unspent money. */
  readonly micros: Micros;
}

/** Formats the platform key of a shared budget. */
export function formatBudgetObjectKey(key: string): string {
  return `budget/${key}`;
}

/** Encodes a budget. */
export function encodeBudget(budget: BudgetObject): Uint8Array {
  return packr.pack({ format: FORMAT, ...budget });
}

/** Decodes a budget. Fails with `PlatformConflict` on other values. */
export function decodeBudget(value: Uint8Array): Result<BudgetObject, Failure> {
  try {
    const budget: unknown = packr.unpack(value);
    if (isBudget(budget)) return ok(budget);
  } catch {
    // Bytes that aren't msgpack fail like values of another shape.
  }
  return err(createFailure("PlatformConflict", "stored value isn't a budget"));
}

function isBudget(value: unknown): value is BudgetObject {
  if (typeof value !== "object" || value === null) return false;
  const budget = value as Partial<BudgetObject> & { readonly format?: unknown };
  return budget.format === FORMAT &&
    Number.isSafeInteger(budget.spentMicros) &&
    Array.isArray(budget.holders);
}

/** Sums what is finally spent and what holders hold. */
export function sumBudget(budget: BudgetObject): Micros {
  return budget.holders.reduce((sum, holder) => {
    return sum + holder.heldMicros;
  }, budget.spentMicros);
}

/** Finds the entry of a process. */
export function findHolder(
  budget: BudgetObject,
  owner: { readonly vmId: VmId; readonly incarnation: number },
): BudgetHolder | undefined {
  return budget.holders.find((each) => {
    return each.vmId === owner.vmId && each.incarnation === owner.incarnation;
  });
}

/** Whether a process's change is in the stored budget. */
export function hasChange(budget: BudgetObject, change: BudgetChange): boolean {
  const holder = findHolder(budget, change);
  return holder !== undefined && holder.changeNumber >= change.changeNumber;
}

/**
 * Applies a draw or return within the limit.
 *
 * What earlier processes on the same VM hold counts as spent from then on.
 * Fails with `PlatformConflict` when a later process on the VM has drawn or a
 * return exceeds the stored holding, and with `SharedBudgetExhausted` when a
 * draw exceeds the limit.
 */
export function applyBudgetChange(
  budget: BudgetObject,
  change: BudgetChange,
  limitMicros: Micros,
): Result<BudgetObject, Failure> {
  const { vmId, incarnation, changeNumber, micros } = change;
  const isSuperseded = budget.holders.some((each) => {
    return each.vmId === vmId && each.incarnation > incarnation;
  });
  if (isSuperseded) {
    return err(createFailure("PlatformConflict", "a later process has drawn"));
  }
  const holder = findHolder(budget, change);
  const heldMicros = (holder?.heldMicros ?? 0) + micros;
  if (heldMicros < 0) {
    return err(createFailure("PlatformConflict", "return exceeds the holding"));
  }
  const isOverLimit = micros > 0 && sumBudget(budget) + micros > limitMicros;
  if (isOverLimit) {
    const detail = `${limitMicros - sumBudget(budget)} micros are left`;
    return err(createFailure("SharedBudgetExhausted", detail));
  }
  const others = budget.holders.filter((each) => each.vmId !== vmId);
  const superseded = budget.holders.filter((each) => {
    return each.vmId === vmId && each.incarnation < incarnation;
  });
  const supersededMicros = superseded.reduce(
    (sum, each) => sum + each.heldMicros,
    0,
  );
  const entry = { vmId, incarnation, heldMicros, changeNumber };
  return ok({
    spentMicros: budget.spentMicros + supersededMicros,
    holders: [...others, entry],
  });
}

/**
 * Counts what holders outside the given VMs hold as spent, which bounds the
 * size of the object. A holder that is still running may spend what it holds.
 */
export function mergeRemovedHolders(
  budget: BudgetObject,
  present: ReadonlySet<VmId>,
): BudgetObject {
  const removed = budget.holders.filter((each) => !present.has(each.vmId));
  if (removed.length === 0) return budget;
  const removedMicros = removed.reduce((sum, each) => sum + each.heldMicros, 0);
  return {
    spentMicros: budget.spentMicros + removedMicros,
    holders: budget.holders.filter((each) => present.has(each.vmId)),
  };
}
