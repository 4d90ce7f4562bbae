/**
 * Encodes requests to the object API as HTTP.
 */
import {
  checkNever,
  type PlatformRequest,
  type WriteCondition,
} from "@camphorlock/types";
import type { PeerRequest } from "@camphorlock/http";

/** The fields of an HTTP request that the object API defines. */
export type EncodedRequest = Pick<
  PeerRequest,
  "method" | "path" | "headers" | "body"
>;

/** Encodes a request. `watchWaitMs` is the longest time a watch waits. */
export function encodeRequest(
  request: PlatformRequest,
  watchWaitMs: number,
): EncodedRequest {
  switch (request.kind) {
    case "get":
      return {
        method: "GET",
        path: formatObjectPath(request.key),
        headers: {},
      };
    case "put":
      return {
        method: "PUT",
        path: formatObjectPath(request.key),
        headers: {
          "content-type": "application/octet-stream",
          ...encodeCondition(request.condition),
        },
        body: request.value,
      };
    case "delete":
      return {
        method: "DELETE",
        path: formatObjectPath(request.key),
        headers: encodeCondition(request.condition),
      };
    case "list":
      return { method: "GET", path: formatListPath(request), headers: {} };
    case "watch": {
      const query = new URLSearchParams({
        prefix: request.prefix,
        after: String(request.afterPosition),
        wait_ms: String(watchWaitMs),
      });
      return { method: "GET", path: `/v1/watch?${query}`, headers: {} };
    }
    default:
      return checkNever(request);
  }
}

function formatObjectPath(key: string): string {
  return `/v1/objects/${key.split("/").map(encodeURIComponent).join("/")}`;
}

function formatListPath(
  request: Extract<PlatformRequest, { kind: "list" }>,
): string {
  const query = new URLSearchParams({
    prefix: request.prefix,
    limit: String(request.limit),
  });
  if (request.after !== undefined) query.set("after", request.after);
  return `/v1/objects?${query}`;
}

function encodeCondition(condition: WriteCondition): Record<string, string> {
  switch (condition.kind) {
    case "absent":
      return { "if-none-match": "*" };
    case "version":
      return { "if-match": `"${condition.version}"` };
    case "any":
      return {};
    default:
      return checkNever(condition);
  }
}
