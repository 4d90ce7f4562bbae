/**
 * Decodes responses of the object API.
 *
 * An unreadable response counts as `lost`: a write may have taken effect.
 */
import {
  checkNever,
  type PlatformAnswer,
  type PlatformRequest,
} from "@camphorlock/types";
import { z } from "zod";
import { parseJson } from "@camphorlock/http";
import { getHeader, type WholeAnswer } from "@camphorlock/http";

const KEYS = z.array(
  z.object({ key: z.string(), version: z.int().nonnegative() }),
);
const LISTED = z.object({ keys: KEYS });
const CHANGED = z.object({ keys: KEYS, position: z.int().nonnegative() });
const LOST: PlatformAnswer = { kind: "failed", reason: "lost" };
const REFUSED: PlatformAnswer = { kind: "failed", reason: "refused" };
const RATE_LIMITED: PlatformAnswer = { kind: "failed", reason: "rate_limited" };

type ReceivedResponse = Extract<WholeAnswer, { kind: "answered" }>;

/** Decodes the response to a request. */
export function decodeResponse(
  request: PlatformRequest,
  response: WholeAnswer,
): PlatformAnswer {
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
): PlatformAnswer {
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
): PlatformAnswer {
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

function decodeObject(key: string, response: ReceivedResponse): PlatformAnswer {
  const version = parseVersion(response);
  if (version === undefined) return LOST;
  return { kind: "found", object: { key, value: response.body, version } };
}

function parseVersion(response: ReceivedResponse): number | undefined {
  const match = /^"(\d+)"$/.exec(getHeader(response.headers, "etag") ?? "");
  return match === null ? undefined : Number(match[1]);
}
