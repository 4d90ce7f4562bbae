/**
 * Operator queries that every node runs on its own state.
 */
import type { CallId } from "./ids.ts";

/** A query that is sent to every node. */
export type NodeQuery =
  | { readonly kind: "programs" }
  | { readonly kind: "nodes" }
  | { readonly kind: "shards" }
  /** The decisions made for a call. */
  | { readonly kind: "decisions"; readonly callId: CallId };

/** A value in a row; `undefined` is printed as an empty cell. */
export type QueryCell = string | number | boolean | undefined;

/** One row of a result, by column name. */
export interface QueryRow {
  readonly [column: string]: QueryCell;
}
