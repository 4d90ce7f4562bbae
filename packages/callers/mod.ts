/**
 * The HTTP API for callers: programs, calls, streams and histories, and the
 * chat-completions form for stock clients.
 */
export * from "./src/app.ts";
export * from "./src/port.ts";
export * from "./src/server.ts";
