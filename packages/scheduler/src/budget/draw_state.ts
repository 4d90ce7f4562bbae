/**
 * Where a node's draw on a shared budget, or its return, stands.
 */
import type { BudgetChange, BudgetObject } from "./budget_object.ts";

/** The state of a draw or return. */
export type DrawState =
  | { readonly kind: "idle" }
  | { readonly kind: "reading" }
  | { readonly kind: "writing"; readonly change: OpenChange }
  | { readonly kind: "settling"; readonly change: OpenChange }
  | {
    readonly kind: "waiting";
    readonly untilMs: number;
    readonly change?: OpenChange;
  };

/** A change that may have been written. */
export interface OpenChange extends BudgetChange {
  /** The version the write was conditional on, zero for absent. */
  readonly version: number;
  readonly object: BudgetObject;
}
