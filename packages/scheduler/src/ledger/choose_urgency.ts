/**
 * Decides how soon a shard's entries go to the platform.
 */
import type { WriteUrgency } from "./write_pacer.ts";

/** What a ledger holds and who waits for it. */
export interface UrgencyFacts {
  /** Whether the log is to be closed for a handover. */
  readonly isClosing: boolean;
  /** Encoded bytes of the entries that aren't stored. */
  readonly bytes: number;
  readonly segmentBytes: number;
  /** How long an entry or a question has waited; negative for none. */
  readonly waitedMs: number;
  /** Whether two keepers in two domains answer at present. */
  readonly hasPair: boolean;
  /** Whether a restarted keeper waits for a stored segment. */
  readonly needsProof: boolean;
}

/** Entries and questions wait this long for keepers, then the platform. */
const WAIT_FOR_KEEPERS_MS = 250;

/** Chooses the urgency; somebody waits when the keepers can't answer. */
export function chooseUrgency(facts: UrgencyFacts): WriteUrgency | "none" {
  if (facts.isClosing) return "urgent";
  if (facts.bytes >= facts.segmentBytes) return "urgent";
  if (facts.waitedMs >= WAIT_FOR_KEEPERS_MS) return "urgent";
  if (facts.waitedMs >= 0 && !facts.hasPair) return "urgent";
  const hasNews = facts.bytes > 0 || facts.needsProof;
  return hasNews ? "regular" : "none";
}
