/**
 * The replicas of one owned shard: sends them new entries and determines what
 * their responses prove.
 */
import type {
  Effect,
  Epoch,
  FailureDomain,
  LedgerEntry,
  ReplicaMessage,
  ShardId,
  VmId,
} from "@camphorlock/types";
import type { LedgerLimits } from "./ledger_types.ts";
import {
  computeConfirmedToken,
  computeReplicatedThrough,
  hasReachablePair,
  ReplicaLink,
} from "./replica_link.ts";
import { ReplicaReleases } from "./replica_releases.ts";
import type { ReplicaProcess } from "./segment.ts";
import type { UnstoredEntries } from "./unstored_entries.ts";

/** The options of a shard's replicas. */
export interface ReplicaSetOptions {
  readonly shard: ShardId;
  readonly epoch: Epoch;
  readonly keepers: readonly ReplicaProcess[];
  /** Replicas of earlier epochs, which are released from their entries. */
  readonly formerReplicas: readonly ReplicaProcess[];
  /** Entries up to here were stored when the epoch was opened. */
  readonly storedThrough: number;
  readonly failureDomainOf: (vmId: VmId) => FailureDomain;
  readonly limits: LedgerLimits;
}

/** The ledger state that messages to replicas are built from. */
export interface ReplicationSource {
  readonly unstored: UnstoredEntries;
  readonly durableThrough: number;
  /** Token of the newest pending confirmation of the epoch. */
  readonly confirmationToken: number;
}

/** The result of a replica's response. */
export type ReplicaEvent =
  | { readonly kind: "progress" }
  | { readonly kind: "restarted"; readonly vmId: VmId }
  | { readonly kind: "superseded"; readonly epoch: Epoch };

/** The owner's view of all replicas of one shard. */
export class ReplicaSet {
  readonly #options: ReplicaSetOptions;
  readonly #links: readonly ReplicaLink[];
  readonly #releases: ReplicaReleases;
  #token = 0;

  constructor(options: ReplicaSetOptions) {
    this.#options = options;
    this.#links = options.keepers.map((replica) =>
      createLink(replica, options)
    );
    const { formerReplicas, limits } = options;
    this.#releases = new ReplicaReleases({
      ...options,
      keepers: formerReplicas.filter(({ vmId }) => !this.#findLink(vmId)),
      resendAfterMs: limits.maxResendMs,
    });
  }

  /** Two replicas in different failure domains hold every entry up to here. */
  get keptThrough(): number {
    return computeReplicatedThrough(this.#links);
  }

  /** Highest token that two replicas have acknowledged. */
  get confirmedToken(): number {
    return computeConfirmedToken(this.#links);
  }

  /** Whether two replicas in different failure domains are reachable. */
  get hasReachablePair(): boolean {
    return hasReachablePair(this.#links);
  }

  /** Whether a replica waits for a stored segment before it counts. */
  get needsStoredSegment(): boolean {
    return this.#links.some((link) => link.needsStoredSegment);
  }

  /** Creates a token that is higher than every earlier one. */
  createToken(): number {
    this.#token += 1;
    return this.#token;
  }

  /** Sends each replica the entries that it lacks, one message at a time. */
  sendDue(source: ReplicationSource, nowMs: number): Effect[] {
    const progress = {
      lastSequence: source.unstored.lastSequence,
      storedThrough: source.unstored.storedThrough,
      confirmationToken: source.confirmationToken,
    };
    const messages = this.#links
      .filter((link) => link.needsMessage(progress, nowMs))
      .map((link) => this.#createSend(link, source, nowMs));
    return [...messages, ...this.#releases.sendDue(this.createToken(), nowMs)];
  }

  /** Applies a response of a replica. */
  handle(from: VmId, message: ReplicaMessage): ReplicaEvent {
    if (message.kind === "keep_refused") {
      return { kind: "superseded", epoch: message.sealedEpoch };
    }
    this.#releases.remove(from);
    const link = this.#findLink(from);
    if (link === undefined) return { kind: "progress" };
    if (message.kind !== "entries_kept") return { kind: "progress" };
    const restarted = link.applyKept(message, this.createToken());
    return restarted ? { kind: "restarted", vmId: from } : { kind: "progress" };
  }

  /** Counts restarted replicas again that waited for this segment. */
  applyStored(startToken: number): void {
    for (const link of this.#links) link.applyStored(startToken);
  }

  #findLink(vmId: VmId): ReplicaLink | undefined {
    return this.#links.find((each) => each.vmId === vmId);
  }

  #createSend(
    link: ReplicaLink,
    source: ReplicationSource,
    nowMs: number,
  ): Effect {
    const token = this.createToken();
    const { storedThrough } = source.unstored;
    const entries = this.#listEntries(link, source.unstored);
    const hasEntries = entries.length > 0;
    link.recordSent({ token, sentAtMs: nowMs, storedThrough, hasEntries });
    const message: ReplicaMessage = {
      kind: "keep_entries",
      shard: this.#options.shard,
      epoch: this.#options.epoch,
      entries,
      storedThrough,
      durableThrough: source.durableThrough,
      keeperIncarnation: link.incarnation,
      token,
    };
    return { kind: "send_peer", to: link.vmId, message };
  }

  #listEntries(link: ReplicaLink, unstored: UnstoredEntries): LedgerEntry[] {
    if (!link.isCounted) return [];
    const range = {
      afterSequence: link.sendAfterSequence,
      maxBytes: this.#options.limits.messageBytes,
    };
    return unstored.list(range).map((each) => each.entry);
  }
}

function createLink(
  replica: ReplicaProcess,
  options: ReplicaSetOptions,
): ReplicaLink {
  return new ReplicaLink({
    vmId: replica.vmId,
    failureDomain: options.failureDomainOf(replica.vmId),
    incarnation: replica.incarnation,
    resendAfterMs: options.limits.resendAfterMs,
    maxResendMs: options.limits.maxResendMs,
  });
}
