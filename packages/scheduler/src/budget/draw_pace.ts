/**
 * How many draws on shared budgets a node may start in a second.
 *
 * Nodes don't know of each other's draws. A conflict or a refusal by the rate
 * limit shows that too many draw at once, for instance after a start of the
 * whole fleet: the pace falls by a factor and rises again with each success.
 */
import { checkNever, type PlatformAnswer } from "@camphorlock/types";

const FIRST_PER_SECOND = 2;
const LEAST_PER_SECOND = 0.2;
const MOST_PER_SECOND = 20;
const CONFLICT_FACTOR = 0.7;
const REFUSAL_FACTOR = 0.5;
const SUCCESS_STEP = 0.2;
const MS_PER_SECOND = 1_000;

/** The pace of one node. */
export class DrawPace {
  #perSecond = FIRST_PER_SECOND;
  #tokens = FIRST_PER_SECOND;
  #refilledAtMs = 0;

  /** Takes the right to start one draw, if there is one. */
  take(nowMs: number): boolean {
    const elapsedMs = Math.max(0, nowMs - this.#refilledAtMs);
    this.#refilledAtMs = nowMs;
    const earned = elapsedMs * this.#perSecond / MS_PER_SECOND;
    const most = Math.max(1, this.#perSecond);
    this.#tokens = Math.min(most, this.#tokens + earned);
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }

  /** Adapts the pace to an answer of the platform. */
  record(answer: PlatformAnswer): void {
    switch (answer.kind) {
      case "stored":
        this.#set(this.#perSecond + SUCCESS_STEP);
        return;
      case "conflict":
        this.#set(this.#perSecond * CONFLICT_FACTOR);
        return;
      case "failed":
        this.#set(this.#perSecond * REFUSAL_FACTOR);
        return;
      case "found":
      case "absent":
      case "deleted":
      case "listed":
      case "changed":
        return;
      default:
        checkNever(answer);
    }
  }

  #set(perSecond: number): void {
    const most = Math.min(perSecond, MOST_PER_SECOND);
    this.#perSecond = Math.max(most, LEAST_PER_SECOND);
  }
}
