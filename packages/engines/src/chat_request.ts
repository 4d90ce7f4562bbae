/**
 * The body of a chat-completions request.
 */
import type { AttemptOrder, ModelCall } from "@camphorlock/types";

/** Encodes a model call that continues from the prefix text, if it has one. */
export function encodeChatRequest(
  call: ModelCall,
  order: AttemptOrder,
): string {
  const continues = order.prefixText !== "";
  const messages = continues
    ? [...call.messages, { role: "assistant", content: order.prefixText }]
    : call.messages;
  return JSON.stringify({
    model: call.model,
    messages,
    max_tokens: call.maxTokens,
    stream: true,
    stream_options: { include_usage: true },
    ...(continues
      ? { continue_final_message: true, add_generation_prompt: false }
      : {}),
  });
}
