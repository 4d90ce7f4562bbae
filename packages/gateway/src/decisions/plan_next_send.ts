/**
 * Decides what follows a send that brought no whole answer.
 *
 * The load that this answers: targets that crash, reset or answer wrongly while
 * many requests run. A request that may not be repeated is sent again only if
 * the send is known not to have run; the others stay with the targets that may
 * have run them already while those live, as the route limits how many may.
 */
import { checkNever } from "@camphorlock/types";

/** How a send ended without a whole answer. */
export type FailedSend =
  /** The target states that it didn't run the request. */
  | { readonly kind: "not_run"; readonly detail: string }
  /** No byte of the request was written. */
  | { readonly kind: "unreachable"; readonly detail: string }
  /** The request may have run; its answer isn't whole. */
  | { readonly kind: "broken"; readonly detail: string };

/** What is known when the send has failed. */
export interface SendHistory {
  readonly isRepeatable: boolean;
  readonly maxTargets: number;
  /** Sends made so far. */
  readonly sends: number;
  /** Targets that may have run the request and still take work. */
  readonly liveRunners: number;
  /** Whether any send may have run. */
  readonly mayHaveRun: boolean;
  /** Time left until the request's final answer is due. */
  readonly leftMs: number;
}

/** What to do next. */
export type NextSend =
  | { readonly kind: "send"; readonly to: "any" | "runners" }
  /** Answers that the request has not run and won't. */
  | { readonly kind: "refuse" }
  /** Answers that the request may have run. */
  | { readonly kind: "fail" };

/** Most sends of one request; more hardly help a caller in time. */
const MAX_SENDS = 12;
/** Least time in which a target can answer. */
const MIN_LEFT_MS = 20;

/** Decides after a failed send. */
export function planNextSend(
  failed: FailedSend,
  history: SendHistory,
): NextSend {
  const { isRepeatable, mayHaveRun } = history;
  const isOver = history.leftMs < MIN_LEFT_MS || history.sends >= MAX_SENDS;
  switch (failed.kind) {
    case "not_run":
    case "unreachable":
      if (isOver) return { kind: mayHaveRun ? "fail" : "refuse" };
      return planPlace(history);
    case "broken":
      if (isOver || !isRepeatable) return { kind: "fail" };
      return planPlace(history);
    default:
      return checkNever(failed);
  }
}

function planPlace(history: SendHistory): NextSend {
  const isBound = history.liveRunners >= history.maxTargets;
  return { kind: "send", to: isBound ? "runners" : "any" };
}
