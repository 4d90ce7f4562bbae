/**
 * Decides which gateways are handed an account after the view of the group has
 * changed.
 *
 * The load that this answers: gateways that stop and start one after another
 * beside thousands of accounts. Only accounts whose homes changed are handed
 * over, by a gateway that was their home before, to those that weren't.
 */
import type { PeerDirectory, PeerInfo } from "./peer_directory.ts";

/** A gateway that came or went. */
export interface GroupChange {
  readonly peer: PeerInfo;
  readonly isHere: boolean;
}

/** Lists the gateways that this one hands a program's account to. */
export function listReceivers(
  directory: PeerDirectory,
  programId: string,
  { selfId, change }: { selfId: string; change: GroupChange },
): PeerInfo[] {
  const { peer, isHere } = change;
  const now = directory.chooseHomes(programId);
  const before = isHere
    ? directory.chooseHomesWithout(programId, peer.vmId)
    : directory.chooseHomesWith(programId, peer);
  if (!before.some(({ vmId }) => vmId === selfId)) return [];
  // A gateway that restarted remembers nothing, whether it was a home or not.
  return now.filter(({ vmId }) =>
    vmId !== selfId && !before.some((each) => each.vmId === vmId)
  );
}
