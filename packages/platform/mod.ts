/**
 * Clients of what the platform gives: the object API, the VM list and the
 * weight store, and the HTTP exchange that the clients of all peers share.
 */
export * from "./src/http/headers.ts";
export * from "./src/http/peer_connection.ts";
export * from "./src/http/read_json.ts";
export * from "./src/http/target_clients.ts";
export * from "./src/http/whole_answer.ts";
export * from "./src/platform_client.ts";
export * from "./src/token_bucket.ts";
export * from "./src/vm_list_client.ts";
export * from "./src/weight_store_client.ts";
