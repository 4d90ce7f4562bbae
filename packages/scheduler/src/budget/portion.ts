/**
 * One node's portion of one shared budget, with its draws and returns.
 *
 * A change is written on condition that the object still has the version that
 * was read. After a lost response the object is read back. If it contains the
 * change, the write took effect. If it has another version without the change,
 * the write can't take effect any more. Otherwise, the change is written again.
 */
import {
  checkNever,
  type Micros,
  type PlatformRequest,
  type PlatformResponse,
} from "@camphorlock/types";
import {
  applyBudgetChange,
  type BudgetChange,
  type BudgetObject,
  findHolder,
  formatBudgetObjectKey,
  hasChange,
  mergeRemovedHolders,
  sumBudget,
} from "./budget_object.ts";
import {
  buildWrite,
  computeRetryMs,
  type DrawState,
  type PendingChange,
} from "./draw_state.ts";
import { PortionAccount } from "./portion_account.ts";
import {
  computePortion,
  decodeStored,
  type DrawContext,
} from "./portion_size.ts";

/** The next portion is drawn when less than this part of the last is left. */
const DRAW_AHEAD_SHARE = 0.25;

/** Time before a draw on an exhausted budget is retried. */
export const EXHAUSTED_RETRY_MS = 5_000;

/** A node's portion of one shared budget. */
export class Portion {
  readonly key: string;
  readonly #account = new PortionAccount();
  #wantedMicros: Micros = 0;
  #wantsReturn = false;
  #lastPortionMicros: Micros = 0;
  #spentSinceDrawMicros: Micros = 0;
  #drawnAtMs = 0;
  #usedAtMs = 0;
  readonly #seed: string;
  #changeNumber = 0;
  #conflicts = 0;
  #exhaustedUntilMs = 0;
  #state: DrawState = { kind: "idle" };

  /** `seed` gives the retries of each process their own jitter. */
  constructor(key: string, seed: string) {
    this.key = key;
    this.#seed = seed;
  }

  /** The amount that can be reserved without a draw. */
  get availableMicros(): Micros {
    return this.#account.availableMicros;
  }

  /** The amount that this node has drawn and not returned. */
  get heldMicros(): Micros {
    return this.#account.heldMicros;
  }

  /** The time of the last reservation. */
  get usedAtMs(): number {
    return this.#usedAtMs;
  }

  /** Whether a platform request is in flight. */
  get hasOpenRequest(): boolean {
    const { kind } = this.#state;
    return kind !== "idle" && kind !== "waiting";
  }

  /** Whether a draw, a return or a retry is due. */
  needsCall(nowMs: number): boolean {
    if (this.#state.kind === "waiting") return this.#state.untilMs <= nowMs;
    return this.#state.kind === "idle" && this.#needsChange(nowMs);
  }

  /** Whether a call waits for more than is available. */
  get hasShortfall(): boolean {
    return this.#wantedMicros > this.availableMicros;
  }

  /** Whether the object recently had less left than was wanted. */
  isExhausted(nowMs: number): boolean {
    return nowMs < this.#exhaustedUntilMs;
  }

  /** Reserves an amount, or records it as wanted if less is available. */
  reserve(micros: Micros, nowMs: number): boolean {
    this.#usedAtMs = nowMs;
    this.#wantsReturn = false;
    if (this.#account.reserve(micros)) {
      this.#spentSinceDrawMicros += micros;
      const least = this.#lastPortionMicros * DRAW_AHEAD_SHARE;
      if (this.availableMicros < least) this.#updateWanted(micros);
      return true;
    }
    this.#updateWanted(micros);
    return false;
  }

  /** Settles a reservation with the amount that was charged. */
  settle(reservedMicros: Micros, chargedMicros: Micros): void {
    const unused = this.#account.settle(reservedMicros, chargedMicros);
    this.#spentSinceDrawMicros -= unused;
  }

  /** Requests that the unreserved amount be returned. */
  release(): void {
    this.#wantsReturn = true;
    this.#wantedMicros = 0;
  }

  /** Starts what is due; returns the request to send, if any. */
  handleTick(nowMs: number): PlatformRequest | undefined {
    const state = this.#state;
    switch (state.kind) {
      case "idle":
        return this.#needsChange(nowMs) ? this.#read() : undefined;
      case "waiting":
        if (state.untilMs > nowMs) return undefined;
        return state.change === undefined
          ? this.#read()
          : this.#readBack(state.change);
      case "reading":
      case "writing":
      case "settling":
        return undefined;
      default:
        return checkNever(state);
    }
  }

  /** Handles a response; returns the next request, if any. */
  handleResponse(
    response: PlatformResponse,
    options: { readonly context: DrawContext; readonly nowMs: number },
  ): PlatformRequest | undefined {
    const state = this.#state;
    switch (state.kind) {
      case "reading":
        return this.#handleRead(response, options);
      case "writing":
        return this.#handleWritten(state.change, response, options.nowMs);
      case "settling":
        return this.#handleReadBack(state.change, response, options.nowMs);
      case "idle":
      case "waiting":
        return undefined;
      default:
        return checkNever(state);
    }
  }

  #updateWanted(micros: Micros): void {
    this.#wantedMicros = Math.max(this.#wantedMicros, micros);
  }

