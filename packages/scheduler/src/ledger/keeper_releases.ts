/**
 * Tells the keepers of earlier epochs to drop what they hold of a shard.
 *
 * A new owner's log holds everything that they kept. A keeper that never
 * answers keeps its copies until its process ends.
 */
import type { Effect, Epoch, ShardId, VmId } from "@camphorlock/types";
import type { KeeperProcess } from "./segment.ts";

/** The options of a round of releases. */
export interface KeeperReleasesOptions {
  readonly shard: ShardId;
  readonly epoch: Epoch;
  readonly keepers: readonly KeeperProcess[];
  /** Entries up to here are on the platform. */
  readonly storedThrough: number;
  /** Pause between two messages to a keeper. */
  readonly resendAfterMs: number;
}

interface OpenRelease {
  readonly keeper: KeeperProcess;
  sends: number;
  sentAtMs: number;
}

const MOST_SENDS = 20;

/** The keepers that haven't confirmed yet. */
export class KeeperReleases {
  readonly #options: KeeperReleasesOptions;
  #open: OpenRelease[];

  constructor(options: KeeperReleasesOptions) {
    this.#options = options;
    this.#open = options.keepers.map((keeper) => ({
      keeper,
      sends: 0,
      sentAtMs: Number.NEGATIVE_INFINITY,
    }));
  }

  /** Notes that a keeper answered. */
  remove(vmId: VmId): void {
    if (this.#open.length === 0) return;
    this.#open = this.#open.filter((each) => each.keeper.vmId !== vmId);
  }

  /** Sends the releases that are due. */
  sendDue(token: number, nowMs: number): Effect[] {
    if (this.#open.length === 0) return [];
    this.#open = this.#open.filter((each) => each.sends < MOST_SENDS);
    return this.#open
      .filter((each) => nowMs - each.sentAtMs >= this.#options.resendAfterMs)
      .map((each) => this.#send(each, { token, nowMs }));
  }

  #send(
    release: OpenRelease,
    moment: { readonly token: number; readonly nowMs: number },
  ): Effect {
    const { shard, epoch, storedThrough } = this.#options;
    release.sends += 1;
    release.sentAtMs = moment.nowMs;
    return {
      kind: "send_peer",
      to: release.keeper.vmId,
      message: {
        kind: "keep_entries",
        shard,
        epoch,
        entries: [],
        storedThrough,
        durableThrough: storedThrough,
        keeperIncarnation: release.keeper.incarnation,
        token: moment.token,
      },
    };
  }
}
