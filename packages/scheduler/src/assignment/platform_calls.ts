/**
 * The platform calls of the assigner: their tokens, the wait after failures
 * and the bound on conditional updates.
 */
import type {
  Effect,
  PlatformRequest,
  ShardAssignment,
} from "@camphorlock/types";
import { computeFraction } from "../hash.ts";
import type { StoredShard } from "./messages.ts";
import type { AssignmentSettings } from "./settings.ts";

/** A platform call that waits for its answer. */
export type OpenCall =
  | { readonly kind: "list" }
  | { readonly kind: "watch" }
  | { readonly kind: "read"; readonly group: number }
  | {
    readonly kind: "write";
    readonly group: number;
    readonly shards: readonly StoredShard[];
    /** What the write replaces, to tell those concerned. */
    readonly replaced: readonly ShardAssignment[];
  };

interface SentCall {
  readonly call: OpenCall;
  readonly sentAtMs: number;
}

const MS_PER_SECOND = 1_000;
const MAX_DOUBLINGS = 8;

/** The open calls of one assigner. */
export class PlatformCalls {
  readonly #settings: AssignmentSettings;
  readonly #name: string;
  readonly #open = new Map<number, SentCall>();
  #lastNumber = 0;
  #failures = 0;
  #waitUntilMs = 0;
  #writeCredit: number;
  #creditAtMs = 0;

  /** `name` makes the waits of different nodes differ. */
  constructor(settings: AssignmentSettings, name: string) {
    this.#settings = settings;
    this.#name = name;
    this.#writeCredit = settings.proposalsPerSecond;
  }

  /** Whether no wait after a failure is under way. */
  canCall(nowMs: number): boolean {
    return nowMs >= this.#waitUntilMs;
  }

  /** Takes the right to one conditional update, if there is one. */
  takeWrite(nowMs: number): boolean {
    const { proposalsPerSecond } = this.#settings;
    const sinceMs = nowMs - this.#creditAtMs;
    const earned = sinceMs * proposalsPerSecond / MS_PER_SECOND;
    this.#writeCredit = Math.min(
      this.#writeCredit + earned,
      proposalsPerSecond,
    );
    this.#creditAtMs = nowMs;
    if (this.#writeCredit < 1) return false;
    this.#writeCredit -= 1;
    return true;
  }

  /** Builds the effect of a call and notes it. */
  open(
    call: OpenCall,
    sent: { request: PlatformRequest; nowMs: number },
  ): Effect {
    this.#lastNumber += 1;
    const number = this.#lastNumber;
    this.#open.set(number, { call, sentAtMs: sent.nowMs });
    const token = { role: "assignment", number } as const;
    return { kind: "call_platform", token, request: sent.request };
  }

  /** Takes the call that an answer belongs to; late ones find none. */
  take(number: number): OpenCall | undefined {
    const sent = this.#open.get(number);
    this.#open.delete(number);
    return sent?.call;
  }

  /** Takes the calls whose answers count as lost. */
  takeTimedOut(nowMs: number): OpenCall[] {
    const timedOut: OpenCall[] = [];
    for (const [number, { call, sentAtMs }] of this.#open) {
      const isWatch = call.kind === "watch";
      const limitMs = isWatch
        ? this.#settings.watchTimeoutMs
        : this.#settings.callTimeoutMs;
      if (nowMs - sentAtMs < limitMs) continue;
      this.#open.delete(number);
      timedOut.push(call);
    }
    return timedOut;
  }

  /** Notes that the platform answered. */
  recordSuccess(): void {
    this.#failures = 0;
  }

  /** Notes that the platform didn't answer or refused, and waits. */
  recordFailure(nowMs: number): void {
    if (!this.canCall(nowMs)) return;
    const { backoffBaseMs, backoffLimitMs } = this.#settings;
    const doublings = Math.min(this.#failures, MAX_DOUBLINGS);
    const longestMs = Math.min(backoffBaseMs * 2 ** doublings, backoffLimitMs);
    this.#failures += 1;
    const jitter = computeFraction(`${this.#name}|${this.#failures}|${nowMs}`);
    this.#waitUntilMs = nowMs + longestMs * (0.5 + jitter / 2);
  }
}
