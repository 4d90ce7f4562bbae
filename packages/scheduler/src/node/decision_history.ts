/**
 * Keeps the decisions that this node made for recent calls, so that operators
 * can query why a call had its outcome.
 */
import { EVENTS } from "@camphorlock/codes";
import type { CallId, LogRecord, QueryRow, VmId } from "@camphorlock/types";

/** Maximum number of calls whose decisions are kept. */
const MAX_CALLS = 2_000;
/** Maximum number of decisions kept per call. */
const MAX_ROWS = 40;

const EVENT_NAMES = new Map<number, string>(
  Object.values(EVENTS).map(({ event, name }) => [event, name]),
);

/** The latest decisions, by call. */
export class DecisionHistory {
  readonly #vmId: VmId;
  readonly #rowsByCall = new Map<CallId, QueryRow[]>();

  constructor(vmId: VmId) {
    this.#vmId = vmId;
  }

  /** Records a log event that contains the id of a call or an attempt. */
  record(record: LogRecord, atMs: number): void {
    const callId = findCallId(record);
    if (callId === undefined) return;
    const rows = this.#rowsByCall.get(callId) ?? [];
    this.#rowsByCall.delete(callId);
    this.#rowsByCall.set(callId, rows);
    if (rows.length < MAX_ROWS) rows.push(this.#buildRow(record, atMs));
    if (this.#rowsByCall.size <= MAX_CALLS) return;
    const [oldest] = this.#rowsByCall.keys();
    if (oldest !== undefined) this.#rowsByCall.delete(oldest);
  }

  /** Lists the decisions for a call, oldest first. */
  list(callId: CallId): readonly QueryRow[] {
    return this.#rowsByCall.get(callId) ?? [];
  }

  #buildRow(record: LogRecord, atMs: number): QueryRow {
    const what = EVENT_NAMES.get(record.event) ?? String(record.event);
    const fields = JSON.stringify(record.fields);
    return { node: this.#vmId, atMs, what, fields };
  }
}

/** The id of an attempt consists of its call's id, the epoch and a number. */
function findCallId(record: LogRecord): CallId | undefined {
  const { callId, attemptId } = record.fields;
  if (typeof callId === "string") return callId;
  if (typeof attemptId !== "string") return undefined;
  return attemptId.split(".").slice(0, -2).join(".");
}
