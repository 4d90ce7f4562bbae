/**
 * Starts one attempt of a request at its target, as a stream or buffered.
 */
import { EVENTS } from "@camphorlock/codes/events";
import type { TurnGrant } from "../accounts/turn_accounts.ts";
import type { StreamEvent } from "../decisions/event_splitter.ts";
import type { TrackedTarget } from "../decisions/target_table.ts";
import {
  type AttemptOptions,
  type RunningAttempt,
  startBuffered,
} from "./buffered_attempt.ts";
import type { ExchangeDependencies } from "./exchange_dependencies.ts";
import { recordStatement } from "./record_statement.ts";
import type { RequestAttempts } from "./request_attempts.ts";
import type { AcceptedRequest } from "./request_end.ts";
import { startStreaming, type StreamAttemptResult } from "./stream_attempt.ts";
import { buildTargetRequest } from "./target_request.ts";

/** One attempt of a request. */
export interface AttemptStart {
  readonly accepted: AcceptedRequest;
  readonly attempts: RequestAttempts;
  readonly entry: TrackedTarget;
  readonly leftMs: number;
  /** Replaces the caller's body where the system keeps the conversation. */
  readonly body: Buffer | undefined;
  readonly grant: TurnGrant | undefined;
  /** Records an event before it's forwarded. */
  readonly recordEvent: (event: StreamEvent) => void;
}

/** Starts the attempt. */
export function startAttempt(
  dependencies: ExchangeDependencies,
  { accepted, attempts, entry, leftMs, body, grant, recordEvent }: AttemptStart,
): RunningAttempt<StreamAttemptResult> {
  const { connections, codec, metrics } = dependencies;
  const { fields, caller, route } = accepted;
  const connection = connections.get(entry.target);
  const request = buildTargetRequest(accepted, {
    codec,
    targetId: entry.target.id,
    leftMs,
    resumeAfter: attempts.progress.lastEventId,
    body,
    usedConnections: attempts.connections,
  });
  accepted.credit?.recordSent();
  attempts.recordStart(entry, accepted, metrics);
  const options: AttemptOptions = {
    codec,
    requestId: fields.requestId,
    timeoutMs: leftMs,
    share: caller.share,
    recordStatement: (response) =>
      recordStatement(dependencies, entry.target, response),
  };
  if (route.kind !== "streaming") {
    return startBuffered(connection, request, options);
  }
  return startStreaming(connection, request, {
    ...options,
    progress: attempts.progress,
    caller,
    grant,
    recordEvent,
    recordDropped: (bytes) => {
      metrics.add("stream_bytes_dropped", bytes);
      dependencies.log.write(EVENTS.StreamBytesDropped, {
        request: fields.requestId,
        target: entry.target.id,
        bytes,
        after_event: attempts.progress.lastEventId,
      });
    },
  });
}
