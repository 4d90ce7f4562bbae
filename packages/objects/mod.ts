/**
 * Clients of the object API, the VM list and the weight store that the
 * development platform serves.
 */
export * from "./src/platform_client.ts";
export * from "./src/token_bucket.ts";
export * from "./src/vm_list_client.ts";
export * from "./src/weight_store_client.ts";
