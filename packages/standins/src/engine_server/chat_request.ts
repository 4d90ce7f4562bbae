/**
 * Parses the chat-completions requests that the engine stand-in accepts.
 */
import { createHash } from "node:crypto";
import type { AttemptId, ChatMessage, ProgramId } from "@camphorlock/types";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import {
  buildCompletionText,
  type CompletionText,
  countTokens,
  encodeMessage,
} from "./completion_text.ts";
import type { GenerateRequest, PromptPart } from "../engine/engine_types.ts";

const DEFAULT_MAX_TOKENS = 256;

const CHAT_BODY = z.object({
  model: z.string().min(1),
  messages: z.array(z.object({
    role: z.enum(["system", "user", "assistant", "tool"]),
    content: z.string(),
  })).min(1),
  max_tokens: z.int().positive().optional(),
  stream: z.literal(true),
  continue_final_message: z.boolean().optional(),
});

/** A request with the completion that the stand-in generates for it. */
export interface PlannedCompletion {
  readonly request: GenerateRequest;
  readonly answer: CompletionText;
  /** Characters of the completion that the caller already has. */
  readonly prefixLength: number;
}

/** The identifiers in the request headers. */
export interface RequestIds {
  readonly attemptId: AttemptId;
  readonly programId: ProgramId;
}

/** Plans the completion for a request body, or returns why it's invalid. */
export function parseChatRequest(
  body: unknown,
  ids: RequestIds,
): Result<PlannedCompletion, string> {
  const parsed = CHAT_BODY.safeParse(body);
  if (!parsed.success) return err(z.prettifyError(parsed.error));
  const { data } = parsed;
  const continues = data.continue_final_message === true;
  const messages = continues ? data.messages.slice(0, -1) : data.messages;
  const prefix = continues ? data.messages.at(-1)?.content ?? "" : "";
  const maxTokens = data.max_tokens ?? DEFAULT_MAX_TOKENS;
  const completion = buildCompletionText(messages, maxTokens);
  if (!completion.text.startsWith(prefix)) {
    return err("the continued message isn't the beginning of the answer");
  }
  const parts = buildParts(messages);
  const final: ChatMessage = { role: "assistant", content: completion.text };
  const stored = buildParts([...messages, final]).at(-1);
  return ok({
    request: {
      ...ids,
      model: data.model,
      promptTokens: parts.at(-1)?.tokens ?? 1,
      parts,
      storeKey: stored?.key ?? "",
      completionTokens: completion.ends.length,
      producedTokens: completion.ends.filter((end) =>
        end <= prefix.length
      ).length,
    },
    answer: completion,
    prefixLength: prefix.length,
  });
}

/** Builds the cacheable parts of a prompt. Each adds one message. */
function buildParts(messages: readonly ChatMessage[]): PromptPart[] {
  const hash = createHash("sha256");
  let tokens = 0;
  return messages.map((message, index) => {
    hash.update(encodeMessage(message));
    tokens += countTokens(message.content);
    return {
      key: hash.copy().digest("base64url"),
      tokens: Math.max(1, tokens),
      shared: index === 0 && message.role === "system",
    };
  });
}
