/**
 * A placement decision and the inputs that it was based on.
 */
import { EVENTS } from "@camphorlock/codes";
import type { Effect, TargetId, VmId } from "@camphorlock/types";
import type { PlacementRequest } from "../owner/ports.ts";
import type { FinishEstimate } from "./estimate.ts";

/** Why a target was chosen. */
export type PlacementReason =
  | "only_candidate"
  | "baseline"
  | "cached_prefix"
  | "earliest_finish";

/** One target that was considered. */
export interface PlacementCandidate {
  readonly targetId: TargetId;
  /** The lowest wins. In milliseconds, or in the unit of the policy. */
  readonly score: number;
  readonly cachedTokens: number;
  /** The components of the score, for policies that estimate. */
  readonly estimate?: FinishEstimate;
}

/** The chosen target, its dispatcher and the log line of the decision. */
export interface PlacementDecision {
  readonly targetId: TargetId;
  readonly dispatcher: VmId;
  readonly cachedTokens: number;
  readonly reason: PlacementReason;
  readonly candidates: readonly PlacementCandidate[];
  readonly effects: readonly Effect[];
}

/** Builds the log line of a decision. */
export function buildDecisionLog(
  request: PlacementRequest,
  decision: Omit<PlacementDecision, "effects">,
): Effect {
  const candidates = decision.candidates.map((each) => ({
    targetId: each.targetId,
    score: Math.round(each.score),
    cachedTokens: each.cachedTokens,
  }));
  return {
    kind: "log",
    record: {
      event: EVENTS.TargetChosen.event,
      fields: {
        callId: request.callId,
        programId: request.programId,
        agent: request.agent,
        programClass: request.programClass,
        promptTokens: request.promptTokens,
        targetId: decision.targetId,
        dispatcher: decision.dispatcher,
        cachedTokens: decision.cachedTokens,
        reason: decision.reason,
        candidates,
      },
    },
  };
}
