/**
 * Builds the request that a target receives from the caller's.
 */
import type { PeerRequest, UsedConnections } from "@camphorlock/http/exchange";
import type { RequestCodec } from "../ports.ts";
import type { AcceptedRequest } from "./request_end.ts";

/** Attempts have a total time limit, so no silence timeout is needed. */
const NO_SILENCE_TIMEOUT_MS = 600_000;

/** What an attempt adds to the caller's request. */
export interface TargetRequestOptions {
  readonly codec: Pick<RequestCodec, "encodeTargetHeaders">;
  readonly targetId: string;
  readonly leftMs: number;
  /** Id of the last event that the caller received; 0 for none. */
  readonly resumeAfter: number;
  /** Replaces the caller's body where the system keeps the conversation. */
  readonly body: Buffer | undefined;
  readonly usedConnections: UsedConnections;
}

/** Builds the request for one target. */
export function buildTargetRequest(
  { caller, fields, body: callerBody, tenant, admission }: AcceptedRequest,
  { codec, targetId, leftMs, resumeAfter, body, usedConnections }:
    TargetRequestOptions,
): PeerRequest {
  const { method = "GET", url = "/", rawHeaders } = caller.request;
  const sentBody = body ?? callerBody;
  return {
    method,
    path: url,
    headers: codec.encodeTargetHeaders(rawHeaders, {
      targetId,
      leftMs: fields.deadlineMs === undefined ? undefined : leftMs,
      resumeAfter,
      credentials: admission.hasTenants
        ? { tenantName: tenant?.name }
        : undefined,
    }),
    ...(sentBody.length > 0 || method === "POST" ? { body: sentBody } : {}),
    silenceTimeoutMs: NO_SILENCE_TIMEOUT_MS,
    freshConnection: false,
    usedConnections,
  };
}
