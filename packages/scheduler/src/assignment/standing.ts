/**
 * How long owners and keepers have been gone or unknown.
 */
import type { ShardAssignment, VmId } from "@camphorlock/types";
import type { Fleet } from "./fleet.ts";
import type { AssignmentSettings } from "./settings.ts";

/** Applies the graces to what the membership view says. */
export class StandingTracker {
  readonly #settings: AssignmentSettings;
  readonly #unknownSince = new Map<string, number>();
  readonly #absentSince = new Map<VmId, number>();

  constructor(settings: AssignmentSettings) {
    this.#settings = settings;
  }

  /** Forgets the times of nodes that are present again. */
  update(fleet: Fleet): void {
    for (const vmId of this.#absentSince.keys()) {
      if (fleet.getKeeperStanding(vmId) === "present") {
        this.#absentSince.delete(vmId);
      }
    }
    for (const vmId of this.#unknownSince.keys()) {
      if (fleet.find(vmId.split("|")[0] ?? "") !== undefined) {
        this.#unknownSince.delete(vmId);
      }
    }
  }

  /** Whether the process that owns a shard is gone. */
  isOwnerGone(
    assignment: ShardAssignment,
    at: { fleet: Fleet; nowMs: number },
  ): boolean {
    const standing = at.fleet.getOwnerStanding(assignment);
    if (standing !== "unknown") return standing === "gone";
    const key = `${assignment.owner}|${assignment.ownerIncarnation}`;
    const sinceMs = getSince(this.#unknownSince, { key, nowMs: at.nowMs });
    return at.nowMs - sinceMs >= this.#settings.unknownGraceMs;
  }

  /** Whether a keeper is leaving, or has been gone for the grace. */
  isKeeperGone(vmId: VmId, at: { fleet: Fleet; nowMs: number }): boolean {
    const standing = at.fleet.getKeeperStanding(vmId);
    if (standing === "present") return false;
    if (standing === "leaving") return true;
    const sinceMs = getSince(this.#absentSince, {
      key: vmId,
      nowMs: at.nowMs,
    });
    return at.nowMs - sinceMs >= this.#settings.keeperGraceMs;
  }
}

function getSince(
  times: Map<string, number>,
  at: { key: string; nowMs: number },
): number {
  const known = times.get(at.key);
  if (known !== undefined) return known;
  times.set(at.key, at.nowMs);
  return at.nowMs;
}
