/**
 * An owner's view of one keeper: which process runs there, what it holds, and
 * the one message that is under way to it.
 *
 * A keeper that restarted forgot what it held and by whom it was sealed. It's
 * counted again only after a segment which the owner began to write later is
 * stored: until then nobody had sealed the log, and whoever does it afterwards
 * seals the keeper's new process too.
 */
import type { FailureDomain, KeeperMessage, VmId } from "@camphorlock/types";

/** The options of a link. */
export interface KeeperLinkOptions {
  readonly vmId: VmId;
  readonly failureDomain: FailureDomain;
  /** The process known when the epoch was opened; zero for none. */
  readonly incarnation: number;
  readonly resendAfterMs: number;
  readonly resendAtMostMs: number;
}

/** What the owner has for its keepers at present. */
export interface KeeperOffer {
  readonly lastSequence: number;
  readonly storedThrough: number;
  /** A message with a lower token doesn't answer the newest question. */
  readonly askedToken: number;
}

interface PendingMessage {
  readonly token: number;
  readonly sentAtMs: number;
  readonly storedThrough: number;
  /** Whether entries were sent, so that the keeper should hold more after. */
  readonly hasEntries: boolean;
}

/** Messages without an answer after which a keeper isn't waited for. */
const SILENCES_TO_UNREACHABLE = 2;

type KeptMessage = Extract<KeeperMessage, { kind: "entries_kept" }>;

/** The owner's side of the exchange with one keeper. */
export class KeeperLink {
  readonly vmId: VmId;
  readonly failureDomain: FailureDomain;
  readonly #options: KeeperLinkOptions;
  #incarnation: number;
  /** The token after which a stored segment lets the process count. */
  #learnedToken: number | undefined;
  #keptThrough = 0;
  #announcedStored = 0;
  /** Highest token of a message that the present process answered. */
  #answeredToken = 0;
  #pending: PendingMessage | undefined;
  #silences = 0;
  /** A keeper without space is offered nothing before this time. */
  #notBeforeMs = 0;

  constructor(options: KeeperLinkOptions) {
    this.#options = options;
    this.vmId = options.vmId;
    this.failureDomain = options.failureDomain;
    this.#incarnation = options.incarnation;
  }

  /** The keeper process that messages are meant for. */
  get incarnation(): number {
    return this.#incarnation;
  }

  /** Whether the process may hold entries and confirm the epoch. */
  get isJoined(): boolean {
    return this.#incarnation > 0 && this.#learnedToken === undefined;
  }

  /** Whether a stored segment is needed before the process counts. */
  get needsProof(): boolean {
    return this.#learnedToken !== undefined;
  }

  /** Whether the process counts and answered its last message in time. */
  get isReachable(): boolean {
    return this.isJoined && this.#silences < SILENCES_TO_UNREACHABLE;
  }

  /** Every entry up to here is held by the keeper or the platform. */
  get keptThrough(): number {
    return this.isJoined ? this.#keptThrough : 0;
  }

  /** Highest token that the present process answered. */
  get answeredToken(): number {
    return this.isJoined ? this.#answeredToken : 0;
  }

  /** Sequence that the next message begins after. */
  get sendAfter(): number {
    return this.#keptThrough;
  }

  /** Whether a message is due: something is new, and none is under way. */
  needsMessage(offer: KeeperOffer, nowMs: number): boolean {
    if (this.#pending !== undefined) return this.#checkSilence(nowMs);
    if (this.needsProof) return false;
    if (!this.isJoined) return true;
    if (this.#answeredToken < offer.askedToken) return true;
    if (nowMs < this.#notBeforeMs) return false;
    return this.#keptThrough < offer.lastSequence ||
      this.#announcedStored < offer.storedThrough;
  }

  /** Notes that a message was sent. */
  recordSent(pending: PendingMessage): void {
    this.#pending = pending;
  }

  /** Applies an answer and tells whether another process answered. */
  applyKept(message: KeptMessage, freshToken: number): boolean {
    if (message.keeperIncarnation < this.#incarnation) return false;
    if (message.keeperIncarnation > this.#incarnation) {
      this.#applyRestart(message.keeperIncarnation, freshToken);
      return true;
    }
    if (this.needsProof) return false;
    const hasMore = message.keptThrough > this.#keptThrough;
    this.#keptThrough = Math.max(this.#keptThrough, message.keptThrough);
    this.#answeredToken = Math.max(this.#answeredToken, message.token);
    if (this.#pending?.token === message.token) {
      this.#applyAnswered(this.#pending, hasMore);
    }
    return false;
  }

  /** Lets a restarted process count once a later segment is stored. */
  applyStored(beganToken: number): void {
    if (this.#learnedToken === undefined) return;
    if (beganToken <= this.#learnedToken) return;
    this.#learnedToken = undefined;
  }

  #applyAnswered(pending: PendingMessage, hasMore: boolean): void {
    this.#announcedStored = pending.storedThrough;
    this.#pending = undefined;
    this.#silences = 0;
    const isFull = pending.hasEntries && !hasMore;
    const { resendAtMostMs } = this.#options;
    this.#notBeforeMs = isFull ? pending.sentAtMs + resendAtMostMs : 0;
  }

  #applyRestart(incarnation: number, freshToken: number): void {
    this.#incarnation = incarnation;
    this.#learnedToken = freshToken;
    this.#keptThrough = 0;
    this.#announcedStored = 0;
    this.#answeredToken = 0;
    this.#pending = undefined;
    this.#silences = 0;
  }

  #checkSilence(nowMs: number): boolean {
    if (this.#pending === undefined) return false;
    const { resendAfterMs, resendAtMostMs } = this.#options;
    const waitMs = resendAfterMs * 2 ** Math.min(this.#silences, 16);
    const silentMs = nowMs - this.#pending.sentAtMs;
    if (silentMs < Math.min(waitMs, resendAtMostMs)) return false;
    this.#silences += 1;
    return true;
  }
}

/**
 * Computes through which sequence two keepers in two failure domains hold
 * every entry.
 */
export function computeKeptByTwo(links: readonly KeeperLink[]): number {
  let kept = 0;
  for (const link of links) {
    const others = links.filter((other) =>
      other.failureDomain !== link.failureDomain
    );
    const best = Math.max(0, ...others.map((other) => other.keptThrough));
    kept = Math.max(kept, Math.min(best, link.keptThrough));
  }
  return kept;
}

/** Whether two keepers in two failure domains answer at present. */
export function hasReachablePair(links: readonly KeeperLink[]): boolean {
  const reachable = links.filter((link) => link.isReachable);
  const domains = new Set(reachable.map((link) => link.failureDomain));
  return domains.size >= 2;
}

/** Computes the highest token that two keepers answered. */
export function computeConfirmedToken(links: readonly KeeperLink[]): number {
  const tokens = links.map((link) => link.answeredToken);
  tokens.sort((left, right) => right - left);
  return tokens[1] ?? 0;
}
