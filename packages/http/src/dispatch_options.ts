/**
 * Translates a request for the HTTP library, which never repeats it.
 */
import type { Dispatcher } from "undici";
import type { PeerRequest } from "./peer_connection.ts";

/** Builds the library's options of a request. */
export function buildDispatchOptions(
  request: PeerRequest,
): Dispatcher.DispatchOptions {
  return {
    method: request.method as Dispatcher.HttpMethod,
    path: request.path,
    headers: Array.isArray(request.headers)
      ? [...request.headers]
      : { ...request.headers } as Record<string, string>,
    body: request.body ?? null,
    idempotent: false,
  };
}
