/**
 * When a node reads the platform without being told of anything new.
 *
 * The more nodes, the less often each polls, so that the fleet's reads stay
 * bounded. A node that doesn't hear most others polls often: the platform is
 * then what tells it of changes.
 */
import { computeRank } from "./rank.ts";

const POLL_MS_PER_NODE = 100;
const SHORTEST_POLL_MS = 5_000;
const LONGEST_POLL_MS = 60_000;
const LONELY_POLL_MS = 2_000;
const RANKS = 2 ** 32;

/** What a node knows when it decides whether to poll. */
export interface PollEvidence {
  readonly nowMs: number;
  readonly nodes: number;
  readonly hearsMost: boolean;
  /** When the platform last showed nothing newer. */
  readonly headSeenAtMs: number | undefined;
}

/** The polls of one process. */
export class PollSchedule {
  /** Spreads the polls of different processes, from 0.75 to 1.25. */
  readonly #stretch: number;
  #nextMs = 0;

  constructor(processName: string) {
    this.#stretch = 0.75 + computeRank(processName) / RANKS / 2;
  }

  /** Whether to poll now; the next poll is then a period away. */
  takeDue(evidence: PollEvidence): boolean {
    const { nowMs, nodes, hearsMost, headSeenAtMs } = evidence;
    const unseenMs = nowMs - (headSeenAtMs ?? -Infinity);
    const isLonely = !hearsMost && unseenMs >= LONELY_POLL_MS;
    if (nowMs < this.#nextMs && !isLonely) return false;
    const wantedMs = Math.min(nodes * POLL_MS_PER_NODE, LONGEST_POLL_MS);
    const periodMs = Math.max(SHORTEST_POLL_MS, wantedMs);
    this.#nextMs = nowMs + Math.round(periodMs * this.#stretch);
    return true;
  }
}
