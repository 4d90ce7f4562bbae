/**
 * Builds the record of a change on top of the configuration in force, or
 * refuses a change that conflicts with a later revision.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import type {
  ChangeCommand,
  ConfigurationValue,
  OperatorName,
  Revision,
  RevisionRecord,
} from "@camphorlock/types";
import { err, ok, type Result } from "neverthrow";
import { applyChange } from "./apply_change.ts";
import type { RevisionHistory } from "./history.ts";
import type { ChangeInput } from "./inputs.ts";
import { isCheckpoint } from "./record.ts";
import { buildPatch, listTouchedItems } from "./value.ts";

/** A change that isn't stored yet. */
export interface PendingChange {
  readonly input: ChangeInput;
  readonly changeId: string;
  /** The node's revision when the operator submitted the change. */
  readonly baseRevision: Revision;
}

/**
 * Builds the record that stores a change as the next revision.
 *
 * Fails with `RevisionMismatch` if the change requires another revision or if
 * another operator has changed the same item meanwhile, and with
 * `ChangeInvalid` if the change breaks a rule.
 */
export function buildNextRecord(
  history: RevisionHistory,
  pending: PendingChange,
): Result<RevisionRecord, Failure> {
  const { input } = pending;
  const { ifRevision } = input;
  if (ifRevision !== undefined && ifRevision !== history.revision) {
    return err(buildWrongRevision(history, ifRevision));
  }
  const revision = history.revision + 1;
  return applyChange(history.value, input.change, { revision })
    .andThen((value) => checkOverlap(history, { pending, value }))
    .map((value) => buildRecord(history, { pending, value }));
}

/** Builds the failure that states the operator and command that won. */
export function buildMismatch(winner: RevisionRecord): Failure {
  return createFailure("RevisionMismatch", formatWinner(winner));
}

function buildWrongRevision(
  history: RevisionHistory,
  ifRevision: Revision,
): Failure {
  const { revision } = history;
  const latest = history.listAfter(revision - 1)[0];
  const winner = latest === undefined ? "" : `; ${formatWinner(latest)}`;
  const detail = `the configuration is at revision ${revision}, ` +
    `not ${ifRevision}${winner}`;
  return createFailure("RevisionMismatch", detail);
}

function formatWinner(record: RevisionRecord): string {
  const { revision, by, command } = record;
  return `revision ${revision} is by ${by.operator} of ${by.partner}: ` +
    command;
}

/** Refuses a change to an item that another operator changed since. */
function checkOverlap(
  history: RevisionHistory,
  options: {
    readonly pending: PendingChange;
    readonly value: ConfigurationValue;
  },
): Result<ConfigurationValue, Failure> {
  const { pending, value } = options;
  const laterRecords = history.listAfter(pending.baseRevision);
  if (laterRecords.length < history.revision - pending.baseRevision) {
    const detail =
      `the configuration moved from revision ${pending.baseRevision} ` +
      `to ${history.revision} meanwhile; submit the change again`;
    return err(createFailure("RevisionMismatch", detail));
  }
  const { by, change } = pending.input;
  const touchedItems = new Set(
    listTouchedItems(buildPatch(history.value, value)),
  );
  const winner = laterRecords.find((record) => {
    if (isSameOperator(record.by, by)) return false;
    if (record.patch === undefined || isImport(change)) return true;
    return listTouchedItems(record.patch).some((item) =>
      touchedItems.has(item)
    );
  });
  return winner === undefined ? ok(value) : err(buildMismatch(winner));
}

function isSameOperator(left: OperatorName, right: OperatorName): boolean {
  return left.partner === right.partner && left.operator === right.operator;
}

function buildRecord(
  history: RevisionHistory,
  options: {
    readonly pending: PendingChange;
    readonly value: ConfigurationValue;
  },
): RevisionRecord {
  const { pending, value } = options;
  const revision = history.revision + 1;
  const { by, text: command, atMs, change } = pending.input;
  const record = { revision, changeId: pending.changeId, by, command, atMs };
  // An import replaces every section; a patch would duplicate them all.
  if (isImport(change)) return { ...record, full: value };
  const patchRecord = { ...record, patch: buildPatch(history.value, value) };
  return isCheckpoint(revision) ? { ...patchRecord, full: value } : patchRecord;
}

function isImport(change: ChangeCommand): boolean {
  return change.kind === "import_configuration";
}
