/**
 * Tracks whether accepted changes are in force on every node, by the revisions
 * that the nodes report.
 */
import type { RequestId, Revision, VmId } from "@camphorlock/types";
import type { ConfigurationNotice } from "./inputs.ts";
import type { ConfigurationPeers } from "./configuration_peers.ts";

/** After this long, the operator gets a list of the missing nodes. */
export const SPREAD_REPORT_MS = 18_000;

/** A change is tracked for at most this long. */
const TRACKING_MS = 120_000;

/** Interval of requests to nodes that haven't reported the revision. */
const REQUEST_INTERVAL_MS = 1_000;

interface TrackedChange {
  readonly requestId: RequestId;
  readonly revision: Revision;
  readonly acceptedAtMs: number;
  reported: boolean;
}

/** The accepted changes whose propagation this node reports to operators. */
export class InForceTracker {
  #tracked: readonly TrackedChange[] = [];
  #nextRequestAtMs = 0;

  /** Tracks a change from its acceptance on. */
  add(
    change: { readonly requestId: RequestId; readonly revision: Revision },
    acceptedAtMs: number,
  ): void {
    const tracked = { ...change, acceptedAtMs, reported: false };
    this.#tracked = [...this.#tracked, tracked];
    if (this.#nextRequestAtMs > acceptedAtMs) return;
    this.#nextRequestAtMs = acceptedAtMs + REQUEST_INTERVAL_MS;
  }

  /** If a request is due, returns the nodes that haven't reported. */
  takeUnreported(peers: ConfigurationPeers, nowMs: number): readonly VmId[] {
    if (this.#tracked.length === 0 || nowMs < this.#nextRequestAtMs) return [];
    this.#nextRequestAtMs = nowMs + REQUEST_INTERVAL_MS;
    const highest = Math.max(...this.#tracked.map((each) => each.revision));
    return peers.splitByRevision(highest).missing;
  }

  /** Returns the due reports, and stops tracking completed or old changes. */
  takeDue(
    peers: ConfigurationPeers,
    nowMs: number,
  ): readonly ConfigurationNotice[] {
    const notices: ConfigurationNotice[] = [];
    const remaining: TrackedChange[] = [];
    for (const change of this.#tracked) {
      const { reached, missing, presumedDead } = peers.splitByRevision(
        change.revision,
      );
      const { requestId, revision } = change;
      const elapsedMs = nowMs - change.acceptedAtMs;
      if (missing.length === 0) {
        notices.push({
          kind: "change_in_force",
          requestId,
          revision,
          elapsedMs,
          nodes: reached,
          presumedDead,
        });
        continue;
      }
      if (elapsedMs >= SPREAD_REPORT_MS && !change.reported) {
        change.reported = true;
        notices.push({
          kind: "change_spreading",
          requestId,
          revision,
          missing,
        });
      }
      if (elapsedMs < TRACKING_MS) remaining.push(change);
    }
    this.#tracked = remaining;
    return notices;
  }
}
