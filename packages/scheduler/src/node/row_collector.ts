/**
 * Collects the rows that all nodes give to an operator's question.
 */
import type {
  Effect,
  NodeQuery,
  OperatorMessage,
  QueryRow,
  RequestId,
  VmId,
} from "@camphorlock/types";

/** Silence of a node after which its rows are left out. */
const ANSWER_LIMIT_MS = 2_000;

/** An answered question. */
export interface CollectedRows {
  readonly requestId: RequestId;
  readonly rows: readonly QueryRow[];
  /** Nodes that didn't answer in time. */
  readonly missing: readonly VmId[];
}

interface OpenQuestion {
  readonly untilMs: number;
  readonly waiting: Set<VmId>;
  readonly rows: QueryRow[];
}

/** The questions that were asked at this node. */
export class RowCollector {
  readonly #open = new Map<RequestId, OpenQuestion>();

  /** Asks every node, this one included. */
  start(
    requestId: RequestId,
    query: NodeQuery,
    ask: { readonly vmIds: readonly VmId[]; readonly nowMs: number },
  ): Effect[] {
    const untilMs = ask.nowMs + ANSWER_LIMIT_MS;
    const waiting = new Set(ask.vmIds);
    this.#open.set(requestId, { untilMs, waiting, rows: [] });
    const message = { kind: "rows_request", requestId, query } as const;
    return ask.vmIds.map((to) => ({ kind: "send_peer", to, message }));
  }

  /** Adds the rows of one node. */
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

  /** Ends the questions whose time is up. */
  handleTick(nowMs: number): CollectedRows[] {
    const late = [...this.#open].filter(([, open]) => open.untilMs <= nowMs);
    return late.map(([requestId, open]) => this.#end(requestId, open));
  }

  #end(requestId: RequestId, open: OpenQuestion): CollectedRows {
    this.#open.delete(requestId);
    return { requestId, rows: open.rows, missing: [...open.waiting] };
  }
}
