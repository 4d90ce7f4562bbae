/**
 * Short-lived facts that gateways share through the processes on the VMs with
 * disks, which don't end together with the gateways.
 */
export * from "./src/fact_client.ts";
export * from "./src/fact_copier.ts";
export * from "./src/fact_messages.ts";
export * from "./src/fact_pages.ts";
export * from "./src/fact_table.ts";
export * from "./src/keeper_ranking.ts";
