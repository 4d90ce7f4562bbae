/**
 * The gateways that ended lately without a planned stop.
 *
 * The load that this answers: many gateways that are killed together. A single
 * loss leaves every account at its other home, which hands it to a new one
 * within moments. When as many are lost at about the same time as an account
 * has homes, accounts may be gone without a trace at those that are left.
 */
import type { PeerChange, PeerInfo } from "./peer_directory.ts";

/**
 * Time in which a loss is surely noticed and the accounts are handed over: a
 * gateway is asked every few seconds even without traffic.
 */
export const LOSS_WINDOW_MS = 5_000;

/** The losses of one region as one gateway saw them. */
export class RecentLosses {
  /** When each gateway was found to have ended. */
  readonly #atMs = new Map<string, number>();
  readonly #leaving = new Set<string>();

  /** Notes a change of the view. */
  add(peer: PeerInfo, change: PeerChange | "lost", nowMs: number): void {
    switch (change) {
      case "leaving":
        this.#leaving.add(peer.vmId);
        return;
      case "lost":
        // A gateway that leaves as planned has handed its accounts over.
        if (!this.#leaving.has(peer.vmId)) this.#atMs.set(peer.vmId, nowMs);
        return;
      case "restarted":
        if (!this.#leaving.delete(peer.vmId)) this.#atMs.set(peer.vmId, nowMs);
        return;
      case "returned":
        this.#atMs.delete(peer.vmId);
        return;
      case "added":
      case "none":
        return;
    }
  }

  /** Lists those of the last moments. */
  list(nowMs: number): string[] {
    return [...this.#atMs]
      .filter(([, atMs]) => nowMs - atMs < LOSS_WINDOW_MS)
      .map(([vmId]) => vmId);
  }
}
