/**
 * The JSON responses for outcomes, programs and failures.
 */
import { findResultCode } from "@camphorlock/codes";
import type {
  CallId,
  CallOutcome,
  FailureView,
  HistoryItem,
  ProgramView,
} from "@camphorlock/types";
import type { Context } from "hono";
import type { ContentfulStatusCode } from "hono/utils/http-status";

const MS_PER_SECOND = 1_000;

/**
 * Code of a request that may or may not have run. Only a retry with the same
 * idempotency key shows which.
 */
const UNCERTAIN_CODE = 5004;

/** Builds the response to a failed request, with the failure's code. */
export function buildErrorResponse(
  context: Context,
  failure: FailureView,
): Response {
  const resultCode = findResultCode(failure.code);
  const status = resultCode.some ? resultCode.val.httpStatus : 500;
  setRetryAfter(context, failure.retryAfterMs);
  const body = renderFailure(failure);
  return context.json(body, status as ContentfulStatusCode);
}

/** Renders a failure with status `uncertain` or `not_run`. */
export function renderFailure(failure: FailureView): object {
  const resultCode = findResultCode(failure.code);
  return {
    status: failure.code === UNCERTAIN_CODE ? "uncertain" : "not_run",
    error: {
      code: failure.code,
      name: resultCode.some ? resultCode.val.name : "Unlisted",
      detail: failure.detail,
      retryable: resultCode.some ? resultCode.val.retryable : false,
      retry_after_ms: failure.retryAfterMs,
    },
  };
}

/** Builds the response for the outcome of a call. */
export function buildOutcomeResponse(
  context: Context,
  callId: CallId,
  outcome: CallOutcome,
): Response {
  const body = renderOutcome(callId, outcome);
  if (outcome.status === "completed") return context.json(body);
  if (outcome.status === "not_run") {
    setRetryAfter(context, outcome.retryAfterMs);
  }
  const resultCode = findResultCode(outcome.code);
  const status = resultCode.some ? resultCode.val.httpStatus : 500;
  return context.json(body, status as ContentfulStatusCode);
}

/** Renders the outcome of a call. */
export function renderOutcome(callId: CallId, outcome: CallOutcome): object {
  switch (outcome.status) {
    case "completed":
      return {
        status: "completed",
        call: callId,
        attempt: outcome.attemptId,
        target: outcome.targetId,
        text: outcome.text,
        length: outcome.text.length,
        digest: outcome.digest,
        usage: renderUsage(outcome),
        charge_micros: outcome.chargeMicros,
        agreement_revision: outcome.agreementRevision,
      };
    case "not_run":
      return {
        call: callId,
        ...renderFailure(outcome),
      };
    case "failed":
    case "unknown":
      return {
        call: callId,
        ...renderFailure(outcome),
        status: outcome.status,
        charge_micros: outcome.chargeMicros,
        agreement_revision: outcome.agreementRevision,
      };
  }
}

/** Renders a program. */
export function renderProgram(program: ProgramView): object {
  const { spec } = program;
  return {
    program: spec.programId,
    partner: spec.partner,
    team: spec.team,
    agent: spec.agent,
    class: spec.programClass,
    parent: spec.parentId,
    parallel: spec.parallel,
    deadline_at_ms: spec.deadlineAtMs,
    state: program.state,
    budget_micros: spec.budgetMicros,
    spent_micros: program.spentMicros,
    reserved_micros: program.reservedMicros,
    calls: program.calls,
    running: program.running,
  };
}

/** Renders an ended call in a program's history. */
export function renderHistoryItem(item: HistoryItem): object {
  return {
    key: item.key,
    request: item.call,
    ...renderOutcome(item.callId, item.outcome),
  };
}

/** Renders token counts in the chat-completions format. */
export function renderUsage(
  outcome: Extract<CallOutcome, { status: "completed" }>,
): object {
  const { promptTokens, completionTokens, cachedTokens } = outcome.usage;
  return {
    prompt_tokens: promptTokens,
    completion_tokens: completionTokens,
    total_tokens: promptTokens + completionTokens,
    prompt_tokens_details: { cached_tokens: cachedTokens },
  };
}

function setRetryAfter(context: Context, retryAfterMs?: number): void {
  if (retryAfterMs === undefined) return;
  const seconds = Math.ceil(retryAfterMs / MS_PER_SECOND);
  context.header("Retry-After", String(seconds));
}
