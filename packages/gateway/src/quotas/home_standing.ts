/**
 * How far a gateway may decide as the home of a tenant's quota: since when no
 * other gateway decides in its place, and with what part of the group it's in
 * contact.
 *
 * Two gateways may each take themselves for the home while groups of gateways
 * are cut off from each other, or after one was suspended. Each of them grants
 * the part of the quota that corresponds to its part of the group, so that they
 * grant no more than the quota together. A gateway learns only after a while
 * that others are cut off, so one that takes over grants a few credits until
 * then, and a part that grows again counts only after that time.
 */
import { computeRank } from "../decisions/peer_directory.ts";
import type { HomeStanding } from "./quota_bucket.ts";

/**
 * Time in which gateways notice that others were cut off, or that they are in
 * contact again: probes reach one of many lost gateways within half a second,
 * and then all others within 1.5 s.
 */
export const SETTLE_MS = 2_000;
/**
 * After a longer pause this gateway may have been replaced. A gateway that
 * takes over grants few credits within the settling time.
 */
const MAX_PAUSE_MS = SETTLE_MS / 2;

/** What a gateway sees of its group. */
export interface GroupView {
  /** Ids of the gateways that may be homes, with this one. */
  readonly candidates: ReadonlySet<string>;
  /** Whether a gateway has announced that it leaves. */
  readonly isLeaving: (vmId: string) => boolean;
  /** Number of gateways in contact, with this one and with older builds. */
  readonly reachable: number;
  /** Number of gateways of the group. */
  readonly members: number;
}

/** How a former candidate went. */
interface Departure {
  readonly atMs: number;
  readonly isAnnounced: boolean;
}

/** The standing of one gateway among the others. */
export class GroupStanding {
  readonly #vmId: string;
  /** How long departures matter to what a home has granted. */
  readonly #windowMs: number;
  #startedAtMs: number;
  #recordedAtMs: number;
  #candidates: ReadonlySet<string> = new Set();
  readonly #departures = new Map<string, Departure>();
  /** Shares with the time from which each held, oldest first. */
  #shares: { readonly atMs: number; readonly share: number }[] = [];

  constructor(
    { vmId, windowMs }: { readonly vmId: string; readonly windowMs: number },
    nowMs: number,
  ) {
    this.#vmId = vmId;
    this.#windowMs = windowMs;
    this.#startedAtMs = nowMs;
    this.#recordedAtMs = nowMs;
  }

  /** Records the present view; true if the share of the group has changed. */
  record(view: GroupView, nowMs: number): boolean {
    if (nowMs - this.#recordedAtMs > MAX_PAUSE_MS) this.#startedAtMs = nowMs;
    this.#recordedAtMs = nowMs;
    this.#recordCandidates(view, nowMs);
    this.#removeOld(nowMs);
    const share = Math.min(1, view.reachable / Math.max(1, view.members));
    if (this.#shares.at(-1)?.share === share) return false;
    this.#shares.push({ atMs: nowMs, share });
    return true;
  }

  /** Whether a gateway that decided before may still do so better. */
  isStarting(nowMs: number): boolean {
    return nowMs - this.#startedAtMs < SETTLE_MS;
  }

  /** Computes the standing as the home of a key. */
  compute(key: string, nowMs: number): HomeStanding {
    let sinceMs = this.#startedAtMs;
    let unsureSinceMs = this.#startedAtMs;
    const rank = computeRank(this.#vmId, key);
    for (const [vmId, { atMs, isAnnounced }] of this.#departures) {
      if (computeRank(vmId, key) < rank) continue;
      sinceMs = Math.max(sinceMs, atMs);
      if (!isAnnounced) unsureSinceMs = Math.max(unsureSinceMs, atMs);
    }
    return {
      share: this.computeShare(nowMs),
      sinceMs,
      settlesInMs: Math.max(0, unsureSinceMs + SETTLE_MS - nowMs),
      settledForMs: Math.max(
        0,
        nowMs - Math.max(sinceMs, unsureSinceMs + SETTLE_MS),
      ),
    };
  }

  /** The smallest part of the group in contact during the settling time. */
  computeShare(nowMs: number): number {
    let share = this.#shares.at(-1)?.share ?? 1;
    for (const [index, entry] of this.#shares.entries()) {
      const endedAtMs = this.#shares[index + 1]?.atMs ?? nowMs;
      if (nowMs - endedAtMs < SETTLE_MS) share = Math.min(share, entry.share);
    }
    return share;
  }

  /** Compares all gateways, but only after a change. */
  #recordCandidates(
    { candidates, isLeaving }: GroupView,
    nowMs: number,
  ): void {
    if (candidates === this.#candidates) return;
    for (const vmId of this.#candidates) {
      if (candidates.has(vmId)) continue;
      const isAnnounced = isLeaving(vmId);
      this.#departures.set(vmId, { atMs: nowMs, isAnnounced });
    }
    this.#candidates = candidates;
  }

  #removeOld(nowMs: number): void {
    for (const [vmId, { atMs }] of this.#departures) {
      if (nowMs - atMs > this.#windowMs) this.#departures.delete(vmId);
    }
    while (
      this.#shares.length > 1 &&
      nowMs - (this.#shares[1]?.atMs ?? nowMs) > SETTLE_MS
    ) this.#shares.shift();
  }
}
