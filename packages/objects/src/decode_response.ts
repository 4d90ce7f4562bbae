/**
 * Decodes responses of the object API.
 *
 * An unreadable response counts as `lost`: a write may have taken effect.
 */
import {
  checkNever,
  type PlatformRequest,
  type PlatformResponse,
} from "@camphorlock/types";
import { z } from "zod";
import { parseJson } from "@camphorlock/http";
import { type BufferedResponse, getHeader } from "@camphorlock/http";

const KEYS = z.array(
  z.object({ key: z.string(), version: z.int().nonnegative() }),
);
const LISTED = z.object({ keys: KEYS });
const CHANGED = z.object({ keys: KEYS, position: z.int().nonnegative() });
const LOST: PlatformResponse = { kind: "failed", reason: "lost" };
const REFUSED: PlatformResponse = { kind: "failed", reason: "refused" };
const RATE_LIMITED: PlatformResponse = {
  kind: "failed",
  reason: "rate_limited",
};

type ReceivedResponse = Extract<BufferedResponse, { kind: "answered" }>;

/** Decodes the response to a request. */
export function decodeResponse(
  request: PlatformRequest,
  response: BufferedResponse,
): PlatformResponse {
  switch (response.kind) {
    case "not_sent":
      return REFUSED;
    case "broken":
      return LOST;
    case "answered":
      return decodeStatus(request, response);
    default:
      return checkNever(response);
  }
}

function decodeStatus(
  request: PlatformRequest,
  response: ReceivedResponse,
): PlatformResponse {
  switch (response.status) {
    case 200:
    case 201:
    case 204:
      return decodeSuccess(request, response);
    case 404:
      return "key" in request ? { kind: "absent", key: request.key } : REFUSED;
    case 412:
      return "key" in request
        ? {
          kind: "conflict",
          key: request.key,
          version: parseVersion(response) ?? 0,
        }
        : REFUSED;
    case 429:
      return RATE_LIMITED;
    case 400:
    case 413:
    case 503:
      return REFUSED;
    default:
      return LOST;
  }
}

function decodeSuccess(
  request: PlatformRequest,
  response: ReceivedResponse,
): PlatformResponse {
  switch (request.kind) {
    case "get":
      return decodeObject(request.key, response);
    case "put": {
      const version = parseVersion(response);
      if (version === undefined) return LOST;
      return { kind: "stored", key: request.key, version };
    }
    case "delete":
      return { kind: "deleted", key: request.key };
    case "list": {
      const listed = LISTED.safeParse(parseJson(response.body));
      return listed.success ? { kind: "listed", keys: listed.data.keys } : LOST;
    }
    case "watch": {
      const changed = CHANGED.safeParse(parseJson(response.body));
      return changed.success ? { kind: "changed", ...changed.data } : LOST;
    }
    default:
      return checkNever(request);
  }
}

function decodeObject(
  key: string,
  response: ReceivedResponse,
): PlatformResponse {
  const version = parseVersion(response);
  if (version === undefined) return LOST;
  return { kind: "found", object: { key, value: response.body, version } };
}

function parseVersion(response: ReceivedResponse): number | undefined {
  const match = /^"(\d+)"$/.exec(getHeader(response.headers, "etag") ?? "");
  return match === null ? undefined : Number(match[1]);
}
