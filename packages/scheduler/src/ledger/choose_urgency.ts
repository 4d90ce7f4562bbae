/**
 * Decides how soon a shard's entries are written to the platform.
 */
import type { WriteUrgency } from "./write_pacer.ts";

/** The state of a ledger that determines the urgency of a write. */
export interface UrgencyInputs {
  /** Whether the log is to be closed for a handover. */
  readonly isClosing: boolean;
  /** Encoded bytes of the entries that aren't stored. */
  readonly bytes: number;
  readonly segmentBytes: number;
  /** Longest wait of an entry or a confirmation; negative if none waits. */
  readonly waitedMs: number;
  /** Whether two replicas in different failure domains are reachable. */
  readonly hasReachablePair: boolean;
  /** Whether a restarted replica waits for a stored segment. */
  readonly needsStoredSegment: boolean;
}

/** Entries and confirmations wait this long for replicas, then a write. */
const REPLICA_WAIT_MS = 250;

/** Chooses the urgency; without a reachable pair, waiting is urgent. */
export function chooseUrgency(inputs: UrgencyInputs): WriteUrgency | "none" {
  if (inputs.isClosing) return "urgent";
  if (inputs.bytes >= inputs.segmentBytes) return "urgent";
  if (inputs.waitedMs >= REPLICA_WAIT_MS) return "urgent";
  if (inputs.waitedMs >= 0 && !inputs.hasReachablePair) return "urgent";
  const needsWrite = inputs.bytes > 0 || inputs.needsStoredSegment;
  return needsWrite ? "regular" : "none";
}
