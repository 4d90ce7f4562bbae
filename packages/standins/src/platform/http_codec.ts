/**
 * The server side of the object API's HTTP encoding.
 */
import {
  checkNever,
  type PlatformRequest,
  type PlatformResponse,
  type WriteCondition,
} from "@camphorlock/types";
import type { Context } from "hono";
import type { StandinEnv } from "../http_server.ts";

const OBJECTS_PATH = "/v1/objects/";
const DEFAULT_LIMIT = 1_000;

/** Parses a request for one object. Returns `undefined` if it's malformed. */
export async function parseObjectRequest(
  context: Context<StandinEnv>,
): Promise<PlatformRequest | undefined> {
  const path = new URL(context.req.url).pathname.slice(OBJECTS_PATH.length);
  const key = path.split("/").map(decodeURIComponent).join("/");
  const condition = parseCondition(context);
  if (condition === undefined || key === "") return undefined;
  switch (context.req.method) {
    case "GET":
      return { kind: "get", key };
    case "PUT": {
      const value = new Uint8Array(await context.req.arrayBuffer());
      return { kind: "put", key, value, condition };
    }
    case "DELETE":
      return { kind: "delete", key, condition };
    default:
      return undefined;
  }
}

/** Parses a list or watch request. */
export function parseQueryRequest(
  context: Context<StandinEnv>,
  kind: "list" | "watch",
): PlatformRequest {
  const prefix = context.req.query("prefix") ?? "";
  const after = context.req.query("after");
  if (kind === "watch") {
    return { kind, prefix, afterPosition: Number(after ?? 0) };
  }
  const limit = Number(context.req.query("limit") ?? DEFAULT_LIMIT);
  return after === undefined
    ? { kind, prefix, limit }
    : { kind, prefix, after, limit };
}

/** Encodes a response of the object API as an HTTP response. */
export function encodeResponse(response: PlatformResponse): Response {
  switch (response.kind) {
    case "found":
      return new Response(Buffer.from(response.object.value), {
        headers: { etag: `"${response.object.version}"` },
      });
    case "absent":
      return new Response(null, { status: 404 });
    case "stored":
      return new Response(null, {
        status: 200,
        headers: { etag: `"${response.version}"` },
      });
    case "deleted":
      return new Response(null, { status: 204 });
    case "conflict":
      return new Response(null, {
        status: 412,
        headers: { etag: `"${response.version}"` },
      });
    case "listed":
      return Response.json({ keys: response.keys });
    case "changed":
      return Response.json({
        keys: response.keys,
        position: response.position,
      });
    case "failed":
      return new Response(null, { status: getFailureStatus(response.reason) });
    default:
      return checkNever(response);
  }
}

function getFailureStatus(
  reason: "refused" | "rate_limited" | "lost",
): number {
  switch (reason) {
    case "refused":
      return 503;
    case "rate_limited":
      return 429;
    case "lost":
      return 500;
    default:
      return checkNever(reason);
  }
}

function parseCondition(
  context: Context<StandinEnv>,
): WriteCondition | undefined {
  if (context.req.header("if-none-match") === "*") return { kind: "absent" };
  const match = context.req.header("if-match");
  if (match === undefined) return { kind: "any" };
  const version = /^"(\d+)"$/.exec(match)?.[1];
  if (version === undefined) return undefined;
  return { kind: "version", version: Number(version) };
}
