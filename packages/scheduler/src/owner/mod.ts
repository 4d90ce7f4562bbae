/**
 * The owner role: single writer of a shard's programs.
 */
export * from "./ports.ts";
export * from "./shard_owner.ts";
export { computeDigest } from "./digest.ts";
