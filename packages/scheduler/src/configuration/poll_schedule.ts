/**
 * The schedule of a node's polls of the platform.
 *
 * The poll interval grows with the number of nodes, so that the fleet's read
 * rate stays bounded. A node that can't reach a majority polls more often,
 * because the platform is then its only source of changes.
 */
import { computeHash } from "./rank.ts";

const POLL_MS_PER_NODE = 100;
const MIN_POLL_MS = 5_000;
const MAX_POLL_MS = 60_000;
const ISOLATED_POLL_MS = 2_000;
const HASH_RANGE = 2 ** 32;

/** The state that decides whether a node polls. */
export interface PollConditions {
  readonly nowMs: number;
  readonly nodes: number;
  readonly isMajorityReachable: boolean;
  /** When the platform last showed no newer revision. */
  readonly headSeenAtMs: number | undefined;
}

/** The poll schedule of one process. */
export class PollSchedule {
  /** Factor of the poll interval, from 0.75 to 1.25, by process name. */
  readonly #jitterFactor: number;
  #nextPollAtMs = 0;

  constructor(processName: string) {
    this.#jitterFactor = 0.75 + computeHash(processName) / HASH_RANGE / 2;
  }

  /** Returns whether to poll now, and if so schedules the next poll. */
  takeDue(conditions: PollConditions): boolean {
    const { nowMs, nodes, isMajorityReachable, headSeenAtMs } = conditions;
    const headAgeMs = nowMs - (headSeenAtMs ?? -Infinity);
    const isIsolated = !isMajorityReachable && headAgeMs >= ISOLATED_POLL_MS;
    if (nowMs < this.#nextPollAtMs && !isIsolated) return false;
    const wantedMs = Math.min(nodes * POLL_MS_PER_NODE, MAX_POLL_MS);
    const periodMs = Math.max(MIN_POLL_MS, wantedMs);
    this.#nextPollAtMs = nowMs + Math.round(periodMs * this.#jitterFactor);
    return true;
  }
}
