/**
 * The keepers of one owned shard: sends them what's new and works out what
 * their answers prove.
 */
import type {
  Effect,
  Epoch,
  FailureDomain,
  KeeperMessage,
  LedgerEntry,
  ShardId,
  VmId,
} from "@camphorlock/types";
import {
  computeConfirmedToken,
  computeKeptByTwo,
  hasReachablePair,
  KeeperLink,
} from "./keeper_link.ts";
import { KeeperReleases } from "./keeper_releases.ts";
import type { LedgerLimits } from "./ledger_types.ts";
import type { KeeperProcess } from "./segment.ts";
import type { UnstoredEntries } from "./unstored_entries.ts";

/** The options of a shard's keepers. */
export interface KeeperGroupOptions {
  readonly shard: ShardId;
  readonly epoch: Epoch;
  readonly keepers: readonly KeeperProcess[];
  /** Keepers of earlier epochs, which are told to drop their entries. */
  readonly formerKeepers: readonly KeeperProcess[];
  /** Entries up to here were stored when the epoch was opened. */
  readonly storedThrough: number;
  readonly failureDomainOf: (vmId: VmId) => FailureDomain;
  readonly limits: LedgerLimits;
}

/** What a message to a keeper is made of. */
export interface KeeperSource {
  readonly unstored: UnstoredEntries;
  readonly durableThrough: number;
  /** Token of the newest question whether the epoch holds. */
  readonly askedToken: number;
}

/** What an answer of a keeper brought. */
export type KeeperNews =
  | { readonly kind: "progress" }
  | { readonly kind: "restarted"; readonly vmId: VmId }
  | { readonly kind: "superseded"; readonly epoch: Epoch };

/** The owner's side of all keepers of one shard. */
export class KeeperGroup {
  readonly #options: KeeperGroupOptions;
  readonly #links: readonly KeeperLink[];
  readonly #releases: KeeperReleases;
  #token = 0;

  constructor(options: KeeperGroupOptions) {
    this.#options = options;
    this.#links = options.keepers.map((keeper) => createLink(keeper, options));
    const { formerKeepers, limits } = options;
    this.#releases = new KeeperReleases({
      ...options,
      keepers: formerKeepers.filter(({ vmId }) => !this.#findLink(vmId)),
      resendAfterMs: limits.resendAtMostMs,
    });
  }

  /** Every entry up to here is held by two keepers in two domains. */
  get keptThrough(): number {
    return computeKeptByTwo(this.#links);
  }

  /** Highest token that two keepers answered. */
  get confirmedToken(): number {
    return computeConfirmedToken(this.#links);
  }

  /** Whether two keepers in two domains answer at present. */
  get hasPair(): boolean {
    return hasReachablePair(this.#links);
  }

  /** Whether a keeper waits for a stored segment before it counts. */
  get needsProof(): boolean {
    return this.#links.some((link) => link.needsProof);
  }

  /** Gives a token higher than every one before. */
  takeToken(): number {
    this.#token += 1;
    return this.#token;
  }

  /** Sends each keeper what it lacks, one message at a time. */
  sendDue(source: KeeperSource, nowMs: number): Effect[] {
    const offer = {
      lastSequence: source.unstored.lastSequence,
      storedThrough: source.unstored.storedThrough,
      askedToken: source.askedToken,
    };
    const messages = this.#links
      .filter((link) => link.needsMessage(offer, nowMs))
      .map((link) => this.#createSend(link, source, nowMs));
    return [...messages, ...this.#releases.sendDue(this.takeToken(), nowMs)];
  }

  /** Applies an answer of a keeper. */
  handle(from: VmId, message: KeeperMessage): KeeperNews {
    if (message.kind === "keep_refused") {
      return { kind: "superseded", epoch: message.sealedEpoch };
    }
    this.#releases.remove(from);
    const link = this.#findLink(from);
    if (link === undefined) return { kind: "progress" };
    if (message.kind !== "entries_kept") return { kind: "progress" };
    const restarted = link.applyKept(message, this.takeToken());
    return restarted ? { kind: "restarted", vmId: from } : { kind: "progress" };
  }

  /** Lets restarted keepers count whose proof is stored. */
  applyStored(beganToken: number): void {
    for (const link of this.#links) link.applyStored(beganToken);
  }

  #findLink(vmId: VmId): KeeperLink | undefined {
    return this.#links.find((each) => each.vmId === vmId);
  }

  #createSend(
    link: KeeperLink,
    source: KeeperSource,
    nowMs: number,
  ): Effect {
    const token = this.takeToken();
    const { storedThrough } = source.unstored;
    const entries = this.#listEntries(link, source.unstored);
    const hasEntries = entries.length > 0;
    link.recordSent({ token, sentAtMs: nowMs, storedThrough, hasEntries });
    const message: KeeperMessage = {
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

  #listEntries(link: KeeperLink, unstored: UnstoredEntries): LedgerEntry[] {
    if (!link.isJoined) return [];
    const range = {
      afterSequence: link.sendAfter,
      maxBytes: this.#options.limits.messageBytes,
    };
    return unstored.list(range).map((each) => each.entry);
  }
}

function createLink(
  keeper: KeeperProcess,
  options: KeeperGroupOptions,
): KeeperLink {
  return new KeeperLink({
    vmId: keeper.vmId,
    failureDomain: options.failureDomainOf(keeper.vmId),
    incarnation: keeper.incarnation,
    resendAfterMs: options.limits.resendAfterMs,
    resendAtMostMs: options.limits.resendAtMostMs,
  });
}
