/**
 * What a request has besides its route if it's a program's turn, and the saving
 * of the turn at its end.
 */
import { RESULT_CODES } from "@camphorlock/codes/result_codes";
import type { TurnGrant } from "../accounts/turn_accounts.ts";
import type {
  AcceptedRequest,
  RequestOutcome,
} from "../exchange/request_end.ts";
import type { StreamVersion } from "../model/stream_version.ts";
import type { OpenTurn } from "./open_turn.ts";

/** The state of a program's turn. */
export interface TurnState {
  /** The tokens granted to a turn whose program has a budget. */
  readonly grant?: TurnGrant | undefined;
  /** The turn's chain, where the system keeps the turns. */
  readonly turn?: OpenTurn | undefined;
  /** The version that began the stream that the turn takes up. */
  readonly begun?: StreamVersion | undefined;
}

/** A turn whose response has ended. */
export interface EndedTurn {
  readonly accepted: AcceptedRequest;
  readonly turn: OpenTurn | undefined;
  readonly targetId: string;
  readonly deadlineMs: number;
}

/**
 * Saves a turn whose events were all forwarded. One that isn't certain to last
 * must not look complete to its caller.
 */
export async function saveTurn(
  outcome: RequestOutcome,
  { accepted, turn, targetId, deadlineMs }: EndedTurn,
): Promise<RequestOutcome> {
  if (turn === undefined || outcome.kind !== "completed") return outcome;
  // A target's complete response that isn't a stream ends no turn.
  if (!accepted.caller.hasOpenStream) return outcome;
  if (await turn.save(targetId, deadlineMs)) return outcome;
  return {
    kind: "failed",
    code: RESULT_CODES.TurnNotKept,
    detail: "too few disks confirmed the turn in time",
  };
}
