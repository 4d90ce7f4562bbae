/**
 * Checks of what callers were told against what targets ran.
 */
import type {
  Call,
  CallerAnswer,
  CallOutcome,
  HistoryItem,
} from "@camphorlock/types";
import { buildAnswerText } from "../engine_server/answer_text.ts";
import type { VirtualRequest } from "../fleet/virtual_fleet.ts";
import type { TargetRun } from "../fleet/virtual_targets.ts";
import { buildOperationText } from "../service/serve_service.ts";
import type { RunHistory, Violation } from "./run_history.ts";

/** Whether two calls have the same content; each call's content is its own. */
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
 * Whether a run is due to a repeat that the caller sent after a request, while
 * the refusal of that request was still on its way.
 */
function isOfLaterRequest(
  run: TargetRun,
  refusal: {
    readonly answer: Extract<CallerAnswer, { kind: "outcome" }>;
    readonly request: VirtualRequest;
    readonly requests: readonly VirtualRequest[];
  },
): boolean {
  const { answer, request, requests } = refusal;
  if (run.attemptId.startsWith(`${answer.callId}.`)) return false;
  return requests.some(({ sentAtMs }) =>
    sentAtMs > request.sentAtMs && sentAtMs <= run.atMs
  );
}

/** What was refused as not run has no run; what ended has no other end. */
export function checkNotRunHonest(history: RunHistory): Violation[] {
  const violations: Violation[] = [];
  for (const { call, key, requests } of history.calls) {
    for (const request of requests) {
      const answer = request.answers.at(-1);
      if (answer?.kind !== "outcome") continue;
      if (answer.outcome.status !== "not_run") continue;
      const endedAtMs = request.endedAtMs ?? 0;
      const runs = listRunsOf(history, call)
        .filter((run) => run.atMs <= endedAtMs)
        .filter((run) => !isOfLaterRequest(run, { answer, request, requests }));
      if (runs.length === 0) continue;
      const detail = `${key} was refused as not run and ran before`;
      violations.push({ check: "not_run_honest", detail });
    }
  }
  return violations;
}

/** Every completed answer is whole and the one that the call has. */
export function checkAnswersWhole(history: RunHistory): Violation[] {
  const violations: Violation[] = [];
  const add = (detail: string): void => {
    violations.push({ check: "answers_whole", detail });
  };
  for (const { call, key, requests } of history.calls) {
    for (const { answers } of requests) {
      const last = answers.at(-1);
      if (last?.kind !== "outcome") continue;
      if (last.outcome.status !== "completed") continue;
      const expected = getExpectedText(call);
      if (last.outcome.text !== expected) add(`${key}: another text`);
      const streamed = answers
        .map((answer) => answer.kind === "text" ? answer.text : "")
        .join("");
      if (streamed !== expected) add(`${key}: the stream isn't whole`);
    }
  }
  return violations;
}

/** One call under one key has one outcome, at every entry. */
export function checkOneOutcome(history: RunHistory): Violation[] {
  const violations: Violation[] = [];
  for (const { key, requests } of history.calls) {
    const outcomes = requests
      .flatMap(({ answers }) => answers)
      .flatMap((answer) => answer.kind === "outcome" ? [answer.outcome] : [])
      .filter((outcome) => outcome.status !== "not_run");
    const distinct = new Set(outcomes.map(formatOutcome));
    if (distinct.size <= 1) continue;
    const detail = `${key} has ${distinct.size} outcomes`;
    violations.push({ check: "history_kept", detail });
  }
  return violations;
}

/**
 * The calls of one program run one after the other, in the order of its
 * history.
 */
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
      const detail = `${key} completed without a run`;
      violations.push({ check: "answers_whole", detail });
      continue;
    }
    if (run.atMs < lastEndMs) {
      const detail = `${key} ran before the call ahead of it ended`;
      violations.push({ check: "calls_in_order", detail });
    }
    lastEndMs = run.endedAtMs ?? run.atMs;
  }
  return violations;
}

/** Every caller's call ended within the run. */
export function checkCallersSettled(history: RunHistory): Violation[] {
  return history.calls
    .filter((call) => call.endedAtMs === undefined)
    .map(({ key }) => ({ check: "callers_settled", detail: `${key} is open` }));
}

function getExpectedText(call: Call): string {
  return call.kind === "model"
    ? buildAnswerText(call.messages, call.maxTokens).text
    : buildOperationText(call.operation, call.body);
}

/** Formats an outcome so that equal ones have equal texts. */
export function formatOutcome(outcome: CallOutcome): string {
  const entries = Object.entries(outcome)
    .sort(([left], [right]) => left < right ? -1 : 1);
  return JSON.stringify(entries);
}
