/**
 * Kept turns: the store that keeps a program's conversation on several disks,
 * its client in the gateways, and the process on each VM with a disk.
 */
export * from "./src/client/disk_links.ts";
export * from "./src/client/turn_client.ts";
export * from "./src/decisions/disk_choice.ts";
export * from "./src/decisions/restore_table.ts";
export * from "./src/decisions/turn_table.ts";
export * from "./src/disk/disk_member.ts";
export * from "./src/disk/disk_server.ts";
export * from "./src/disk/disk_service.ts";
export * from "./src/disk/turn_disk_process.ts";
export * from "./src/files/check_folder.ts";
export * from "./src/files/disk_identity.ts";
export * from "./src/files/restore_segments.ts";
export { createSegment } from "./src/files/segment_files.ts";
export { type AppendResult, TurnLog } from "./src/files/turn_log.ts";
export { readClock } from "./src/files/turn_records.ts";
export * from "./src/messages.ts";
export * from "./src/model/kept_turn.ts";
export * from "./src/model/turn_disk.ts";
export { canContinueChain } from "./src/model/turn_owner.ts";
