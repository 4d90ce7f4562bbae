/**
 * Entry point for exchanges alone, which loads fewer modules at process start.
 */
export * from "./src/peer_connection.ts";
export * from "./src/buffered_response.ts";
export * from "./src/growing_buffer.ts";
export { isDelimited } from "./src/response_framing.ts";
export * from "./src/used_connections.ts";
export * from "./src/open_socket.ts";
