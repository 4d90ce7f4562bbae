/**
 * Shard assignment: which process owns which shard under which epoch.
 */
export { REPLICA_COUNT } from "./choose_nodes.ts";
export { ASSIGNMENT_PREFIX, decodeGroup, encodeGroup } from "./group_codec.ts";
export * from "./messages.ts";
export * from "./settings.ts";
export * from "./shard_assigner.ts";
