/**
 * The configuration in force on a node and the earlier revisions that the node
 * still holds. The revision never decreases.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import type {
  ConfigurationValue,
  Revision,
  RevisionRecord,
} from "@camphorlock/types";
import { err, ok, type Result } from "neverthrow";
import { CHECKPOINT_INTERVAL, encodeRecord, isCheckpoint } from "./record.ts";
import { applyRecord, EMPTY_CONFIGURATION } from "./value.ts";

/** Largest gap that patches close; a larger one needs a full configuration. */
export const MAX_PATCH_GAP = CHECKPOINT_INTERVAL;

/** The result of applying a record that a node received. */
export type ApplyResult = "adopted" | "known" | "gap";

interface HeldRevision {
  readonly record: RevisionRecord;
  /** The configuration at this revision. Kept at checkpoints only. */
  readonly value?: ConfigurationValue;
}

/** The revisions that a node holds. */
export class RevisionHistory {
  #revision: Revision = 0;
  #value: ConfigurationValue = EMPTY_CONFIGURATION;
  #encodedFull?: { readonly revision: Revision; readonly bytes: Uint8Array };
  readonly #held = new Map<Revision, HeldRevision>();
  readonly #changes = new Map<string, Revision>();
  readonly #maxRevisions: number;

  constructor(maxRevisions: number) {
    this.#maxRevisions = maxRevisions;
  }

  /** The highest revision that the node has applied. */
  get revision(): Revision {
    return this.#revision;
  }

  /** The configuration in force. */
  get value(): ConfigurationValue {
    return this.#value;
  }

  /** Applies a record if it's the next one or has the full configuration. */
  apply(record: RevisionRecord): ApplyResult {
    if (record.revision <= this.#revision) return "known";
    const isNext = record.revision === this.#revision + 1;
    if (!isNext && record.full === undefined) return "gap";
    this.#value = isNext
      ? applyRecord(this.#value, record)
      : record.full ?? this.#value;
    if (!isNext) this.#held.clear();
    this.#revision = record.revision;
    this.#add(record, !isNext || isCheckpoint(record.revision));
    return "adopted";
  }

  /** Finds the revision that stored a change, if the node holds it. */
  findChange(changeId: string): Revision | undefined {
    return this.#changes.get(changeId);
  }

  /** Lists the held records after a revision, in order. */
  listAfter(revision: Revision): readonly RevisionRecord[] {
    const records: RevisionRecord[] = [];
    for (let next = revision + 1; next <= this.#revision; next += 1) {
      const held = this.#held.get(next);
      if (held !== undefined) records.push(held.record);
    }
    return records;
  }

  /** Encodes the records that bring a peer from a revision to this node's. */
  encodeAfter(
    revision: Revision,
  ): readonly { readonly revision: Revision; readonly bytes: Uint8Array }[] {
    if (revision >= this.#revision) return [];
    const records = this.listAfter(revision);
    const gap = this.#revision - revision;
    if (gap > MAX_PATCH_GAP || records.length < gap) {
      return [this.#encodeFull()];
    }
    return records.map((record) => ({
      revision: record.revision,
      bytes: encodeRecord(record),
    }));
  }

  /**
   * Returns the configuration as of a revision. Fails with
   * `RevisionUnavailable` if the node doesn't hold it.
   */
  getValueAsOf(revision: Revision): Result<ConfigurationValue, Failure> {
    if (revision === this.#revision) return ok(this.#value);
    const base = this.#findBase(revision);
    const start = this.#held.get(base)?.value;
    if (start === undefined) return err(this.#buildUnavailable(revision));
    return ok(this.#applyFrom(start, { base, revision }));
  }

  /** Finds the latest held revision, up to this one, that keeps its value. */
  #findBase(revision: Revision): Revision {
    let base = revision;
    while (this.#held.has(base)) {
      if (this.#held.get(base)?.value !== undefined) return base;
      base -= 1;
    }
    return base;
  }

  #applyFrom(
    start: ConfigurationValue,
    range: { readonly base: Revision; readonly revision: Revision },
  ): ConfigurationValue {
    let value = start;
    for (let next = range.base + 1; next <= range.revision; next += 1) {
      const held = this.#held.get(next);
      if (held !== undefined) value = applyRecord(value, held.record);
    }
    return value;
  }

  #buildUnavailable(revision: Revision): Failure {
    const values = [...this.#held.entries()];
    const oldest = values.find(([, held]) => held.value !== undefined)?.[0];
    const detail = `revision ${revision} isn't held here; ` +
      `this node holds ${oldest ?? this.#revision} to ${this.#revision}`;
    return createFailure("RevisionUnavailable", detail);
  }

  #add(record: RevisionRecord, keepsValue: boolean): void {
    const kept = buildPatchRecord(record);
    const held = keepsValue
      ? { record: kept, value: this.#value }
      : { record: kept };
    this.#held.set(record.revision, held);
    this.#changes.set(record.changeId, record.revision);
    for (const revision of this.#held.keys()) {
      if (this.#held.size <= this.#maxRevisions) break;
      this.#held.delete(revision);
    }
    for (const changeId of this.#changes.keys()) {
      if (this.#changes.size <= this.#maxRevisions) break;
      this.#changes.delete(changeId);
    }
  }

  #encodeFull(): { readonly revision: Revision; readonly bytes: Uint8Array } {
    if (this.#encodedFull?.revision === this.#revision) {
      return this.#encodedFull;
    }
    const held = this.#held.get(this.#revision);
    const record = held?.record;
    if (record === undefined) throw new TypeError("latest record is missing");
    const bytes = encodeRecord({ ...record, full: this.#value });
    this.#encodedFull = { revision: this.#revision, bytes };
    return this.#encodedFull;
  }
}

/** Removes the full configuration from a record that has a patch. */
function buildPatchRecord(record: RevisionRecord): RevisionRecord {
  if (record.patch === undefined) return record;
  const { full: _full, ...patchRecord } = record;
  return patchRecord;
}
