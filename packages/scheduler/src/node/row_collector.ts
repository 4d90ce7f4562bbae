/**
 * Collects the rows of all nodes for an operator's query.
 */
import type {
  Effect,
  NodeQuery,
  OperatorMessage,
  QueryRow,
  RequestId,
  VmId,
} from "@camphorlock/types";

/** Time to wait for a node's response before its rows are left out. */
const RESPONSE_TIMEOUT_MS = 2_000;

/** The result of a completed query. */
export interface CollectedRows {
  readonly requestId: RequestId;
  readonly rows: readonly QueryRow[];
  /** The nodes that didn't respond in time. */
  readonly missing: readonly VmId[];
}

interface OpenQuery {
  readonly untilMs: number;
  readonly waiting: Set<VmId>;
  readonly rows: QueryRow[];
}

/** The open queries that this node received from operators. */
export class RowCollector {
  readonly #open = new Map<RequestId, OpenQuery>();

  /** Sends a query to the given nodes, which may include this one. */
  start(
    requestId: RequestId,
    query: NodeQuery,
    scope: { readonly vmIds: readonly VmId[]; readonly nowMs: number },
  ): Effect[] {
    const untilMs = scope.nowMs + RESPONSE_TIMEOUT_MS;
    const waiting = new Set(scope.vmIds);
    this.#open.set(requestId, { untilMs, waiting, rows: [] });
    const message = { kind: "rows_request", requestId, query } as const;
    return scope.vmIds.map((to) => ({ kind: "send_peer", to, message }));
  }

  /** Adds the rows of one node, and completes the query with the last one. */
  add(
    from: VmId,
    message: Extract<OperatorMessage, { kind: "rows_answer" }>,
  ): CollectedRows[] {
    const open = this.#open.get(message.requestId);
    if (open === undefined || !open.waiting.delete(from)) return [];
    open.rows.push(...message.rows);
    if (open.waiting.size > 0) return [];
    return [this.#end(message.requestId, open)];
  }

  /** Completes the queries whose deadline has passed. */
  handleTick(nowMs: number): CollectedRows[] {
    const late = [...this.#open].filter(([, open]) => open.untilMs <= nowMs);
    return late.map(([requestId, open]) => this.#end(requestId, open));
  }

  #end(requestId: RequestId, open: OpenQuery): CollectedRows {
    this.#open.delete(requestId);
    return { requestId, rows: open.rows, missing: [...open.waiting] };
  }
}
