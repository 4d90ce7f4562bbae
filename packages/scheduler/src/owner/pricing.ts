/**
 * The cost of calls, in micros.
 *
 * A call reserves its worst case before it's sent. The real cost never passes
 * the reservation, because the engine's output is bounded by `maxTokens` and
 * a prompt has at most one token a byte besides a fixed share a message.
 */
import type { Call, Micros, ModelCall, Usage } from "@camphorlock/types";

/** Upper bound of the tokens that a chat template adds to one message. */
const TEMPLATE_TOKENS_PER_MESSAGE = 16;

/** Prices in micros. */
export interface PriceList {
  readonly promptTokenMicros: Micros;
  readonly cachedTokenMicros: Micros;
  readonly completionTokenMicros: Micros;
  readonly serviceCallMicros: Micros;
}

/** Computes an upper bound of the prompt's tokens. */
export function computePromptBound(call: ModelCall): number {
  let bytes = 0;
  for (const message of call.messages) {
    bytes += Buffer.byteLength(message.content);
  }
  return bytes + call.messages.length * TEMPLATE_TOKENS_PER_MESSAGE;
}

/** Computes the most that one attempt of a call can cost. */
export function computeWorstCase(call: Call, prices: PriceList): Micros {
  if (call.kind === "service") return prices.serviceCallMicros;
  const prompt = computePromptBound(call) * prices.promptTokenMicros;
  return prompt + call.maxTokens * prices.completionTokenMicros;
}

/** Computes the cost of what an attempt used. */
export function computeCost(
  call: Call,
  usage: Usage,
  prices: PriceList,
): Micros {
  if (call.kind === "service") return prices.serviceCallMicros;
  const fresh = Math.max(0, usage.promptTokens - usage.cachedTokens);
  return fresh * prices.promptTokenMicros +
    usage.cachedTokens * prices.cachedTokenMicros +
    usage.completionTokens * prices.completionTokenMicros;
}
