/**
 * Evidence that accepted changes are in force on every node: the revisions
 * that the nodes themselves reported.
 */
import type { RequestId, Revision, VmId } from "@camphorlock/types";
import type { ConfigurationNotice } from "./inputs.ts";
import type { ConfigurationPeers } from "./peers.ts";

/** An operator is told which nodes are missing after this long. */
export const SPREAD_REPORT_MS = 18_000;

/** A change is no longer followed after this long. */
const FOLLOW_MS = 120_000;

/** Nodes that haven't reported a change are asked at this interval. */
const ASK_EVERY_MS = 1_000;

interface FollowedChange {
  readonly requestId: RequestId;
  readonly revision: Revision;
  readonly acceptedAtMs: number;
  reported: boolean;
}

/** The accepted changes whose spread this node reports to its operators. */
export class InForceReports {
  #followed: readonly FollowedChange[] = [];
  #askAtMs = 0;

  /** Follows a change from its acceptance on. */
  add(
    change: { readonly requestId: RequestId; readonly revision: Revision },
    acceptedAtMs: number,
  ): void {
    const followed = { ...change, acceptedAtMs, reported: false };
    this.#followed = [...this.#followed, followed];
    if (this.#askAtMs > acceptedAtMs) return;
    this.#askAtMs = acceptedAtMs + ASK_EVERY_MS;
  }

  /** Lists the nodes to ask now for their revision, each once. */
  listAsked(peers: ConfigurationPeers, nowMs: number): readonly VmId[] {
    if (this.#followed.length === 0 || nowMs < this.#askAtMs) return [];
    this.#askAtMs = nowMs + ASK_EVERY_MS;
    const highest = Math.max(...this.#followed.map((each) => each.revision));
    return peers.splitByRevision(highest).missing;
  }

  /** Lists the reports that are due. */
  takeDue(
    peers: ConfigurationPeers,
    nowMs: number,
  ): readonly ConfigurationNotice[] {
    const notices: ConfigurationNotice[] = [];
    const open: FollowedChange[] = [];
    for (const change of this.#followed) {
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
      if (elapsedMs < FOLLOW_MS) open.push(change);
    }
    this.#followed = open;
    return notices;
  }
}
