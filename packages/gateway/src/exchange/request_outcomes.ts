/**
 * The outcomes of requests that end without a target's response.
 */
import { RESULT_CODES } from "@camphorlock/codes/result_codes";
import type { Block } from "../decisions/blocked_requests.ts";
import type { TargetTable } from "../decisions/target_table.ts";
import type { KeyRefusal } from "../tenants/tenant_keys.ts";
import type { RequestOutcome } from "./request_end.ts";

/** Retry-After for callers while targets are full or missing. */
const RETRY_AFTER_MS = 150;
const MS_PER_SECOND = 1_000;

/** Builds the outcome of a request that no target has run. */
export function buildRefusalOutcome(
  targets: TargetTable,
  service: string,
): RequestOutcome {
  const isEmpty = !targets.hasReady(service, performance.now());
  return {
    kind: "refused",
    code: isEmpty ? RESULT_CODES.NoTarget : RESULT_CODES.Overloaded,
    detail: isEmpty ? "no target is ready" : "every target is at capacity",
    retryAfterMs: RETRY_AFTER_MS,
  };
}

/** Builds the outcome of a request whose key is no longer accepted. */
export function buildKeyOutcome(
  { code, detail, retryAfterMs, configurationAgeMs }: KeyRefusal,
): RequestOutcome {
  return {
    kind: "refused",
    code: RESULT_CODES[code],
    detail: `${detail}; confirmed ${Math.round(configurationAgeMs)} ms ago`,
    retryAfterMs,
  };
}

/** Builds the outcome of a request while no target can be reached. */
export function buildCutOffOutcome(mayHaveRun: boolean): RequestOutcome {
  const code = RESULT_CODES.NoTarget;
  const detail = "this gateway reaches no target, nor one that does";
  return mayHaveRun
    ? buildFailureOutcome(detail)
    // Another gateway may serve the caller at once.
    : { kind: "refused", code, detail, retryAfterMs: 0 };
}

/** Builds the outcome of a request that isn't sent, since it crashes targets. */
export function buildBlockedOutcome(
  { crashes, untilMs }: Block,
  mayHaveRun: boolean,
): RequestOutcome {
  const leftMs = Math.ceil(untilMs - performance.now());
  const detail = `${crashes} targets ended while they ran this request; ` +
    `it's let in again in ${Math.ceil(leftMs / MS_PER_SECOND)} s`;
  if (mayHaveRun) return buildFailureOutcome(detail);
  const code = RESULT_CODES.RequestCrashesTargets;
  return { kind: "refused", code, detail, retryAfterMs: leftMs };
}

/** Builds the outcome of a stream that can't go on at its version. */
export function buildVersionGoneOutcome(mayHaveRun: boolean): RequestOutcome {
  const code = RESULT_CODES.StreamVersionGone;
  const detail = "no target of the version that began the stream is ready";
  return mayHaveRun
    ? buildFailureOutcome(detail)
    : { kind: "refused", code, detail, retryAfterMs: RETRY_AFTER_MS };
}

/** Builds the outcome of a request that a target may have run. */
export function buildFailureOutcome(detail: string): RequestOutcome {
  return { kind: "failed", code: RESULT_CODES.TargetBroken, detail };
}

/** Builds the outcome of a request that a target didn't answer in time. */
export function buildTimeoutOutcome(
  reason: "timeout" | "process_end" | "blocked" | undefined,
): RequestOutcome {
  return {
    kind: "failed",
    code: RESULT_CODES.TargetTimeout,
    detail: reason === "process_end"
      ? "the gateway ends, and the target hasn't responded"
      : "the request's time limit has passed",
  };
}
