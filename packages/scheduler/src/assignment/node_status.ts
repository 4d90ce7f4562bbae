/**
 * Grace periods of owners that are missing from the membership view, and of
 * replicas that are missing or dead.
 */
import type { ShardAssignment, VmId } from "@camphorlock/types";
import type { Fleet } from "./fleet.ts";
import type { AssignmentSettings } from "./settings.ts";

/** Applies grace periods to the statuses of the membership view. */
export class NodeStatusTracker {
  readonly #settings: AssignmentSettings;
  readonly #unknownSince = new Map<string, number>();
  readonly #absentSince = new Map<VmId, number>();

  constructor(settings: AssignmentSettings) {
    this.#settings = settings;
  }

  /** Removes the recorded times of nodes that have returned. */
  update(fleet: Fleet): void {
    for (const vmId of this.#absentSince.keys()) {
      if (fleet.getReplicaStatus(vmId) === "present") {
        this.#absentSince.delete(vmId);
      }
    }
    for (const vmId of this.#unknownSince.keys()) {
      if (fleet.find(vmId.split("|")[0] ?? "") !== undefined) {
        this.#unknownSince.delete(vmId);
      }
    }
  }

  /** Whether the owner has ended or been unknown for the grace period. */
  isOwnerEnded(
    assignment: ShardAssignment,
    at: { fleet: Fleet; nowMs: number },
  ): boolean {
    const status = at.fleet.getOwnerStatus(assignment);
    if (status !== "unknown") return status === "ended";
    const key = `${assignment.owner}|${assignment.ownerIncarnation}`;
    const sinceMs = getOrSetSinceMs(this.#unknownSince, {
      key,
      nowMs: at.nowMs,
    });
    return at.nowMs - sinceMs >= this.#settings.unknownOwnerGraceMs;
  }

  /** Whether a replica is leaving, or has been absent for the grace period. */
  isReplicaUnavailable(
    vmId: VmId,
    at: { fleet: Fleet; nowMs: number },
  ): boolean {
    const status = at.fleet.getReplicaStatus(vmId);
    if (status === "present") return false;
    if (status === "leaving") return true;
    const sinceMs = getOrSetSinceMs(this.#absentSince, {
      key: vmId,
      nowMs: at.nowMs,
    });
    return at.nowMs - sinceMs >= this.#settings.replicaGraceMs;
  }
}

function getOrSetSinceMs(
  times: Map<string, number>,
  at: { key: string; nowMs: number },
): number {
  const sinceMs = times.get(at.key);
  if (sinceMs !== undefined) return sinceMs;
  times.set(at.key, at.nowMs);
  return at.nowMs;
}
