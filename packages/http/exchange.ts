/**
 * The exchanges alone, for processes that load little at their start.
 */
export * from "./src/peer_connection.ts";
export * from "./src/whole_answer.ts";
