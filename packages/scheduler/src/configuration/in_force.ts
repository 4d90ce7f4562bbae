/**
 * Evidence that accepted changes are in force on every node: the revisions
 * that the nodes themselves reported.
 */
import type { RequestId, Revision } from "@camphorlock/types";
import type { ConfigurationNotice } from "./inputs.ts";
import type { ConfigurationPeers } from "./peers.ts";

/** An operator is told which nodes are missing after this long. */
export const SPREAD_REPORT_MS = 18_000;

/** A change is no longer followed after this long. */
const FOLLOW_MS = 120_000;

interface FollowedChange {
  readonly requestId: RequestId;
  readonly revision: Revision;
  readonly acceptedAtMs: number;
  reported: boolean;
}

/** The accepted changes whose spread this node reports to its operators. */
export class InForceReports {
  #followed: readonly FollowedChange[] = [];

  /** Follows a change from its acceptance on. */
  add(
    change: { readonly requestId: RequestId; readonly revision: Revision },
    acceptedAtMs: number,
  ): void {
    const followed = { ...change, acceptedAtMs, reported: false };
    this.#followed = [...this.#followed, followed];
  }

  /** Lists the reports that are due. */
  takeDue(
    peers: ConfigurationPeers,
    nowMs: number,
  ): readonly ConfigurationNotice[] {
    const notices: ConfigurationNotice[] = [];
    const open: FollowedChange[] = [];
    for (const change of this.#followed) {
      const { reached, missing } = peers.splitByRevision(change.revision);
      const { requestId, revision } = change;
      const elapsedMs = nowMs - change.acceptedAtMs;
      if (missing.length === 0) {
        const kind = "change_in_force";
        notices.push({ kind, requestId, revision, elapsedMs, nodes: reached });
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
