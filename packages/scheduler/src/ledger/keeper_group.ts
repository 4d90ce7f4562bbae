/**
 * The keepers of one owned shard: sends them what's new and works out what
 * their answers prove.
 */
import type {
  Effect,
  Epoch,
  FailureDomain,
  KeeperMessage,
  ShardId,
  VmId,
} from "@camphorlock/types";
import {
  computeConfirmedToken,
  computeKeptByTwo,
  hasReachablePair,
  KeeperLink,
} from "./keeper_link.ts";
import type { LedgerLimits } from "./ledger_types.ts";
import type { KeeperProcess } from "./segment.ts";
import type { UnstoredEntries } from "./unstored_entries.ts";

/** The options of a shard's keepers. */
export interface KeeperGroupOptions {
  readonly shard: ShardId;
  readonly epoch: Epoch;
  readonly keepers: readonly KeeperProcess[];
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
  #token = 0;

  constructor(options: KeeperGroupOptions) {
    this.#options = options;
    this.#links = options.keepers.map((keeper) => createLink(keeper, options));
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
    return this.#links
      .filter((link) => link.needsMessage(offer, nowMs))
      .map((link) => this.#createSend(link, source, nowMs));
  }

  /** Applies an answer of a keeper. */
  handle(from: VmId, message: KeeperMessage): KeeperNews {
    if (message.kind === "keep_refused") {
      return { kind: "superseded", epoch: message.sealedEpoch };
    }
    const link = this.#links.find((each) => each.vmId === from);
    if (link === undefined) return { kind: "progress" };
    if (message.kind !== "entries_kept") return { kind: "progress" };
    const restarted = link.applyKept(message, this.takeToken());
    return restarted ? { kind: "restarted", vmId: from } : { kind: "progress" };
  }

  /** Lets restarted keepers count whose proof is stored. */
  applyStored(beganToken: number): void {
    for (const link of this.#links) link.applyStored(beganToken);
  }

  #createSend(
    link: KeeperLink,
    source: KeeperSource,
    nowMs: number,
  ): Effect {
    const token = this.takeToken();
    const { storedThrough } = source.unstored;
    link.recordSent({ token, sentAtMs: nowMs, storedThrough });
    return {
      kind: "send_peer",
      to: link.vmId,
      message: this.#createMessage(link, source, token),
    };
  }

  #createMessage(
    link: KeeperLink,
    source: KeeperSource,
    token: number,
  ): KeeperMessage {
    const entries = link.isJoined
      ? source.unstored.list({
        afterSequence: link.sendAfter,
        maxBytes: this.#options.limits.messageBytes,
      })
      : [];
    return {
      kind: "keep_entries",
      shard: this.#options.shard,
      epoch: this.#options.epoch,
      entries: entries.map((each) => each.entry),
      storedThrough: source.unstored.storedThrough,
      durableThrough: source.durableThrough,
      keeperIncarnation: link.incarnation,
      token,
    };
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
