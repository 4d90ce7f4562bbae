/**
 * The proposals of a node, their write attempts, and the steps they result in.
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

/** The platform accepts values of up to a megabyte. */
export const MAX_RECORD_BYTES = 1_000_000;

/** A change that is queued or being stored. */
export interface Proposal extends PendingChange {
  readonly deadlineMs: number;
  /** The change has been reported to the operator as uncertain. */
  readonly uncertain: boolean;
}

/** The attempt to store a proposal as one revision. */
export interface WriteAttempt {
  readonly proposal: Proposal;
  readonly record: RevisionRecord;
  readonly bytes: Uint8Array;
  /** Whether a write may have taken effect, or may still do so. */
  readonly mayBeStored: boolean;
}

/** The request that a write attempt sends or awaits. */
export type WritePhase = "writing" | "reading" | "confirming";

/** The result of one step of the proposal queue. */
export interface ProposalStep {
  readonly effects: readonly Effect[];
  readonly notices: readonly ConfigurationNotice[];
  /** Whether the reader must catch up with the platform first. */
  readonly needsRead: boolean;
}

/** A step without effects or notices. */
export const EMPTY_STEP: ProposalStep = {
  effects: [],
  notices: [],
  needsRead: false,
};

/** Builds the request for a phase of an attempt. */
export function buildRequest(
  attempt: WriteAttempt,
  phase: WritePhase,
): PlatformRequest {
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

/** Refuses a change that isn't stored and never will be. */
export function refuseChange(
  input: ChangeInput,
  failure: Failure,
): ProposalStep {
  const { requestId } = input;
  return {
    ...EMPTY_STEP,
    notices: [{ kind: "change_refused", requestId, failure }],
  };
}

/** Builds the failure of a change too large for the platform. */
export function buildTooLarge(bytes: number): Failure {
  const detail = `the configuration record would take ${bytes} bytes, ` +
    `more than ${MAX_RECORD_BYTES}`;
  return createFailure("ChangeInvalid", detail);
}

/** Builds the failure of a change that the platform didn't store. */
export function buildUnavailable(): Failure {
  const detail = "the platform didn't store the change; nothing was changed";
  return createFailure("PlatformUnavailable", detail);
}

/** Builds the notice of a change that may or may not be stored. */
export function buildUncertain(proposal: Proposal): ConfigurationNotice {
  const { changeId, input } = proposal;
  const detail = `change ${changeId} may or may not be stored; ` +
    "submit it again with the same change id to find out";
  const failure = createFailure("ChangeUncertain", detail);
  const { requestId } = input;
  return { kind: "change_uncertain", requestId, changeId, failure };
}

/** Merges two steps, with the effects and notices of the first in front. */
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
