/**
 * Types that the packages share: identifiers, programs, ledger entries,
 * messages between nodes and the effects that decisions return.
 */
export * from "./src/caller.ts";
export * from "./src/charge.ts";
export * from "./src/configuration.ts";
export * from "./src/effect.ts";
export * from "./src/ids.ts";
export * from "./src/ledger_entry.ts";
export * from "./src/membership.ts";
export * from "./src/never.ts";
export * from "./src/operator_command.ts";
export * from "./src/peer_message.ts";
export * from "./src/platform.ts";
export * from "./src/program.ts";
export * from "./src/query.ts";
export * from "./src/shard.ts";
export * from "./src/target.ts";
