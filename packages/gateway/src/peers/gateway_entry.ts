/**
 * A gateway's entry: it goes with each message, and stands in the store, where
 * gateways that start find the others.
 */
import { EVENTS } from "@camphorlock/codes/events";
import type { PeerInfo } from "../decisions/peer_directory.ts";
import type { GatewayLog } from "../log.ts";
import type { GatewaySettings, ObjectStore, StoredObject } from "../ports.ts";
import { isPeerInfo } from "./peer_messages.ts";
import { PROTOCOL_VERSION } from "./protocol_version.ts";

/** Builds the entry of a process. */
export function buildEntry(
  { vmId, peers, region }: Pick<GatewaySettings, "vmId" | "peers" | "region">,
  process: Pick<PeerInfo, "bootId" | "isLeaving">,
): PeerInfo {
  return { vmId, ...peers, region, ...process, protocol: PROTOCOL_VERSION };
}

/** Writes an entry to the store; false if that failed. */
export async function writeEntry(
  store: ObjectStore,
  entry: PeerInfo,
): Promise<boolean> {
  const write = { name: entry.vmId, value: entry };
  const created = await store.create("gateways", write);
  if (created.isOk()) return true;
  if (created.error.kind !== "conflict") return false;
  return (await store.update("gateways", write)).isOk();
}

/** Decodes the store's entries; logs the unreadable ones. */
export function decodeEntries(
  objects: readonly StoredObject[],
  log: GatewayLog,
): PeerInfo[] {
  return objects.flatMap(({ name, value }) => {
    if (isPeerInfo(value)) return [value];
    const detail = `the entry ${name} is no gateway's`;
    log.write(EVENTS.ObjectUnreadable, { detail });
    return [];
  });
}
