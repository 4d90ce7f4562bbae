/**
 * Requests parts of first allowances from the holders of shards.
 */
import { computeFirstAllowance } from "../decisions/first_allowances.ts";
import type { PeerDirectory, PeerInfo } from "../decisions/peer_directory.ts";
import type { PeerLinks } from "../peers/peer_links.ts";
import { canReceive } from "../peers/protocol_version.ts";
import type {
  FirstGrant,
  FirstGrantRequest,
} from "./first_allowance_granter.ts";
import type { ShardTableManager } from "./shard_table_manager.ts";

/** Longest wait: for the way and for the disks. */
const TIMEOUT_MS = 300;

/** Dependencies of the client. */
export interface FirstAllowanceClientDependencies {
  readonly self: PeerInfo;
  readonly directory: PeerDirectory;
  readonly links: Pick<PeerLinks, "call">;
  readonly shards: Pick<ShardTableManager, "findHolder" | "granter">;
}

/** The requests of one gateway. */
export class FirstAllowanceClient {
  readonly #dependencies: FirstAllowanceClientDependencies;

  constructor(dependencies: FirstAllowanceClientDependencies) {
    this.#dependencies = dependencies;
  }

  /** Requests a part from the holder of the program's shard. Never rejects. */
  async acquire(request: FirstGrantRequest): Promise<FirstGrant> {
    const { programId, budgetTokens } = request;
    const { self, directory, links, shards } = this.#dependencies;
    const holder = shards.findHolder(programId);
    if (holder?.bootId === self.bootId) return shards.granter.grant(request);
    const peer = holder && directory.findLive(holder.vmId);
    // After a restart of its VM, nobody grants until the table is updated.
    if (peer === undefined || peer.bootId !== holder?.bootId) {
      return { kind: "refused", reason: "not_held" };
    }
    if (canReceive(peer, "grant_parts")) {
      const message = { kind: "grant_parts", request } as const;
      const response = await links.call(peer, message, TIMEOUT_MS);
      return response?.firstGrant ?? { kind: "refused", reason: "not_held" };
    }
    const message = { kind: "grant_first", programId } as const;
    const response = await links.call(peer, message, TIMEOUT_MS);
    if (response?.isGiven !== true) {
      return { kind: "refused", reason: "given_before" };
    }
    const tokens = computeFirstAllowance(budgetTokens);
    return { kind: "granted", tokens, isLast: true };
  }
}
