/**
 * The states of a node's draw on a shared budget, or of its return, and the
 * requests and retries that follow from them.
 */
import type { PlatformRequest } from "@camphorlock/types";
import { computeHash } from "../configuration/rank.ts";
import {
  type BudgetChange,
  type BudgetObject,
  encodeBudget,
  formatBudgetObjectKey,
} from "./budget_object.ts";

const RETRY_MS = 500;

/** Most doublings of the retry delay after repeated conflicts. */
const MAX_DOUBLINGS = 4;

/** Number of values that a hash can have. */
const HASH_RANGE = 2 ** 32;

/** The state of a draw or return. `settling` checks whether it was stored. */
export type DrawState =
  | { readonly kind: "idle" }
  | { readonly kind: "reading" }
  | { readonly kind: "writing"; readonly change: PendingChange }
  | { readonly kind: "settling"; readonly change: PendingChange }
  | {
    readonly kind: "waiting";
    readonly untilMs: number;
    readonly change: PendingChange | undefined;
  };

/** A change that may have been stored. */
export interface PendingChange extends BudgetChange {
  /** The version that the write is conditional on, zero for absent. */
  readonly version: number;
  readonly object: BudgetObject;
}

/** Computes a back-off with jitter, to spread nodes that conflict. */
export function computeRetryMs(name: string, conflicts: number): number {
  const times = 2 ** Math.min(conflicts, MAX_DOUBLINGS);
  return RETRY_MS * times * (0.5 + computeHash(name) / HASH_RANGE);
}

/** Builds the write of a change, conditional on the version that was read. */
export function buildWrite(
  key: string,
  change: PendingChange,
): PlatformRequest {
  const { version } = change;
  return {
    kind: "put",
    key: formatBudgetObjectKey(key),
    value: encodeBudget(change.object),
    condition: version === 0
      ? { kind: "absent" }
      : { kind: "version", version },
  };
}
