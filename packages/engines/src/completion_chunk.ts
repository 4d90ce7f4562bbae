/**
 * Parses the chunks of a streamed chat completion.
 */
import type { Usage } from "@camphorlock/types";
import { z } from "zod";

const CHUNK = z.object({
  /** The attempt that the text belongs to. */
  id: z.string(),
  /** Characters of the generated text before this chunk. */
  offset: z.number().optional(),
  /** Tokens in this chunk; one if absent and the chunk has text. */
  tokens: z.number().optional(),
  choices: z.array(z.object({
    delta: z.object({ content: z.string().nullish() }),
    finish_reason: z.string().nullish(),
  })),
  usage: z.object({
    prompt_tokens: z.number(),
    completion_tokens: z.number(),
    prompt_tokens_details: z.object({ cached_tokens: z.number().nullish() })
      .nullish(),
  }).nullish(),
});

/** One chunk of a streamed completion. */
export interface CompletionChunk {
  readonly id: string;
  readonly offset: number | undefined;
  readonly tokens: number;
  readonly text: string;
  readonly finished: boolean;
  readonly usage: Usage | undefined;
}

/** Parses the data of one server-sent event; `undefined` when malformed. */
export function parseCompletionChunk(
  data: string,
): CompletionChunk | undefined {
  const parsed = CHUNK.safeParse(parseJson(data));
  if (!parsed.success) return undefined;
  const chunk = parsed.data;
  const choice = chunk.choices[0];
  const text = choice?.delta.content ?? "";
  return {
    id: chunk.id,
    offset: chunk.offset,
    tokens: chunk.tokens ?? (text === "" ? 0 : 1),
    text,
    finished: typeof choice?.finish_reason === "string",
    usage: chunk.usage ? mapUsage(chunk.usage) : undefined,
  };
}

type WireUsage = NonNullable<z.infer<typeof CHUNK>["usage"]>;

function mapUsage(usage: WireUsage): Usage {
  return {
    promptTokens: usage.prompt_tokens,
    cachedTokens: usage.prompt_tokens_details?.cached_tokens ?? 0,
    completionTokens: usage.completion_tokens,
  };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
