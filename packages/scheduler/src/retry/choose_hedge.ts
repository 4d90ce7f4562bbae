/**
 * Decides whether to hedge: to start a second attempt while the first is late.
 *
 * Only short idempotent calls are hedged, and only while the pool has spare
 * slots, so that hedges don't add to an overload.
 */
import { checkNever, type ProgramClass } from "@camphorlock/types";
import type { HedgePolicy } from "./settings.ts";

/** An attempt that hasn't produced its first token yet. */
export interface LateAttempt {
  readonly programClass: ProgramClass;
  readonly idempotent: boolean;
  readonly waitedMs: number;
  /** Usual time to the first token of similar calls. */
  readonly usualFirstTokenMs: number;
  /** Share of the pool's slots in use. */
  readonly poolLoad: number;
}

/** Whether to hedge; if not, the reason. */
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
      const delayMs = attempt.usualFirstTokenMs * policy.afterUsualTimes;
      if (attempt.waitedMs < delayMs) return { kind: "wait", reason: "early" };
      return { kind: "hedge" };
    }
    default:
      return checkNever(policy);
  }
}
