/**
 * Checks that compare the responses to callers with the calls that targets ran.
 */
import type {
  Call,
  CallerResponse,
  CallOutcome,
  HistoryItem,
} from "@camphorlock/types";
import { buildCompletionText } from "../engine_server/completion_text.ts";
import type { VirtualRequest } from "../fleet/virtual_fleet.ts";
import type { TargetRun } from "../fleet/virtual_targets.ts";
import { buildOperationText } from "../service/serve_service.ts";
import type { RunHistory, Violation } from "./run_history.ts";

/** Whether two calls have the same content. No two generated calls do. */
export function isSameCall(left: Call, right: Call): boolean {
  return JSON.stringify(left) === JSON.stringify(right);
}

function listRunsOf(history: RunHistory, call: Call): TargetRun[] {
  return history.runs.filter((run) => isSameCall(run.call, call));
}

/** A non-idempotent call runs at most once. */
export function checkAtMostOnce(history: RunHistory): Violation[] {
  const violations: Violation[] = [];
  for (const { call, key } of history.calls) {
    if (call.kind === "model" || call.idempotent) continue;
    const runs = listRunsOf(history, call);
    if (runs.length <= 1) continue;
    const detail = `${key} ran ${runs.length} times`;
    violations.push({ check: "at_most_once", detail });
  }
  return violations;
}

/**
 * Whether a run belongs to a later request for the same call, which the caller
 * sent while the response to this request was still in transit.
 */
function isFromLaterRequest(
  run: TargetRun,
  refusal: {
    readonly answer: Extract<CallerResponse, { kind: "outcome" }>;
    readonly request: VirtualRequest;
    readonly requests: readonly VirtualRequest[];
  },
): boolean {
  const { answer: response, request, requests } = refusal;
  if (run.attemptId.startsWith(`${response.callId}.`)) return false;
  return requests.some(({ sentAtMs }) =>
    sentAtMs > request.sentAtMs && sentAtMs <= run.atMs
  );
}

/** A call reported as `not_run` didn't run before that response. */
export function checkNotRunOutcomes(history: RunHistory): Violation[] {
  const violations: Violation[] = [];
  for (const { call, key, requests } of history.calls) {
    for (const request of requests) {
      const response = request.responses.at(-1);
      if (response?.kind !== "outcome") continue;
      if (response.outcome.status !== "not_run") continue;
      const endedAtMs = request.endedAtMs ?? 0;
      const runs = listRunsOf(history, call)
        .filter((run) => run.atMs <= endedAtMs)
        .filter((run) =>
          !isFromLaterRequest(run, { answer: response, request, requests })
        );
      if (runs.length === 0) continue;
      const detail = `${key} was reported as not run, but had run`;
      violations.push({ check: "not_run_honest", detail });
    }
  }
  return violations;
}

/** A completed call's stream and outcome both contain the expected text. */
export function checkResponsesComplete(history: RunHistory): Violation[] {
  const violations: Violation[] = [];
  const add = (detail: string): void => {
    violations.push({ check: "answers_whole", detail });
  };
  for (const { call, key, requests } of history.calls) {
    for (const { responses } of requests) {
      const last = responses.at(-1);
      if (last?.kind !== "outcome") continue;
      if (last.outcome.status !== "completed") continue;
      const expected = getExpectedText(call);
      if (last.outcome.text !== expected) add(`${key}: unexpected text`);
      const streamed = responses
        .map((response) => response.kind === "text" ? response.text : "")
        .join("");
      if (streamed !== expected) add(`${key}: incomplete stream`);
    }
  }
  return violations;
}

/** A call has the same outcome for its key at every entry node. */
export function checkSingleOutcome(history: RunHistory): Violation[] {
  const violations: Violation[] = [];
  for (const { key, requests } of history.calls) {
    const outcomes = requests
      .flatMap(({ responses }) => responses)
      .flatMap((response) =>
        response.kind === "outcome" ? [response.outcome] : []
      )
      .filter((outcome) => outcome.status !== "not_run");
    const distinct = new Set(outcomes.map(formatOutcome));
    if (distinct.size <= 1) continue;
    const detail = `${key} has ${distinct.size} outcomes`;
    violations.push({ check: "history_kept", detail });
  }
  return violations;
}

/** The calls of a program run one at a time, in the order of its history. */
export function checkCallsInOrder(history: RunHistory): Violation[] {
  return history.programs.flatMap(({ items = [] }) =>
    checkItemsInOrder(history, items)
  );
}

function checkItemsInOrder(
  history: RunHistory,
  items: readonly HistoryItem[],
): Violation[] {
  const violations: Violation[] = [];
  let lastEndMs = 0;
  for (const { key, outcome } of items) {
    if (outcome.status !== "completed") continue;
    const run = history.runs
      .find((each) => each.attemptId === outcome.attemptId);
    if (run === undefined) {
      const detail = `${key} completed, but no target ran it`;
      violations.push({ check: "answers_whole", detail });
      continue;
    }
    if (run.atMs < lastEndMs) {
      const detail = `${key} ran before the previous call ended`;
      violations.push({ check: "calls_in_order", detail });
    }
    lastEndMs = run.endedAtMs ?? run.atMs;
  }
  return violations;
}

/** Every call has ended for its caller by the end of the simulation. */
export function checkCallersSettled(history: RunHistory): Violation[] {
  return history.calls
    .filter((call) => call.endedAtMs === undefined)
    .map(({ key }) => ({ check: "callers_settled", detail: `${key} is open` }));
}

function getExpectedText(call: Call): string {
  return call.kind === "model"
    ? buildCompletionText(call.messages, call.maxTokens).text
    : buildOperationText(call.operation, call.body);
}

/** Formats an outcome so that equal outcomes have equal text. */
export function formatOutcome(outcome: CallOutcome): string {
  const entries = Object.entries(outcome)
    .sort(([left], [right]) => left < right ? -1 : 1);
  return JSON.stringify(entries);
}
