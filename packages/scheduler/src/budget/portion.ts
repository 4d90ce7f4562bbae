/**
 * One node's portion of one shared budget, and the changes by which it grows
 * and shrinks.
 *
 * A change is written under the version of the object that it was built on.
 * After a lost answer the object is read back: the change is in it, or the
 * version has moved on and the change can never be, or it's written again.
 */
import {
  checkNever,
  type Micros,
  type PlatformAnswer,
  type PlatformRequest,
} from "@camphorlock/types";
import {
  applyBudgetChange,
  type BudgetChange,
  type BudgetObject,
  findHolder,
  formatBudgetObjectKey,
  hasChange,
  mergeGoneHolders,
  sumBudget,
} from "./budget_object.ts";
import {
  buildWrite,
  computeRetryMs,
  type DrawState,
  type OpenChange,
} from "./draw_state.ts";
import { PortionAccount } from "./portion_account.ts";
import {
  computePortion,
  type DrawContext,
  readStored,
} from "./portion_size.ts";

/** Share of the last portion that is left when the next one is drawn. */
const DRAW_AHEAD_PART = 0.25;

/** An exhausted budget isn't asked again for this long. */
export const EXHAUSTED_MS = 5_000;

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

  /** `seed` tells the retries of different processes apart. */
  constructor(key: string, seed: string) {
    this.key = key;
    this.#seed = seed;
  }

  /** What can be reserved at once. */
  get restMicros(): Micros {
    return this.#account.restMicros;
  }

  /** What this node has drawn and not returned. */
  get heldMicros(): Micros {
    return this.#account.heldMicros;
  }

  /** When the portion was last reserved from. */
  get usedAtMs(): number {
    return this.#usedAtMs;
  }

  /** Whether an answer of the platform is awaited. */
  get isAsking(): boolean {
    const { kind } = this.#state;
    return kind !== "idle" && kind !== "waiting";
  }

  /** Whether a draw, a return or a retry is due. */
  needsCall(nowMs: number): boolean {
    if (this.#state.kind === "waiting") return this.#state.untilMs <= nowMs;
    return this.#state.kind === "idle" && this.#needsChange(nowMs);
  }

  /** Whether a call waits for more than the portion has. */
  get isShort(): boolean {
    return this.#wantedMicros > this.restMicros;
  }

  /** Whether the object has lately had less than was wanted. */
  isExhausted(nowMs: number): boolean {
    return nowMs < this.#exhaustedUntilMs;
  }

  /** Takes an amount from the portion, or notes that it's wanted. */
  reserve(micros: Micros, nowMs: number): boolean {
    this.#usedAtMs = nowMs;
    this.#wantsReturn = false;
    if (this.#account.reserve(micros)) {
      this.#spentSinceDrawMicros += micros;
      const least = this.#lastPortionMicros * DRAW_AHEAD_PART;
      if (this.restMicros < least) this.#computeWanted(micros);
      return true;
    }
    this.#computeWanted(micros);
    return false;
  }

  /** Settles a reservation to what was charged of it. */
  settle(reservedMicros: Micros, chargedMicros: Micros): void {
    const unused = this.#account.settle(reservedMicros, chargedMicros);
    this.#spentSinceDrawMicros -= unused;
  }

  /** Asks for what isn't needed to be given back. */
  release(): void {
    this.#wantsReturn = true;
    this.#wantedMicros = 0;
  }

  /** Starts what is due; gives the request to send, if any. */
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

  /** Takes the answer to the open request; gives the next one, if any. */
  handleAnswer(
    answer: PlatformAnswer,
    options: { readonly context: DrawContext; readonly nowMs: number },
  ): PlatformRequest | undefined {
    const state = this.#state;
    switch (state.kind) {
      case "reading":
        return this.#handleRead(answer, options);
      case "writing":
        return this.#handleWritten(state.change, answer, options.nowMs);
      case "settling":
        return this.#handleReadBack(state.change, answer, options.nowMs);
      case "idle":
      case "waiting":
        return undefined;
      default:
        return checkNever(state);
    }
  }

  #computeWanted(micros: Micros): void {
    this.#wantedMicros = Math.max(this.#wantedMicros, micros);
  }

  #needsChange(nowMs: number): boolean {
    const draws = this.#wantedMicros > 0 && !this.isExhausted(nowMs);
    const returns = this.#wantsReturn && this.restMicros > 0;
    return draws || returns;
  }

  #read(): PlatformRequest {
    this.#state = { kind: "reading" };
    return { kind: "get", key: formatBudgetObjectKey(this.key) };
  }

  #readBack(change: OpenChange): PlatformRequest {
    this.#state = { kind: "settling", change };
    return { kind: "get", key: formatBudgetObjectKey(this.key) };
  }

  #handleRead(
    answer: PlatformAnswer,
    options: { readonly context: DrawContext; readonly nowMs: number },
  ): PlatformRequest | undefined {
    const stored = readStored(answer);
    if (stored === undefined) return this.#wait(options.nowMs);
    const { context, nowMs } = options;
    const budget = mergeGoneHolders(stored.budget, context.present);
    const micros = this.#wantsReturn
      ? -this.restMicros
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

  /** How much to draw; zero when the object has less than is wanted. */
  #computeDraw(
    budget: BudgetObject,
    options: { readonly context: DrawContext; readonly nowMs: number },
  ): Micros {
    const { context, nowMs } = options;
    const leftMicros = context.limitMicros - sumBudget(budget);
    if (leftMicros < this.#wantedMicros) {
      this.#exhaustedUntilMs = nowMs + EXHAUSTED_MS;
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

  #write(change: OpenChange): PlatformRequest {
    this.#state = { kind: "writing", change };
    return buildWrite(this.key, change);
  }

  #handleWritten(
    change: OpenChange,
    answer: PlatformAnswer,
    nowMs: number,
  ): PlatformRequest | undefined {
    if (answer.kind === "stored") return this.#addDrawn(change, nowMs);
    if (answer.kind === "conflict") this.#conflicts += 1;
    return this.#wait(nowMs, change);
  }

  #handleReadBack(
    change: OpenChange,
    answer: PlatformAnswer,
    nowMs: number,
  ): PlatformRequest | undefined {
    const stored = readStored(answer);
    if (stored === undefined) return this.#wait(nowMs, change);
    if (hasChange(stored.budget, change)) return this.#addDrawn(change, nowMs);
    if (stored.version === change.version) return this.#write(change);
    // Without an entry a return can't be told from one that was merged away.
    const isForgotten = findHolder(stored.budget, change) === undefined;
    if (change.micros < 0 && isForgotten) return this.#addDrawn(change, nowMs);
    this.#account.returningMicros = 0;
    return this.#read();
  }

  #addDrawn(change: OpenChange, nowMs: number): undefined {
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
    // What can't be returned is counted as spent: it mustn't be used either.
    if (change.micros < 0) this.#account.heldMicros += change.micros;
    else this.#exhaustedUntilMs = nowMs + EXHAUSTED_MS;
    return this.#endChange();
  }

  #endChange(): undefined {
    if (this.#wantsReturn) this.#wantsReturn = false;
    this.#state = { kind: "idle" };
    return undefined;
  }

  #wait(nowMs: number, change?: OpenChange): undefined {
    const name = `${this.#seed}/${this.key}/${this.#changeNumber}`;
    const untilMs = nowMs + computeRetryMs(name, this.#conflicts);
    this.#state = { kind: "waiting", untilMs, change };
    return undefined;
  }
}
