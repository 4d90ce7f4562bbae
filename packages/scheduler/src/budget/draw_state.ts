/**
 * Where a node's draw on a shared budget, or its return, stands.
 */
import type { PlatformRequest } from "@camphorlock/types";
import { computeRank } from "../configuration/rank.ts";
import {
  type BudgetChange,
  type BudgetObject,
  encodeBudget,
  formatBudgetObjectKey,
} from "./budget_object.ts";

const RETRY_MS = 500;

/** Doublings of the wait after repeated conflicts. */
const LARGEST_BACKOFF = 4;

const RANKS = 2 ** 32;

/** The state of a draw or return. */
export type DrawState =
  | { readonly kind: "idle" }
  | { readonly kind: "reading" }
  | { readonly kind: "writing"; readonly change: OpenChange }
  | { readonly kind: "settling"; readonly change: OpenChange }
  | {
    readonly kind: "waiting";
    readonly untilMs: number;
    readonly change: OpenChange | undefined;
  };

/** A change that may have been written. */
export interface OpenChange extends BudgetChange {
  /** The version the write was conditional on, zero for absent. */
  readonly version: number;
  readonly object: BudgetObject;
}

/** Computes a wait that spreads nodes which have met at the same object. */
export function computeRetryMs(name: string, conflicts: number): number {
  const times = 2 ** Math.min(conflicts, LARGEST_BACKOFF);
  return RETRY_MS * times * (0.5 + computeRank(name) / RANKS);
}

/** Builds the write of a change under the version that it was built on. */
export function buildWrite(key: string, change: OpenChange): PlatformRequest {
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