  #needsChange(nowMs: number): boolean {
    const draws = this.#wantedMicros > 0 && !this.isExhausted(nowMs);
    const returns = this.#wantsReturn && this.availableMicros > 0;
    return draws || returns;
  }

  #read(): PlatformRequest {
    this.#state = { kind: "reading" };
    return { kind: "get", key: formatBudgetObjectKey(this.key) };
  }

  #readBack(change: PendingChange): PlatformRequest {
    this.#state = { kind: "settling", change };
    return { kind: "get", key: formatBudgetObjectKey(this.key) };
  }

  #handleRead(
    response: PlatformResponse,
    options: { readonly context: DrawContext; readonly nowMs: number },
  ): PlatformRequest | undefined {
    const stored = decodeStored(response);
    if (stored === undefined) return this.#scheduleRetry(options.nowMs);
    const { context, nowMs } = options;
    const budget = mergeRemovedHolders(stored.budget, context.present);
    const micros = this.#wantsReturn
      ? -this.availableMicros
      : this.#computeDraw(budget, { context, nowMs });
    if (micros === 0) return this.#endChange();
    const change = {
      ...context.owner,
      changeNumber: this.#changeNumber + 1,
      micros,
    };
    const applied = applyBudgetChange(budget, change, context.limitMicros);
    if (applied.isErr()) return this.#handleRefused(change, nowMs);
    this.#changeNumber += 1;
    if (micros < 0) this.#account.returningMicros = -micros;
    const { version } = stored;
    return this.#write({ ...change, version, object: applied.value });
  }

  /** Computes the draw; zero when less than the wanted amount is left. */
  #computeDraw(
    budget: BudgetObject,
    options: { readonly context: DrawContext; readonly nowMs: number },
  ): Micros {
    const { context, nowMs } = options;
    const leftMicros = context.limitMicros - sumBudget(budget);
    if (leftMicros < this.#wantedMicros) {
      this.#exhaustedUntilMs = nowMs + EXHAUSTED_RETRY_MS;
      return 0;
    }
    return computePortion({
      wantedMicros: this.#wantedMicros,
      leftMicros,
      usedMicros: this.#spentSinceDrawMicros,
      usedMs: nowMs - this.#drawnAtMs,
      lastPortionMicros: this.#lastPortionMicros,
      horizonMs: context.horizonMs,
      nodes: context.present.size,
    });
  }

  #write(change: PendingChange): PlatformRequest {
    this.#state = { kind: "writing", change };
    return buildWrite(this.key, change);
  }

  #handleWritten(
    change: PendingChange,
    response: PlatformResponse,
    nowMs: number,
  ): PlatformRequest | undefined {
    if (response.kind === "stored") return this.#confirm(change, nowMs);
    if (response.kind === "conflict") this.#conflicts += 1;
    return this.#scheduleRetry(nowMs, change);
  }

  #handleReadBack(
    change: PendingChange,
    response: PlatformResponse,
    nowMs: number,
  ): PlatformRequest | undefined {
    const stored = decodeStored(response);
    if (stored === undefined) return this.#scheduleRetry(nowMs, change);
    if (hasChange(stored.budget, change)) return this.#confirm(change, nowMs);
    if (stored.version === change.version) return this.#write(change);
    // A missing entry may have been merged after the return was stored.
    const isMissing = findHolder(stored.budget, change) === undefined;
    if (change.micros < 0 && isMissing) return this.#confirm(change, nowMs);
    this.#account.returningMicros = 0;
    return this.#read();
  }

  #confirm(change: PendingChange, nowMs: number): undefined {
    this.#conflicts = 0;
    this.#account.heldMicros += change.micros;
    this.#account.returningMicros = 0;
    if (change.micros > 0) {
      this.#lastPortionMicros = change.micros;
      this.#spentSinceDrawMicros = 0;
      this.#drawnAtMs = nowMs;
      this.#wantedMicros = 0;
    }
    return this.#endChange();
  }

  #handleRefused(change: BudgetChange, nowMs: number): undefined {
    // An amount that can't be returned counts as spent and leaves the portion.
    if (change.micros < 0) this.#account.heldMicros += change.micros;
    else this.#exhaustedUntilMs = nowMs + EXHAUSTED_RETRY_MS;
    return this.#endChange();
  }

  #endChange(): undefined {
    if (this.#wantsReturn) this.#wantsReturn = false;
    this.#state = { kind: "idle" };
    return undefined;
  }

  #scheduleRetry(nowMs: number, change?: PendingChange): undefined {
    const name = `${this.#seed}/${this.key}/${this.#changeNumber}`;
    const untilMs = nowMs + computeRetryMs(name, this.#conflicts);
    this.#state = { kind: "waiting", untilMs, change };
    return undefined;
  }
}
