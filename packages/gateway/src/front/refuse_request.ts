/**
 * Refuses a caller's request with a response of the gateway itself.
 */
import { EVENTS } from "@camphorlock/codes/events";
import {
  RESULT_CODES,
  type ResultCodeName,
} from "@camphorlock/codes/result_codes";
import type { CallerExchange } from "../exchange/caller_exchange.ts";
import type { ExchangeDependencies } from "../exchange/exchange_dependencies.ts";
import type { RequestFields } from "../model/request_fields.ts";

/** Retry-After for callers while the gateway can't serve requests. */
const RETRY_AFTER_MS = 300;

/** Why a request is refused. */
export interface Refusal {
  readonly code: ResultCodeName;
  readonly detail: string;
  readonly fields?: RequestFields | undefined;
  /** When the caller may return, if the refusal is temporary. */
  readonly retryAfterMs?: number | undefined;
  /** Whether the rest of the request isn't awaited, since it holds too much. */
  readonly isImmediate?: boolean;
  /** Time since the configuration that refuses was last confirmed. */
  readonly configurationAgeMs?: number;
  /** Version of that configuration. */
  readonly configurationVersion?: number;
}

/** Refuses a request, and logs it. */
export function refuseRequest(
  { metrics, log }: Pick<ExchangeDependencies, "metrics" | "log">,
  caller: CallerExchange,
  reason: Refusal,
): void {
  const code = RESULT_CODES[reason.code];
  const { detail, fields } = reason;
  metrics.add("requests_refused");
  const isTemporary = code.httpStatus === 503 ||
    reason.retryAfterMs !== undefined;
  caller.sendErrorResponse({
    code,
    detail,
    isImmediate: reason.isImmediate === true,
    ...(isTemporary
      ? { retryAfterMs: reason.retryAfterMs ?? RETRY_AFTER_MS }
      : {}),
  });
  log.write(EVENTS.RequestRefused, {
    request: fields?.requestId,
    program: fields?.programId,
    code: code.code,
    detail,
    configuration: reason.configurationVersion,
    retry_after_ms: reason.retryAfterMs,
    ...(reason.configurationAgeMs === undefined
      ? {}
      : { configuration_age_ms: Math.round(reason.configurationAgeMs) }),
  } as never);
}
