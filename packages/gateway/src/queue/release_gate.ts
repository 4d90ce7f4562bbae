/**
 * Whether the next request of a queue may go to its best target now, and when
 * it should ask again.
 */
import type { PlacementChoice } from "../placement/work_estimate.ts";
import { ReleasePace } from "./release_pace.ts";

/** Longest time between two steps while requests wait. */
export const MAX_STEP_MS = 25;
/** Shortest one; a wait at a target is known no better. */
const MIN_STEP_MS = 2;
/**
 * Time without a release after which one request goes although the wait at its
 * target seems too long, if this gateway has none there: the estimate may be
 * out of date, and nothing else would renew it.
 */
const PROBE_AFTER_MS = 200;
/** Share of the waiting requests that go to full targets in 25 ms. */
const FULL_PROBE_SHARE = 0.25;

/** The request that asks to go, and its best target. */
export interface GateRequest {
  readonly choice: PlacementChoice;
  /** The wait at the target that its class may use. */
  readonly maxBacklogMs: number;
  /** The wait to which targets should be filled; undefined if it's exempt. */
  readonly intendedMs: number | undefined;
  /** Number of waiting requests. */
  readonly waiting: number;
}

/** The gate of one queue. */
export class ReleaseGate {
  readonly #pace = new ReleasePace();
  #lastReleaseMs = Number.NEGATIVE_INFINITY;
  #nextFullProbeMs = 0;
  #stepMs = MAX_STEP_MS;
  #isShut = false;

  /** Time until the next step, as far as the requests that asked need it. */
  get stepMs(): number {
    return this.#stepMs;
  }

  /** Whether what held back one request in this step holds back all. */
  get isShut(): boolean {
    return this.#isShut;
  }

  /** Begins a step. */
  startStep(): void {
    this.#stepMs = MAX_STEP_MS;
    this.#isShut = false;
  }

  /** Records that no target can take any request in this step. */
  close(): void {
    this.#isShut = true;
  }

  /** Records that a queue begins to fill. */
  recordFirst(nowMs: number): void {
    // The time since an earlier release says nothing of the targets now.
    this.#lastReleaseMs = Math.max(this.#lastReleaseMs, nowMs - MAX_STEP_MS);
  }

  recordRelease(nowMs: number): void {
    this.#lastReleaseMs = nowMs;
    this.#pace.recordRelease(nowMs);
  }

  /** Whether the request may go. */
  canGo(request: GateRequest, nowMs: number): boolean {
    const { choice: { entry, estimate }, maxBacklogMs, intendedMs } = request;
    const { waitMs } = estimate;
    if (intendedMs !== undefined) {
      this.#pace.update({ waitMs, intendedMs }, nowMs);
    }
    if (waitMs > maxBacklogMs) {
      this.#addStep(waitMs - maxBacklogMs);
      return nowMs - this.#lastReleaseMs >= PROBE_AFTER_MS &&
        entry.running === 0;
    }
    const paceMs = intendedMs === undefined ? 0 : this.#pace.countWaitMs();
    if (paceMs > 0) {
      this.#addStep(paceMs);
      this.#isShut = true;
      return false;
    }
    return this.#canProbe(request, nowMs);
  }

  /**
   * A target is avoided only if every target has rejected a request lately.
   * Some of the waiting requests find out whether that has changed.
   */
  #canProbe({ choice, waiting }: GateRequest, nowMs: number): boolean {
    if (choice.entry.avoidedUntilMs <= nowMs || waiting === 0) return true;
    if (nowMs < this.#nextFullProbeMs) return false;
    this.#nextFullProbeMs = nowMs +
      MAX_STEP_MS / Math.ceil(waiting * FULL_PROBE_SHARE);
    return true;
  }

  #addStep(inMs: number): void {
    this.#stepMs = Math.min(this.#stepMs, Math.max(MIN_STEP_MS, inMs));
  }
}
