/**
 * The protocol between nodes.
 */
export * from "./src/bench.ts";
export * from "./src/peer_network.ts";
export type { PeerIdentity, StreamEnd } from "./src/peer_stream.ts";
export type { SendOutcome } from "./src/send_queue.ts";
export * from "./src/settings.ts";
export * from "./src/timers.ts";
export type { PeerSecurity, PemSource } from "./src/tls.ts";
export { runNodesBench } from "./src/bench.ts";
