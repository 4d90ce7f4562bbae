/**
 * What the requests of this gateway that run at one target still need: work in
 * ms, and tokens of its memory.
 */
import type { PromptPart } from "../model/request_fields.ts";

/** Share of the expected work that a request counts for that exceeds it. */
const OVERDUE_SHARE = 0.25;

/** Shared parts that are remembered between two reports. */
const MAX_SENT_PARTS = 64;

/** The expected work of one attempt, at a target of average speed. */
export interface AttemptWork {
  /** Until the first event or the response, with the wait, at this target. */
  readonly firstMs: number;
  /** Prefill and generation, or the plain call. */
  readonly runMs: number;
  /** Work that is expected of a request that has exceeded `runMs`. */
  readonly lateMs: number;
  /** Prompt tokens that the target probably hasn't cached. */
  readonly uncachedTokens: number;
  /** Wait that was expected. */
  readonly waitMs: number;
  /** Tokens of its own that the request holds, without the shared parts. */
  readonly ownTokens: number;
  /** Parts that requests may share, each held once. */
  readonly shared: readonly PromptPart[];
}

/** An attempt that runs, with what its target has sent so far. */
export interface RunningWork {
  readonly work: AttemptWork;
  readonly startedAtMs: number;
  readonly firstEventAtMs: number | undefined;
  readonly lastEventAtMs: number | undefined;
  readonly events: number;
}

type MutableWork = { -readonly [Key in keyof RunningWork]: RunningWork[Key] };

interface HeldPart {
  readonly tokens: number;
  holders: number;
}

/** The requests of this gateway that run at one target. */
export class HeldWork {
  readonly #running = new Map<string, MutableWork>();
  readonly #parts = new Map<string, HeldPart>();
  #ownTokens = 0;
  #sentTokens = 0;
  #sentParts = new Map<string, number>();

  /** Tokens that the requests hold of their own. */
  get ownTokens(): number {
    return this.#ownTokens;
  }

  /** The shared parts that they hold, with their tokens. */
  get parts(): ReadonlyMap<string, { readonly tokens: number }> {
    return this.#parts;
  }

  find(requestId: string): RunningWork | undefined {
    return this.#running.get(requestId);
  }

  add(requestId: string, work: AttemptWork, nowMs: number): void {
    this.#running.set(requestId, {
      work,
      startedAtMs: nowMs,
      firstEventAtMs: undefined,
      lastEventAtMs: undefined,
      events: 0,
    });
    this.#ownTokens += work.ownTokens;
    for (const { id, tokens } of work.shared) {
      const part = this.#parts.get(id) ?? { tokens, holders: 0 };
      part.holders += 1;
      this.#parts.set(id, part);
      if (this.#sentParts.size < MAX_SENT_PARTS) {
        this.#sentParts.set(id, tokens);
      }
    }
    this.#sentTokens += work.ownTokens;
  }

  /** Takes what was sent to the target since the last call. */
  takeSent(): { readonly tokens: number; readonly parts: Map<string, number> } {
    const sent = { tokens: this.#sentTokens, parts: this.#sentParts };
    this.#sentTokens = 0;
    this.#sentParts = new Map();
    return sent;
  }

  /** Records an event of a stream. */
  recordEvent(requestId: string, nowMs: number): void {
    const running = this.#running.get(requestId);
    if (running === undefined) return;
    running.firstEventAtMs ??= nowMs;
    running.lastEventAtMs = nowMs;
    running.events += 1;
  }

  /** Removes an attempt and returns it. */
  take(requestId: string): RunningWork | undefined {
    const running = this.#running.get(requestId);
    if (running === undefined) return undefined;
    this.#running.delete(requestId);
    this.#ownTokens -= running.work.ownTokens;
    for (const { id } of running.work.shared) {
      const part = this.#parts.get(id);
      if (part === undefined) continue;
      part.holders -= 1;
      if (part.holders === 0) this.#parts.delete(id);
    }
    return running;
  }

  /** Computes the work that is left, at average speed. */
  computeRemainingMs(nowMs: number): number {
    let sumMs = 0;
    for (const { work, startedAtMs } of this.#running.values()) {
      const leftMs = work.runMs + work.waitMs - (nowMs - startedAtMs);
      sumMs += Math.max(Math.min(leftMs, work.runMs), computeLateMs(work));
    }
    return sumMs;
  }
}

function computeLateMs({ lateMs, runMs }: AttemptWork): number {
  return Math.max((lateMs - runMs) / 2, runMs * OVERDUE_SHARE);
}
