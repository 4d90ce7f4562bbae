/**
 * The number of calls that a target runs at a time.
 *
 * The adaptive limit rises while the tokens come faster than the target cadence
 * and the limit is what holds calls back, and falls in proportion when they
 * come slower. It relies on what the running nodes observe, since the load
 * reports of engines are late.
 */
import { checkNever } from "@camphorlock/types";
import type { LimitPolicy } from "./settings.ts";

/** Stands for no limit in messages, where infinity can't be sent. */
export const NO_LIMIT_SLOTS = 1_000_000;

const RISE_BELOW_SHARE = 0.92;
const FALL_ABOVE_SHARE = 1.05;
const MOST_FALL_SHARE = 0.7;
const MOST_RISE_SHARE = 1.3;
const MIN_TOKENS = 20;
const FORGET_AFTER_MS = 3_000;
/** Share of a new observation in the reported time between tokens. */
const SMOOTHING = 0.5;

/** What one window of observations showed. */
export interface LimitWindow {
  /** Whether calls waited for a slot in this window. */
  readonly wasBinding: boolean;
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
    this.#slots = computeInitial(policy);
    this.#windowStartMs = nowMs;
    this.#observedAtMs = nowMs;
  }

  /** The number of calls allowed at present. */
  get slots(): number {
    return this.#slots;
  }

  /** The observed time between two tokens of one stream, when known. */
  get tokenMs(): number | undefined {
    return this.#tokenMs;
  }

  /** Records that a stream gave tokens over a time. */
  recordTokens(tokens: number, streamMs: number): void {
    this.#tokens += tokens;
    this.#streamMs += streamMs;
  }

  /** Takes the limit that another dispatcher of the target had found. */
  setSlots(slots: number): void {
    if (this.#policy.kind !== "adaptive") return;
    const { leastSlots, mostSlots } = this.#policy;
    this.#slots = Math.min(mostSlots, Math.max(leastSlots, slots));
  }

  /** Closes the window when it's over, and adapts the limit. */
  update(window: LimitWindow, nowMs: number): void {
    const windowMs = this.#policy.kind === "adaptive"
      ? this.#policy.windowMs
      : 1_000;
    if (nowMs - this.#windowStartMs < windowMs) return;
    this.#windowStartMs = nowMs;
    if (this.#tokens < MIN_TOKENS) return this.#removeIdle(window, nowMs);
    this.#observedAtMs = nowMs;
    const observedMs = this.#streamMs / this.#tokens;
    const before = this.#tokenMs ?? observedMs;
    this.#tokenMs = before + SMOOTHING * (observedMs - before);
    this.#streamMs = 0;
    this.#tokens = 0;
    this.#updateSlots(observedMs, window);
  }

  /**
   * Forgets what was observed of an idle target. A slow target is thereby given
   * a few calls again, as many as the limit has left.
   */
  #removeIdle(window: LimitWindow, nowMs: number): void {
    if (window.running > 0) return;
    if (nowMs - this.#observedAtMs > FORGET_AFTER_MS) this.#tokenMs = undefined;
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
        const { running, wasBinding } = window;
        if (ratio > FALL_ABOVE_SHARE) {
          const share = Math.max(MOST_FALL_SHARE, 1 / ratio);
          this.setSlots(Math.floor(Math.min(this.#slots, running) * share));
        } else if (ratio < RISE_BELOW_SHARE && wasBinding) {
          const share = Math.min(MOST_RISE_SHARE, 1 / ratio);
          this.setSlots(Math.max(this.#slots + 1, Math.floor(running * share)));
        }
        return;
      }
      default:
        return checkNever(this.#policy);
    }
  }
}

function computeInitial(policy: LimitPolicy): number {
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
