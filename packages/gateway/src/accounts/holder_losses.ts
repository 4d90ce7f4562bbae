/**
 * Finds out which holders of shards were lost, and whether they have surely
 * ended: one that is only silent may still grant for a while.
 */
import type { PeerDirectory, PeerInfo } from "../decisions/peer_directory.ts";
import type { HolderLoss, ShardHolder } from "../decisions/shard_table.ts";
import type { PeerLinks } from "../peers/peer_links.ts";

/** Silence after which a process counts as lost for its shards. */
const SILENT_AFTER_MS = 30_000;

/** Dependencies of the losses. */
export interface HolderLossesDependencies {
  readonly directory: PeerDirectory;
  readonly links: Pick<PeerLinks, "call">;
  readonly self: PeerInfo;
}

/** The holders that one gateway finds lost. */
export class HolderLosses {
  readonly #dependencies: HolderLossesDependencies;

  constructor(dependencies: HolderLossesDependencies) {
    this.#dependencies = dependencies;
  }

  /** Finds the lost holders, by the id of their process's start. */
  async find(
    table: readonly ShardHolder[],
  ): Promise<ReadonlyMap<string, HolderLoss>> {
    const { directory } = this.#dependencies;
    const silentSinceMs = performance.now() - SILENT_AFTER_MS;
    const holders = new Map(table.map((each) => [each.bootId, each]));
    const losses = new Map<string, HolderLoss>();
    await Promise.all([...holders.values()].map(async (holder) => {
      if (!directory.hasEnded(holder, silentSinceMs)) return;
      const loss = await this.#findLoss(holder, silentSinceMs);
      if (loss !== undefined) losses.set(holder.bootId, loss);
    }));
    return losses;
  }

  async #findLoss(
    { vmId, bootId }: ShardHolder,
    silentSinceMs: number,
  ): Promise<HolderLoss | undefined> {
    const { directory, links, self } = this.#dependencies;
    if (vmId === self.vmId) return "ended";
    const peer = directory.find(vmId);
    if (peer === undefined) return undefined;
    if (directory.hasEnded(peer, silentSinceMs)) return "silent";
    // What the directory knows may come from a late message of a former process;
    // a process that responds now is the only one of its VM.
    const response = await links.call(peer, {
      kind: "hello",
      known: directory.size,
      // The receiver has nothing newer to send.
      shardsRevision: Number.MAX_SAFE_INTEGER,
      blockedRequests: 0,
    });
    const current = response?.from;
    const isOther = current?.vmId === vmId && current.bootId !== bootId;
    return isOther ? "ended" : undefined;
  }
}
