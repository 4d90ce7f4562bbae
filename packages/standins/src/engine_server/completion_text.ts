/**
 * The text that the engine stand-in generates, derived from the prompt.
 *
 * The same prompt always gives the same completion, so that tests and history
 * checkers can detect a truncated completion or one of another prompt.
 */
import { createHash } from "node:crypto";
import type { ChatMessage } from "@camphorlock/types";

const CHARACTERS_PER_TOKEN = 4;
const MIN_TOKENS = 8;
const TOKEN_COUNT_RANGE = 56;
const LENGTH_DIRECTIVE = /\[answer_tokens=(\d+)\]/;
const WORDS = [
  "amber",
  "basin",
  "cedar",
  "delta",
  "ember",
  "flint",
  "grain",
  "hazel",
  "ivory",
  "jetty",
  "kiln",
  "lumen",
  "maple",
  "nickel",
  "olive",
  "pearl",
] as const;

/** The text of a completion, and where each of its tokens ends. */
export interface CompletionText {
  readonly text: string;
  /** For each token, the number of characters up to its end. */
  readonly ends: readonly number[];
}

/** Estimates the tokens of a text from its number of characters. */
export function countTokens(text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN);
}

/**
 * Builds the completion of a prompt. `[answer_tokens=N]` in the last message
 * sets its length in tokens; otherwise the length is derived from the prompt.
 */
export function buildCompletionText(
  messages: readonly ChatMessage[],
  maxTokens: number,
): CompletionText {
  const hash = createHash("sha256");
  for (const message of messages) hash.update(encodeMessage(message));
  const seed = hash.digest();
  const count = Math.min(maxTokens, chooseTokenCount(messages, seed));
  const ends: number[] = [];
  let text = "";
  let state = seed.readUInt32LE(0);
  for (let index = 0; index < count; index += 1) {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    text += `${WORDS[state >>> 28] ?? ""}${state >>> 20 & 0xff} `;
    ends.push(text.length);
  }
  return { text, ends };
}

/** Encodes a message for hashing. No two message lists encode alike. */
export function encodeMessage(message: ChatMessage): string {
  return JSON.stringify([message.role, message.content]);
}

function chooseTokenCount(
  messages: readonly ChatMessage[],
  seed: Buffer,
): number {
  const directive = LENGTH_DIRECTIVE.exec(messages.at(-1)?.content ?? "");
  if (directive !== null) return Math.max(1, Number(directive[1]));
  return MIN_TOKENS + seed.readUInt32LE(4) % TOKEN_COUNT_RANGE;
}
