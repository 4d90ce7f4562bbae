/**
 * Reads answers of the object API.
 *
 * An answer that can't be read counts as lost: a write may have taken effect.
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

type Answered = Extract<WholeAnswer, { kind: "answered" }>;

/** Decodes the answer to a request. */
export function decodeAnswer(
  request: PlatformRequest,
  answer: WholeAnswer,
): PlatformAnswer {
  switch (answer.kind) {
    case "not_sent":
      return REFUSED;
    case "broken":
      return LOST;
    case "answered":
      return decodeStatus(request, answer);
    default:
      return checkNever(answer);
  }
}

function decodeStatus(
  request: PlatformRequest,
  answer: Answered,
): PlatformAnswer {
  switch (answer.status) {
    case 200:
    case 201:
    case 204:
      return decodeSuccess(request, answer);
    case 404:
      return "key" in request ? { kind: "absent", key: request.key } : REFUSED;
    case 412:
      return "key" in request
        ? {
          kind: "conflict",
          key: request.key,
          version: parseVersion(answer) ?? 0,
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
  answer: Answered,
): PlatformAnswer {
  switch (request.kind) {
    case "get":
      return decodeObject(request.key, answer);
    case "put": {
      const version = parseVersion(answer);
      if (version === undefined) return LOST;
      return { kind: "stored", key: request.key, version };
    }
    case "delete":
      return { kind: "deleted", key: request.key };
    case "list": {
      const listed = LISTED.safeParse(parseJson(answer.body));
      return listed.success ? { kind: "listed", keys: listed.data.keys } : LOST;
    }
    case "watch": {
      const changed = CHANGED.safeParse(parseJson(answer.body));
      return changed.success ? { kind: "changed", ...changed.data } : LOST;
    }
    default:
      return checkNever(request);
  }
}

function decodeObject(key: string, answer: Answered): PlatformAnswer {
  const version = parseVersion(answer);
  if (version === undefined) return LOST;
  return { kind: "found", object: { key, value: answer.body, version } };
}

function parseVersion(answer: Answered): number | undefined {
  const match = /^"(\d+)"$/.exec(getHeader(answer.headers, "etag") ?? "");
  return match === null ? undefined : Number(match[1]);
}
