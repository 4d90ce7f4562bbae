/**
 * The number of calls that a target runs at a time.
 *
 * The adaptive limit rises while the time between tokens is below
 * `targetTokenMs` and calls wait for a slot. It falls in proportion when the
 * time is above `targetTokenMs`.
 * It relies on the token rate that the calling nodes observe, since the load
 * reports of engines are late.
 */
import { checkNever } from "@camphorlock/types";
import type { LimitPolicy } from "./settings.ts";

/** Means no limit in messages, which can't contain infinity. */
export const NO_LIMIT_SLOTS = 1_000_000;

/** Ratios of the observed time between tokens to `targetTokenMs`. */
const INCREASE_BELOW_RATIO = 0.92;
const DECREASE_ABOVE_RATIO = 1.05;
/** Bounds on the factor by which the limit changes in one window. */
const MIN_DECREASE_FACTOR = 0.7;
const MAX_INCREASE_FACTOR = 1.3;
/** Tokens below which a window is extended. */
const MIN_TOKENS = 20;
/** Age at which the observation of an idle target expires. */
const EXPIRE_AFTER_MS = 3_000;
/** Weight of a new observation in the reported time between tokens. */
const SMOOTHING = 0.5;

/** The load on a target in one window of observations. */
export interface LimitWindow {
  /** Whether calls waited for a slot in this window. */
  readonly hadWaitingCalls: boolean;
  readonly running: number;
}

/** The limit of one target. */
export class ConcurrencyLimit {
  readonly #policy: LimitPolicy;
  #slots: number;
  #tokenMs: number | undefined;
  #streamMs = 0;
  #tokens = 0;
  #windowStartMs: number;
  #observedAtMs: number;

  constructor(policy: LimitPolicy, nowMs: number) {
    this.#policy = policy;
    this.#slots = computeInitialSlots(policy);
    this.#windowStartMs = nowMs;
    this.#observedAtMs = nowMs;
  }

  /** The current limit. */
  get slots(): number {
    return this.#slots;
  }

  /** The observed time between two tokens of one stream, if any. */
  get tokenMs(): number | undefined {
    return this.#tokenMs;
  }

  /** Records the tokens that a stream produced over a time. */
  recordTokens(tokens: number, streamMs: number): void {
    this.#tokens += tokens;
    this.#streamMs += streamMs;
  }

  /** Sets an adaptive limit, within its bounds. */
  setSlots(slots: number): void {
    if (this.#policy.kind !== "adaptive") return;
    const { leastSlots, mostSlots } = this.#policy;
    this.#slots = Math.min(mostSlots, Math.max(leastSlots, slots));
  }

  /** Adapts the limit at the end of each window. */
  update(window: LimitWindow, nowMs: number): void {
    const windowMs = this.#policy.kind === "adaptive"
      ? this.#policy.windowMs
      : 1_000;
    if (nowMs - this.#windowStartMs < windowMs) return;
    this.#windowStartMs = nowMs;
    if (this.#tokens < MIN_TOKENS) return this.#expireIdle(window, nowMs);
    this.#observedAtMs = nowMs;
    const observedMs = this.#streamMs / this.#tokens;
    const previousMs = this.#tokenMs ?? observedMs;
    this.#tokenMs = previousMs + SMOOTHING * (observedMs - previousMs);
    this.#streamMs = 0;
    this.#tokens = 0;
    this.#updateSlots(observedMs, window);
  }

  /**
   * Expires the observations of an idle target, so that a slow target gets
   * calls again, up to its reduced limit.
   */
  #expireIdle(window: LimitWindow, nowMs: number): void {
    if (window.running > 0) return;
    if (nowMs - this.#observedAtMs > EXPIRE_AFTER_MS) this.#tokenMs = undefined;
    this.#streamMs = 0;
    this.#tokens = 0;
  }

  #updateSlots(observedMs: number, window: LimitWindow): void {
    switch (this.#policy.kind) {
      case "none":
      case "fixed":
        return;
      case "adaptive": {
        const ratio = observedMs / this.#policy.targetTokenMs;
        const { running, hadWaitingCalls } = window;
        if (ratio > DECREASE_ABOVE_RATIO) {
          const factor = Math.max(MIN_DECREASE_FACTOR, 1 / ratio);
          this.setSlots(Math.floor(Math.min(this.#slots, running) * factor));
        } else if (ratio < INCREASE_BELOW_RATIO && hadWaitingCalls) {
          const factor = Math.min(MAX_INCREASE_FACTOR, 1 / ratio);
          this.setSlots(
            Math.max(this.#slots + 1, Math.floor(running * factor)),
          );
        }
        return;
      }
      default:
        return checkNever(this.#policy);
    }
  }
}

function computeInitialSlots(policy: LimitPolicy): number {
  switch (policy.kind) {
    case "none":
      return NO_LIMIT_SLOTS;
    case "fixed":
      return policy.slots;
    case "adaptive":
      return policy.initialSlots;
    default:
      return checkNever(policy);
  }
}
