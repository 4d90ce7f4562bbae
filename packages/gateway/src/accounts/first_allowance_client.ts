/**
 * Requests parts of first allowances from the holders of shards.
 */
import { computeFirstAllowance } from "../decisions/first_allowances.ts";
import type { PeerDirectory, PeerInfo } from "../decisions/peer_directory.ts";
import { BoundedMap } from "../model/bounded_map.ts";
import type { PeerLinks } from "../peers/peer_links.ts";
import { canReceive } from "../peers/protocol_version.ts";
import type {
  FirstGrant,
  FirstGrantRequest,
} from "./first_allowance_granter.ts";
import type { ShardTableManager } from "./shard_table_manager.ts";

/** Longest wait: for the way and for the disks. */
const TIMEOUT_MS = 300;

/**
 * Pause after a process says that it isn't the holder. After a restart of its
 * VM nobody grants until the table names another one.
 */
const NOT_HELD_PAUSE_MS = 500;
const MAX_REFUSING_HOLDERS = 500;
const NOT_HELD: FirstGrant = { kind: "refused", reason: "not_held" };

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
  /** When a holder said that it isn't one, by the id of its process's start. */
  readonly #refusedAtMs = new BoundedMap<string, number>(MAX_REFUSING_HOLDERS);

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
    if (peer === undefined || holder === undefined) return NOT_HELD;
    const refusedAtMs = this.#refusedAtMs.get(holder.bootId) ?? -Infinity;
    if (performance.now() - refusedAtMs < NOT_HELD_PAUSE_MS) return NOT_HELD;
    if (canReceive(peer, "grant_parts")) {
      const message = { kind: "grant_parts", request } as const;
      const response = await links.call(peer, message, TIMEOUT_MS);
      const grant = response?.firstGrant ?? NOT_HELD;
      if (grant.kind === "refused" && grant.reason === "not_held") {
        this.#refusedAtMs.set(holder.bootId, performance.now());
      }
      return grant;
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
