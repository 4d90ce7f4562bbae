/**
 * Remembers which parts of prompts a target has read, as far as this gateway
 * sent them, in order to send prompts where most of them is kept.
 */
import type { PromptPart } from "../model/request_fields.ts";

/** Parts remembered for one target; beyond it the least recent are dropped. */
const MAX_PARTS = 512;

/** The parts that one target has probably kept. */
export class PrefixMemory {
  /** Tokens by part; the order of insertion is that of use. */
  readonly #parts = new Map<string, number>();

  /** Records that a target reads a prompt. */
  record(prompt: readonly PromptPart[]): void {
    for (const { id, tokens } of prompt) {
      this.#parts.delete(id);
      this.#parts.set(id, tokens);
    }
    for (const id of this.#parts.keys()) {
      if (this.#parts.size <= MAX_PARTS) break;
      this.#parts.delete(id);
    }
  }

  /** Counts the tokens that the target would read anew. */
  countMissing(prompt: readonly PromptPart[]): number {
    const firstMissing = prompt.findIndex(({ id }) => !this.#parts.has(id));
    if (firstMissing < 0) return 0;
    return prompt.slice(firstMissing)
      .reduce((sum, { tokens }) => sum + tokens, 0);
  }
}
