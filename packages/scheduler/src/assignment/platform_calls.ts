/**
 * The platform calls of the assigner: their tokens, the back-off after failures
 * and the rate limit of conditional updates.
 */
import type {
  Effect,
  PlatformRequest,
  ShardAssignment,
} from "@camphorlock/types";
import { computeFraction } from "../hash.ts";
import type { StoredShard } from "./messages.ts";
import type { AssignmentSettings } from "./settings.ts";

/** A platform call in flight. */
export type PendingCall =
  | { readonly kind: "list" }
  | { readonly kind: "watch" }
  | { readonly kind: "read"; readonly group: number }
  | {
    readonly kind: "write";
    readonly group: number;
    readonly shards: readonly StoredShard[];
    /** The assignments that the write replaces, whose nodes are notified. */
    readonly replaced: readonly ShardAssignment[];
  };

interface TimedCall {
  readonly call: PendingCall;
  readonly sentAtMs: number;
}

const MS_PER_SECOND = 1_000;
const MAX_EXPONENT = 8;

/** The platform calls of one assigner that are in flight. */
export class PlatformCalls {
  readonly #settings: AssignmentSettings;
  readonly #jitterKey: string;
  readonly #pending = new Map<number, TimedCall>();
  #lastNumber = 0;
  #failures = 0;
  #backoffUntilMs = 0;
  #writeCredit: number;
  #creditAtMs = 0;

  /** `name` seeds the jitter, so that the back-offs of nodes differ. */
  constructor(settings: AssignmentSettings, name: string) {
    this.#settings = settings;
    this.#jitterKey = name;
    this.#writeCredit = settings.proposalsPerSecond;
  }

  /** Whether no back-off is in progress. */
  canCall(nowMs: number): boolean {
    return nowMs >= this.#backoffUntilMs;
  }

  /** Acquires a permit for one conditional update; false at the rate limit. */
  acquireWrite(nowMs: number): boolean {
    const { proposalsPerSecond } = this.#settings;
    const sinceMs = nowMs - this.#creditAtMs;
    const added = sinceMs * proposalsPerSecond / MS_PER_SECOND;
    this.#writeCredit = Math.min(
      this.#writeCredit + added,
      proposalsPerSecond,
    );
    this.#creditAtMs = nowMs;
    if (this.#writeCredit < 1) return false;
    this.#writeCredit -= 1;
    return true;
  }

  /** Registers a call in flight and builds its effect. */
  register(
    call: PendingCall,
    options: { request: PlatformRequest; nowMs: number },
  ): Effect {
    this.#lastNumber += 1;
    const number = this.#lastNumber;
    this.#pending.set(number, { call, sentAtMs: options.nowMs });
    const token = { role: "assignment", number } as const;
    return { kind: "call_platform", token, request: options.request };
  }

  /** Removes the call of a response; `undefined` if it has timed out. */
  takePending(number: number): PendingCall | undefined {
    const pending = this.#pending.get(number);
    this.#pending.delete(number);
    return pending?.call;
  }

  /** Removes and returns the calls that have timed out. */
  takeTimedOut(nowMs: number): PendingCall[] {
    const timedOut: PendingCall[] = [];
    for (const [number, { call, sentAtMs }] of this.#pending) {
      const isWatch = call.kind === "watch";
      const limitMs = isWatch
        ? this.#settings.watchTimeoutMs
        : this.#settings.callTimeoutMs;
      if (nowMs - sentAtMs < limitMs) continue;
      this.#pending.delete(number);
      timedOut.push(call);
    }
    return timedOut;
  }

  /** Resets the back-off after a response. */
  recordSuccess(): void {
    this.#failures = 0;
  }

  /** Starts a back-off after a timeout or a refusal. */
  recordFailure(nowMs: number): void {
    if (!this.canCall(nowMs)) return;
    const { backoffBaseMs, backoffLimitMs } = this.#settings;
    const exponent = Math.min(this.#failures, MAX_EXPONENT);
    const maxBackoffMs = Math.min(
      backoffBaseMs * 2 ** exponent,
      backoffLimitMs,
    );
    this.#failures += 1;
    const jitter = computeFraction(
      `${this.#jitterKey}|${this.#failures}|${nowMs}`,
    );
    this.#backoffUntilMs = nowMs + maxBackoffMs * (0.5 + jitter / 2);
  }
}
