/**
 * The end of a request: its final answer to the caller, its log line and its
 * counters.
 */
import { type EventData, EVENTS } from "@camphorlock/codes/events";
import type { ResultCodeData } from "@camphorlock/codes/result_codes";
import type { LogFields } from "@camphorlock/types";
import type { RequestFields } from "../model/request_fields.ts";
import type { Route } from "../model/routing.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import type { ExchangeParts } from "./exchange_parts.ts";
import type { SendRecord } from "./send_record.ts";

/** How a request ended. */
export type RequestEnd =
  /** A target's whole answer was passed on. */
  | { readonly kind: "completed"; readonly status: number }
  /** No target ran the request or will run it. */
  | {
    readonly kind: "refused";
    readonly code: ResultCodeData;
    readonly detail: string;
    readonly retryAfterMs: number;
  }
  /** A target may have run the request. */
  | {
    readonly kind: "failed";
    readonly code: ResultCodeData;
    readonly detail: string;
  }
  /** The caller left. */
  | { readonly kind: "left" };

/** The request, once its route is known. */
export interface AcceptedRequest {
  readonly caller: CallerExchange;
  readonly fields: RequestFields;
  readonly route: Route;
  readonly body: Buffer;
  readonly receivedAtMs: number;
  readonly configurationVersion: number;
}

/** What is reported of one request. */
export interface RequestReport {
  readonly accepted: AcceptedRequest;
  readonly sends: SendRecord;
  readonly service: string;
}

/** Sends the final answer and reports the end. */
export function endRequest(
  parts: ExchangeParts,
  report: RequestReport,
  end: RequestEnd,
): void {
  const { caller, route, receivedAtMs } = report.accepted;
  const { metrics } = parts;
  metrics.record("request", performance.now() - receivedAtMs);
  switch (end.kind) {
    case "completed":
      if (caller.isAnswering && route.kind === "streaming") caller.endStream();
      metrics.add("requests_answered");
      return logRequest(parts, report, {
        event: EVENTS.RequestAnswered,
        status: end.status,
      });
    case "refused":
      caller.sendOwn(end);
      metrics.add("requests_refused");
      return logRequest(parts, report, {
        event: EVENTS.RequestRefused,
        code: end.code.code,
        detail: end.detail,
        retry_after_ms: end.retryAfterMs,
      });
    case "failed":
      if (caller.isAnswering) caller.close();
      else caller.sendOwn(end);
      metrics.add("requests_failed");
      return logRequest(parts, report, {
        event: EVENTS.RequestFailed,
        code: end.code.code,
        detail: end.detail,
      });
    case "left":
      metrics.add("requests_abandoned");
      return logRequest(parts, report, { event: EVENTS.RequestAbandoned });
  }
}

/** Writes a log line about a request with what decided it. */
export function logRequest(
  parts: ExchangeParts,
  { accepted, sends, service }: RequestReport,
  { event, ...fields }: { event: EventData } & Record<string, unknown>,
): void {
  const { fields: request, route, configurationVersion } = accepted;
  parts.log.write(event, {
    request: request.requestId,
    program: request.programId,
    route: route.name,
    configuration: configurationVersion,
    service,
    targets: sends.sentTo,
    view_age_ms: Math.round(parts.getViewAgeMs()),
    elapsed_ms: Math.round(performance.now() - accepted.receivedAtMs),
    first_ms: sends.progress.firstEventMs,
    events: sends.progress.events,
    ...fields,
  } as LogFields);
}
