/**
 * An owner's view of one replica: its process, the entries that it holds, and
 * the one message that is in flight to it.
 *
 * A restart of a replica loses its entries and its seal. The replica counts
 * again only after a segment is stored that the owner started after it detected
 * the restart. That segment shows that the log wasn't sealed until then, and
 * a recovery that seals the log later also seals the replica's new process.
 */
import type { FailureDomain, ReplicaMessage, VmId } from "@camphorlock/types";

/** The options of a link. */
export interface ReplicaLinkOptions {
  readonly vmId: VmId;
  readonly failureDomain: FailureDomain;
  /** The process's incarnation when the epoch opened; zero if unknown. */
  readonly incarnation: number;
  readonly resendAfterMs: number;
  readonly maxResendMs: number;
}

/** The owner's progress, which decides whether a replica needs a message. */
export interface OwnerProgress {
  readonly lastSequence: number;
  readonly storedThrough: number;
  /** A message with a lower token can't confirm the newest request. */
  readonly confirmationToken: number;
}

interface PendingMessage {
  readonly token: number;
  readonly sentAtMs: number;
  readonly storedThrough: number;
  /** Whether entries were sent, so that the replica should hold more. */
  readonly hasEntries: boolean;
}

/** Timeouts in a row after which a replica counts as unreachable. */
const TIMEOUTS_TO_UNREACHABLE = 2;

type KeptMessage = Extract<ReplicaMessage, { kind: "entries_kept" }>;

/** Tracks the replication to one replica. */
export class ReplicaLink {
  readonly vmId: VmId;
  readonly failureDomain: FailureDomain;
  readonly #options: ReplicaLinkOptions;
  #incarnation: number;
  /** Set on a restart; a segment started after this token ends the wait. */
  #restartToken: number | undefined;
  #keptThrough = 0;
  #acknowledgedStored = 0;
  /** Highest token of a message that the current process acknowledged. */
  #acknowledgedToken = 0;
  #pending: PendingMessage | undefined;
  #timeouts = 0;
  /** A replica without space is sent no entries before this time. */
  #pausedUntilMs = 0;

  constructor(options: ReplicaLinkOptions) {
    this.#options = options;
    this.vmId = options.vmId;
    this.failureDomain = options.failureDomain;
    this.#incarnation = options.incarnation;
  }

  /** The replica process that messages are addressed to. */
  get incarnation(): number {
    return this.#incarnation;
  }

  /** Whether the process counts for durability and confirmations. */
  get isCounted(): boolean {
    return this.#incarnation > 0 && this.#restartToken === undefined;
  }

  /** Whether a stored segment is needed before the process counts. */
  get needsStoredSegment(): boolean {
    return this.#restartToken !== undefined;
  }

  /** Whether the process counts and acknowledges messages in time. */
  get isReachable(): boolean {
    return this.isCounted && this.#timeouts < TIMEOUTS_TO_UNREACHABLE;
  }

  /** The replica or the platform holds every entry up to here. */
  get keptThrough(): number {
    return this.isCounted ? this.#keptThrough : 0;
  }

  /** Highest token that the current process acknowledged. */
  get acknowledgedToken(): number {
    return this.isCounted ? this.#acknowledgedToken : 0;
  }

  /** Sequence after which the next message's entries start. */
  get sendAfterSequence(): number {
    return this.#keptThrough;
  }

  /** Whether to send an update, or to resend a message that timed out. */
  needsMessage(progress: OwnerProgress, nowMs: number): boolean {
    if (this.#pending !== undefined) return this.#checkTimeout(nowMs);
    if (this.needsStoredSegment) return false;
    if (!this.isCounted) return true;
    if (this.#acknowledgedToken < progress.confirmationToken) return true;
    if (nowMs < this.#pausedUntilMs) return false;
    return this.#keptThrough < progress.lastSequence ||
      this.#acknowledgedStored < progress.storedThrough;
  }

  /** Records a message that was sent. */
  recordSent(pending: PendingMessage): void {
    this.#pending = pending;
  }

  /** Applies an acknowledgement; returns whether a new process sent it. */
  applyKept(message: KeptMessage, nextToken: number): boolean {
    if (message.keeperIncarnation < this.#incarnation) return false;
    if (message.keeperIncarnation > this.#incarnation) {
      this.#applyRestart(message.keeperIncarnation, nextToken);
      return true;
    }
    if (this.needsStoredSegment) return false;
    const hasAdvanced = message.keptThrough > this.#keptThrough;
    this.#keptThrough = Math.max(this.#keptThrough, message.keptThrough);
    this.#acknowledgedToken = Math.max(this.#acknowledgedToken, message.token);
    if (this.#pending?.token === message.token) {
      this.#applyAcknowledged(this.#pending, hasAdvanced);
    }
    return false;
  }

  /** Counts a restarted process again if the stored segment is newer. */
  applyStored(startToken: number): void {
    if (this.#restartToken === undefined) return;
    if (startToken <= this.#restartToken) return;
    this.#restartToken = undefined;
  }

  #applyAcknowledged(pending: PendingMessage, hasAdvanced: boolean): void {
    this.#acknowledgedStored = pending.storedThrough;
    this.#pending = undefined;
    this.#timeouts = 0;
    const isFull = pending.hasEntries && !hasAdvanced;
    const { maxResendMs } = this.#options;
    this.#pausedUntilMs = isFull ? pending.sentAtMs + maxResendMs : 0;
  }

  #applyRestart(incarnation: number, restartToken: number): void {
    this.#incarnation = incarnation;
    this.#restartToken = restartToken;
    this.#keptThrough = 0;
    this.#acknowledgedStored = 0;
    this.#acknowledgedToken = 0;
    this.#pending = undefined;
    this.#timeouts = 0;
  }

  #checkTimeout(nowMs: number): boolean {
    if (this.#pending === undefined) return false;
    const { resendAfterMs, maxResendMs } = this.#options;
    const waitMs = resendAfterMs * 2 ** Math.min(this.#timeouts, 16);
    const elapsedMs = nowMs - this.#pending.sentAtMs;
    if (elapsedMs < Math.min(waitMs, maxResendMs)) return false;
    this.#timeouts += 1;
    return true;
  }
}

/**
 * Computes the sequence up to which two replicas in different failure domains
 * hold every entry.
 */
export function computeReplicatedThrough(
  links: readonly ReplicaLink[],
): number {
  let replicated = 0;
  for (const link of links) {
    const others = links.filter((other) =>
      other.failureDomain !== link.failureDomain
    );
    const best = Math.max(0, ...others.map((other) => other.keptThrough));
    replicated = Math.max(replicated, Math.min(best, link.keptThrough));
  }
  return replicated;
}

/** Whether two replicas in different failure domains are reachable. */
export function hasReachablePair(links: readonly ReplicaLink[]): boolean {
  const reachable = links.filter((link) => link.isReachable);
  const domains = new Set(reachable.map((link) => link.failureDomain));
  return domains.size >= 2;
}

/** Computes the highest token that two replicas have acknowledged. */
export function computeConfirmedToken(links: readonly ReplicaLink[]): number {
  const tokens = links.map((link) => link.acknowledgedToken);
  tokens.sort((left, right) => right - left);
  return tokens[1] ?? 0;
}
