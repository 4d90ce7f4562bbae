/**
 * Questions of operators that every node answers for itself.
 */
import type { CallId } from "./ids.ts";

/** What is asked of every node. */
export type NodeQuery =
  | { readonly kind: "programs" }
  | { readonly kind: "nodes" }
  | { readonly kind: "shards" }
  /** The decisions that were made for a call. */
  | { readonly kind: "decisions"; readonly callId: CallId };

/** A value in a row; `undefined` is printed as nothing. */
export type QueryCell = string | number | boolean | undefined;

/** One row of an answer, by column name. */
export interface QueryRow {
  readonly [column: string]: QueryCell;
}
