/**
 * The decisions that this node made for recent calls, so that operators can
 * ask why a call went as it did.
 */
import { EVENTS } from "@camphorlock/codes";
import type { CallId, LogRecord, QueryRow, VmId } from "@camphorlock/types";

/** Calls whose decisions are kept. */
const MAX_CALLS = 2_000;
/** Decisions that are kept for one call. */
const MAX_LINES = 40;

const EVENT_NAMES = new Map<number, string>(
  Object.values(EVENTS).map(({ event, name }) => [event, name]),
);

/** The latest decisions, by call. */
export class DecisionBook {
  readonly #vmId: VmId;
  readonly #lines = new Map<CallId, QueryRow[]>();

  constructor(vmId: VmId) {
    this.#vmId = vmId;
  }

  /** Records a log event that names a call or an attempt. */
  record(record: LogRecord, atMs: number): void {
    const callId = findCallId(record);
    if (callId === undefined) return;
    const lines = this.#lines.get(callId) ?? [];
    this.#lines.delete(callId);
    this.#lines.set(callId, lines);
    if (lines.length < MAX_LINES) lines.push(this.#buildRow(record, atMs));
    if (this.#lines.size <= MAX_CALLS) return;
    const [oldest] = this.#lines.keys();
    if (oldest !== undefined) this.#lines.delete(oldest);
  }

  /** Lists what was decided for a call, in order. */
  list(callId: CallId): readonly QueryRow[] {
    return this.#lines.get(callId) ?? [];
  }

  #buildRow(record: LogRecord, atMs: number): QueryRow {
    const what = EVENT_NAMES.get(record.event) ?? String(record.event);
    const fields = JSON.stringify(record.fields);
    return { node: this.#vmId, atMs, what, fields };
  }
}

/** An attempt's id is its call's id, the epoch and a number. */
function findCallId(record: LogRecord): CallId | undefined {
  const { callId, attemptId } = record.fields;
  if (typeof callId === "string") return callId;
  if (typeof attemptId !== "string") return undefined;
  return attemptId.split(".").slice(0, -2).join(".");
}
