/**
 * The kinds of messages between gateways, and the protocol version that brought
 * each of them. Builds of different versions run side by side while VMs are
 * replaced one after the other, and during a rollback.
 *
 * A gateway states its version in its entry. A build of version 1 closes the
 * connection on a kind that it doesn't know, which ends every call in flight
 * there, so a kind is sent only to gateways whose version includes it.
 */
import type { PeerInfo } from "../decisions/peer_directory.ts";
import type { PathMessage } from "../paths/path_messages.ts";
import type { PeerMessage } from "./peer_messages.ts";

/** The version of this build. */
export const PROTOCOL_VERSION = 3;
/** The version of builds whose entries state none. */
const FIRST_VERSION = 1;

/** The version that brought each kind; at most `PROTOCOL_VERSION`. */
const KIND_VERSIONS = [
  ["hello", 1],
  ["open_turn", 1],
  ["close_turn", 1],
  ["move_accounts", 1],
  ["grant_first", 1],
  ["take_shards", 1],
  ["share_shards", 1],
  ["list_objects", 1],
  ["watch_objects", 1],
  ["take_permit", 1],
  ["report_crash", 1],
  ["share_blocked", 1],
  ["share_end", 1],
  ["share_leaving", 1],
  ["open_path", 1],
  ["take_credits", 2],
  ["report_load", 2],
  ["grant_parts", 3],
] as const satisfies readonly (readonly [SentKind, number])[];

type SentKind = (PeerMessage | PathMessage)["kind"];

/** A listed kind; a message of another one fails to compile where it's sent. */
export type MessageKind = typeof KIND_VERSIONS[number][0];

const VERSION_BY_KIND = new Map<string, number>(KIND_VERSIONS);

/** Whether this build knows a kind. */
export function isKnownKind(kind: unknown): kind is MessageKind {
  return typeof kind === "string" && VERSION_BY_KIND.has(kind);
}

/** Whether a gateway's build knows a kind. */
export function canReceive(
  { protocol = FIRST_VERSION }: Pick<PeerInfo, "protocol">,
  kind: MessageKind,
): boolean {
  return protocol >= (VERSION_BY_KIND.get(kind) ?? Number.POSITIVE_INFINITY);
}

/** Whether every build knows a kind. */
export function isKindOfFirstVersion(kind: MessageKind): boolean {
  return VERSION_BY_KIND.get(kind) === FIRST_VERSION;
}

/** Filters the gateways whose builds know a kind; all if none is named. */
export function filterReceivers(
  peers: readonly PeerInfo[],
  kind: MessageKind | undefined,
): PeerInfo[] {
  return peers.filter((peer) => kind === undefined || canReceive(peer, kind));
}
