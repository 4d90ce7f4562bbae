/**
 * The HTTP API for callers: programs, calls, streams and histories, and the
 * chat-completions format for unmodified clients of that API.
 */
export * from "./src/app.ts";
export * from "./src/port.ts";
export * from "./src/server.ts";
