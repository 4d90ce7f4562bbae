/**
 * Notifies the replicas of earlier epochs that they may drop a shard's entries.
 *
 * The new owner's log holds all of these entries. A replica that never responds
 * holds its copies until its process ends.
 */
import type { Effect, Epoch, ShardId, VmId } from "@camphorlock/types";
import type { ReplicaProcess } from "./segment.ts";

/** The options of an owner's releases. */
export interface ReplicaReleasesOptions {
  readonly shard: ShardId;
  readonly epoch: Epoch;
  readonly keepers: readonly ReplicaProcess[];
  /** Entries up to here are on the platform. */
  readonly storedThrough: number;
  /** Interval between two messages to a replica. */
  readonly resendAfterMs: number;
}

interface PendingRelease {
  readonly replica: ReplicaProcess;
  sends: number;
  sentAtMs: number;
}

const MAX_SENDS = 20;

/** The releases that replicas haven't acknowledged yet. */
export class ReplicaReleases {
  readonly #options: ReplicaReleasesOptions;
  #pending: PendingRelease[];

  constructor(options: ReplicaReleasesOptions) {
    this.#options = options;
    this.#pending = options.keepers.map((replica) => ({
      replica,
      sends: 0,
      sentAtMs: Number.NEGATIVE_INFINITY,
    }));
  }

  /** Removes the release of a replica that has responded. */
  remove(vmId: VmId): void {
    if (this.#pending.length === 0) return;
    this.#pending = this.#pending.filter((each) => each.replica.vmId !== vmId);
  }

  /** Sends the releases that are due. */
  sendDue(token: number, nowMs: number): Effect[] {
    if (this.#pending.length === 0) return [];
    this.#pending = this.#pending.filter((each) => each.sends < MAX_SENDS);
    return this.#pending
      .filter((each) => nowMs - each.sentAtMs >= this.#options.resendAfterMs)
      .map((each) => this.#send(each, { token, nowMs }));
  }

  #send(
    release: PendingRelease,
    moment: { readonly token: number; readonly nowMs: number },
  ): Effect {
    const { shard, epoch, storedThrough } = this.#options;
    release.sends += 1;
    release.sentAtMs = moment.nowMs;
    return {
      kind: "send_peer",
      to: release.replica.vmId,
      message: {
        kind: "keep_entries",
        shard,
        epoch,
        entries: [],
        storedThrough,
        durableThrough: storedThrough,
        keeperIncarnation: release.replica.incarnation,
        token: moment.token,
      },
    };
  }
}
