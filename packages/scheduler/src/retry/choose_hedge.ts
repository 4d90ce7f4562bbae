/**
 * Whether a second attempt is started beside one that is late.
 *
 * Only short idempotent calls are hedged, and only while the pool has room, so
 * that hedges never add to a crest.
 */
import { checkNever, type ProgramClass } from "@camphorlock/types";
import type { HedgePolicy } from "./settings.ts";

/** An attempt that has given no token yet. */
export interface LateAttempt {
  readonly programClass: ProgramClass;
  readonly idempotent: boolean;
  readonly waitedMs: number;
  /** Usual time to the first token for such calls. */
  readonly usualMs: number;
  /** Share of the pool's slots in use. */
  readonly poolLoad: number;
}

/** Whether to hedge, and why not. */
export type HedgeChoice =
  | { readonly kind: "hedge" }
  | {
    readonly kind: "wait";
    readonly reason: "off" | "not_idempotent" | "not_short" | "load" | "early";
  };

/** Chooses whether to start a second attempt. */
export function chooseHedge(
  attempt: LateAttempt,
  policy: HedgePolicy,
): HedgeChoice {
  switch (policy.kind) {
    case "none":
      return { kind: "wait", reason: "off" };
    case "short_idempotent": {
      if (!attempt.idempotent) {
        return { kind: "wait", reason: "not_idempotent" };
      }
      if (attempt.programClass !== "short") {
        return { kind: "wait", reason: "not_short" };
      }
      if (attempt.poolLoad > policy.mostLoad) {
        return { kind: "wait", reason: "load" };
      }
      const lateMs = attempt.usualMs * policy.afterUsualTimes;
      if (attempt.waitedMs < lateMs) return { kind: "wait", reason: "early" };
      return { kind: "hedge" };
    }
    default:
      return checkNever(policy);
  }
}
