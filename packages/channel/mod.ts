/**
 * Connections between the system's own processes: lines of JSON over TCP.
 */
export * from "./src/serve_at.ts";
export * from "./src/closure_reports.ts";
export * from "./src/frame_server.ts";
export * from "./src/peer_channel.ts";
export * from "./src/serve_when_free.ts";
