/**
 * The stored form of a shared budget.
 *
 * What has been handed out to living owners plus what is spent for good never
 * passes the limit. Every change is conditional on the object's version.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import type { Micros, VmId } from "@camphorlock/types";
import { Packr } from "msgpackr";
import { err, ok, type Result } from "neverthrow";

const FORMAT = 1;

const packr = new Packr({ useRecords: false });

/** What one process has drawn from a budget and not given back. */
export interface BudgetHolder {
  readonly vmId: VmId;
  readonly incarnation: number;
  readonly heldMicros: Micros;
  /** Numbers the holder's changes, so that a lost answer can be settled. */
  readonly changeNumber: number;
}

/** A shared budget as stored. */
export interface BudgetObject {
  /** Spent for good by holders that are gone. */
  readonly spentMicros: Micros;
  readonly holders: readonly BudgetHolder[];
}

/** A budget that nobody has drawn from. */
export const EMPTY_BUDGET: BudgetObject = { spentMicros: 0, holders: [] };

/** One process's draw on a budget, or its return. */
export interface BudgetChange {
  readonly vmId: VmId;
  readonly incarnation: number;
  readonly changeNumber: number;
  /** More is drawn when positive, unspent money returned when negative. */
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

/** Decodes a budget. Fails with `PlatformConflict` when it isn't one. */
export function decodeBudget(value: Uint8Array): Result<BudgetObject, Failure> {
  try {
    const budget: unknown = packr.unpack(value);
    if (isBudget(budget)) return ok(budget);
  } catch {
    // Bytes that aren't msgpack are no budget either.
  }
  return err(createFailure("PlatformConflict", "not a budget"));
}

function isBudget(value: unknown): value is BudgetObject {
  if (typeof value !== "object" || value === null) return false;
  const budget = value as Partial<BudgetObject> & { readonly format?: unknown };
  return budget.format === FORMAT &&
    Number.isSafeInteger(budget.spentMicros) &&
    Array.isArray(budget.holders);
}

/** Sums what is spent for good and what holders hold. */
export function sumBudget(budget: BudgetObject): Micros {
  return budget.holders.reduce((sum, holder) => {
    return sum + holder.heldMicros;
  }, budget.spentMicros);
}

/** Finds a process's entry. */
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
 * What earlier processes on the same VM hold counts as spent from then on. A
 * return that the stored budget doesn't know of changes nothing.
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
    return err(createFailure("PlatformConflict", "a later process draws here"));
  }
  const holder = findHolder(budget, change);
  const heldMicros = (holder?.heldMicros ?? 0) + micros;
  if (heldMicros < 0) {
    return err(createFailure("PlatformConflict", "returns more than it holds"));
  }
  const isOver = micros > 0 && sumBudget(budget) + micros > limitMicros;
  if (isOver) {
    const detail = `${limitMicros - sumBudget(budget)} micros are left`;
    return err(createFailure("SharedBudgetExhausted", detail));
  }
  const others = budget.holders.filter((each) => each.vmId !== vmId);
  const gone = budget.holders.filter((each) => {
    return each.vmId === vmId && each.incarnation < incarnation;
  });
  const goneMicros = gone.reduce((sum, each) => sum + each.heldMicros, 0);
  const entry = { vmId, incarnation, heldMicros, changeNumber };
  return ok({
    spentMicros: budget.spentMicros + goneMicros,
    holders: [...others, entry],
  });
}

/**
 * Counts what holders outside the given VMs hold as spent, which bounds the
 * size of the object. A holder that isn't gone after all keeps what it holds.
 */
export function mergeGoneHolders(
  budget: BudgetObject,
  present: ReadonlySet<VmId>,
): BudgetObject {
  const gone = budget.holders.filter((each) => !present.has(each.vmId));
  if (gone.length === 0) return budget;
  const goneMicros = gone.reduce((sum, each) => sum + each.heldMicros, 0);
  return {
    spentMicros: budget.spentMicros + goneMicros,
    holders: budget.holders.filter((each) => present.has(each.vmId)),
  };
}
