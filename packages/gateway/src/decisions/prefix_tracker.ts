/**
 * Tracks which parts of prompts this gateway has sent to a target, so that
 * prompts go where most of their tokens are cached.
 */
import type { PromptPart } from "../model/request_fields.ts";

/** Parts tracked per target; beyond it the least recently used are evicted. */
const MAX_TRACKED_PARTS = 512;

/** The parts that one target has probably cached. */
export class PrefixTracker {
  /** Tokens by part; the insertion order is the order of use. */
  readonly #parts = new Map<string, number>();

  /** Records that a prompt is sent to the target. */
  record(prompt: readonly PromptPart[]): void {
    for (const { id, tokens } of prompt) {
      this.#parts.delete(id);
      this.#parts.set(id, tokens);
    }
    for (const id of this.#parts.keys()) {
      if (this.#parts.size <= MAX_TRACKED_PARTS) break;
      this.#parts.delete(id);
    }
  }

  /**
   * Counts the prompt tokens that the target probably hasn't cached.
   * `firstUncachedShared` is the first shared part that it hasn't by the load
   * view, or -1, where there is a view: a gateway can't know from its own
   * requests when others displaced a part.
   */
  countUncached(
    prompt: readonly PromptPart[],
    firstUncachedShared?: number,
  ): number {
    const first = firstUncachedShared === undefined
      ? prompt.findIndex(({ id }) => !this.#parts.has(id))
      : firstUncachedShared >= 0
      ? firstUncachedShared
      : prompt.findIndex(({ id }, index) =>
        index === prompt.length - 1 && !this.#parts.has(id)
      );
    if (first < 0) return 0;
    return prompt.slice(first).reduce((sum, { tokens }) => sum + tokens, 0);
  }
}
