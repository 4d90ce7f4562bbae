/**
 * Ends a request: sends the final response to the caller, writes the log line
 * and updates the counters.
 */
import { type EventDefinition, EVENTS } from "@camphorlock/codes/events";
import {
  RESULT_CODES,
  type ResultCodeDefinition,
} from "@camphorlock/codes/result_codes";
import { isDelimited } from "@camphorlock/http/exchange";
import type { LogFields } from "@camphorlock/types";
import type { Fingerprint } from "../model/request_fingerprint.ts";
import type { RequestFields } from "../model/request_fields.ts";
import type { Route } from "../model/routing.ts";
import type { Tenant } from "../model/tenant.ts";
import type { KeyAdmission } from "../tenants/tenant_keys.ts";
import type { TargetResponse } from "./buffered_attempt.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import { formatChoice } from "../placement/format_choice.ts";
import type { ExchangeDependencies } from "./exchange_dependencies.ts";
import type { RequestCredit } from "./request_credit.ts";
import type { RequestAttempts } from "./request_attempts.ts";

/** How a request ended. */
export type RequestOutcome =
  /** A target's complete response was forwarded. */
  | { readonly kind: "completed"; readonly status: number }
  /** No target has run the request, and none will. */
  | {
    readonly kind: "refused";
    readonly code: ResultCodeDefinition;
    readonly detail: string;
    /** Undefined where a retry gives the same answer. */
    readonly retryAfterMs: number | undefined;
    /** What the decision was made by, for the log. */
    readonly inputs?: LogFields;
  }
  /** A target may have run the request. */
  | {
    readonly kind: "failed";
    readonly code: ResultCodeDefinition;
    readonly detail: string;
  }
  /** The caller disconnected. */
  | { readonly kind: "disconnected" };

/** A request whose route was found. */
export interface AcceptedRequest {
  readonly caller: CallerExchange;
  readonly fields: RequestFields;
  readonly route: Route;
  /** Undefined where callers need no key. */
  readonly tenant: Tenant | undefined;
  /** The decision on the request's key. */
  readonly admission: KeyAdmission;
  /** Absent where the tenant has no quota, and before it was taken. */
  readonly credit?: RequestCredit;
  readonly body: Buffer;
  /** Identifies what the request asks for, over all attempts at it. */
  readonly fingerprint: Fingerprint;
  readonly receivedAtMs: number;
  /** Longest time from the arrival until the final response. */
  readonly limitMs: number;
  readonly maxBodyBytes: number;
  readonly configurationVersion: number;
}

/** The data behind the log lines of one request. */
export interface RequestReport {
  readonly accepted: AcceptedRequest;
  readonly sends: RequestAttempts;
  readonly service: string;
}

/** Sends a target's complete response. */
export function sendResponse(
  { codec }: Pick<ExchangeDependencies, "codec">,
  { caller }: Pick<AcceptedRequest, "caller">,
  { status, headers, pieces }: TargetResponse,
): RequestOutcome {
  if (caller.hasSentHead) {
    return {
      kind: "failed",
      code: RESULT_CODES.TargetBroken,
      detail: `status ${status} within a stream`,
    };
  }
  const head = { status, headers: codec.encodeResponseHeaders(headers) };
  caller.sendResponse(head, pieces, isDelimited(status, headers));
  return { kind: "completed", status };
}

/** Sends the final response, then logs and counts the outcome. */
export function endRequest(
  dependencies: ExchangeDependencies,
  report: RequestReport,
  outcome: RequestOutcome,
): void {
  const { caller, route, receivedAtMs } = report.accepted;
  const { metrics } = dependencies;
  metrics.record("request", performance.now() - receivedAtMs);
  switch (outcome.kind) {
    case "completed":
      if (caller.hasSentHead && route.kind === "streaming") caller.endStream();
      metrics.add("requests_answered");
      return logRequest(dependencies, report, {
        event: EVENTS.RequestAnswered,
        status: outcome.status,
      });
    case "refused":
      if (outcome.code === RESULT_CODES.RequestCrashesTargets) {
        metrics.add("requests_blocked");
      }
      caller.sendErrorResponse(outcome);
      metrics.add("requests_refused");
      return logRequest(dependencies, report, {
        event: EVENTS.RequestRefused,
        code: outcome.code.code,
        detail: outcome.detail,
        retry_after_ms: outcome.retryAfterMs,
        ...outcome.inputs,
      });
    case "failed":
      if (caller.hasSentHead) caller.close();
      else caller.sendErrorResponse(outcome);
      metrics.add("requests_failed");
      return logRequest(dependencies, report, {
        event: EVENTS.RequestFailed,
        code: outcome.code.code,
        detail: outcome.detail,
      });
    case "disconnected":
      metrics.add("requests_abandoned");
      return logRequest(dependencies, report, {
        event: EVENTS.RequestAbandoned,
      });
  }
}

/** Writes a log line with the inputs to the decisions on a request. */
export function logRequest(
  dependencies: ExchangeDependencies,
  { accepted, sends: attempts, service }: RequestReport,
  { event, ...fields }: { event: EventDefinition } & Record<string, unknown>,
): void {
  const { fields: request, route, configurationVersion } = accepted;
  dependencies.log.write(event, {
    request: request.requestId,
    program: request.programId,
    tenant: accepted.tenant?.name,
    fingerprint: accepted.fingerprint.request,
    route: route.name,
    configuration: configurationVersion,
    service,
    targets: attempts.targetIds,
    versions: attempts.versions,
    resumes: request.resumedRequestId,
    resume_after: request.resumeAfter === 0 ? undefined : request.resumeAfter,
    view_age_ms: Math.round(dependencies.getViewAgeMs()),
    elapsed_ms: Math.round(performance.now() - accepted.receivedAtMs),
    first_ms: attempts.progress.firstEventMs,
    events: attempts.progress.events,
    choice: attempts.choice && formatChoice(attempts.choice),
    ...fields,
  } as LogFields);
}
