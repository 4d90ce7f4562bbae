/**
 * HTTP exchanges with peers, each sent at most once.
 */
export * from "./src/headers.ts";
export * from "./src/peer_connection.ts";
export * from "./src/read_json.ts";
export * from "./src/target_clients.ts";
export * from "./src/whole_answer.ts";
