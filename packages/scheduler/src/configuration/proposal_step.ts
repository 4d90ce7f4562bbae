/**
 * What the proposals of a node are made of, and what a step of them leads to.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import {
  checkNever,
  type Effect,
  type PlatformRequest,
  type RevisionRecord,
} from "@camphorlock/types";
import type { ChangeInput, ConfigurationNotice } from "./inputs.ts";
import type { PendingChange } from "./next_record.ts";
import { formatRevisionKey, REVISION_PREFIX } from "./record.ts";

/** The platform holds values of up to a megabyte. */
export const LARGEST_RECORD_BYTES = 1_000_000;

/** A change on its way, with what is known of it. */
export interface Proposal extends PendingChange {
  readonly deadlineMs: number;
  /** The operator has been told that the change is uncertain. */
  readonly uncertain: boolean;
}

/** One write of a proposal under one revision's name. */
export interface Attempt {
  readonly proposal: Proposal;
  readonly record: RevisionRecord;
  readonly bytes: Uint8Array;
  /** A write may have taken effect, or may yet. */
  readonly mayBeStored: boolean;
}

/** What is asked of the platform for an attempt. */
export type Phase = "writing" | "reading" | "confirming";

/** What one step of the proposals leads to. */
export interface ProposalStep {
  readonly effects: readonly Effect[];
  readonly notices: readonly ConfigurationNotice[];
  /** Whether the reader has to read up to the platform's latest revision. */
  readonly needsRead: boolean;
}

/** A step that leads to nothing. */
export const NOTHING: ProposalStep = {
  effects: [],
  notices: [],
  needsRead: false,
};

/** Builds the request for the present phase of an attempt. */
export function buildRequest(attempt: Attempt, phase: Phase): PlatformRequest {
  const key = formatRevisionKey(attempt.record.revision);
  switch (phase) {
    case "writing":
      return {
        kind: "put",
        key,
        value: attempt.bytes,
        condition: { kind: "absent" },
      };
    case "reading":
      return { kind: "get", key };
    case "confirming":
      return { kind: "list", prefix: REVISION_PREFIX, after: key, limit: 1 };
    default:
      return checkNever(phase);
  }
}

/** Refuses a change of which nothing was written, or whose name was taken. */
export function refuseChange(
  input: ChangeInput,
  failure: Failure,
): ProposalStep {
  const { requestId } = input;
  return {
    ...NOTHING,
    notices: [{ kind: "change_refused", requestId, failure }],
  };
}

/** Builds the failure of a change that the platform can't hold. */
export function buildTooLarge(bytes: number): Failure {
  const detail = `the configuration would take ${bytes} bytes, ` +
    `more than ${LARGEST_RECORD_BYTES}`;
  return createFailure("ChangeInvalid", detail);
}

/** Builds the failure of a change of which nothing was written. */
export function buildUnavailable(): Failure {
  const detail = "the platform didn't take the change; nothing was changed";
  return createFailure("PlatformUnavailable", detail);
}

/** Builds the notice of a change that may be stored or not. */
export function buildUncertain(proposal: Proposal): ConfigurationNotice {
  const { changeId, input } = proposal;
  const detail = `change ${changeId} may be stored or not; ` +
    "order it again under the same change id to be told";
  const failure = createFailure("ChangeUncertain", detail);
  const { requestId } = input;
  return { kind: "change_uncertain", requestId, changeId, failure };
}

/** Merges two steps, the first one's parts in front. */
export function mergeSteps(
  first: ProposalStep,
  second: ProposalStep,
): ProposalStep {
  return {
    effects: [...first.effects, ...second.effects],
    notices: [...first.notices, ...second.notices],
    needsRead: first.needsRead || second.needsRead,
  };
}
