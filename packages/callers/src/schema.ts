/**
 * The schemas of request bodies. Each body is validated before it is used.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import { PARTNERS, PROGRAM_CLASSES } from "@camphorlock/types";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";

const MAX_NAME_LENGTH = 200;
const MAX_TOKENS = 1_000_000;
const MAX_MESSAGES = 4_096;
const DEFAULT_MAX_TOKENS = 1_024;

const name = z.string().min(1).max(MAX_NAME_LENGTH);

const chatMessage = z.strictObject({
  role: z.enum(["system", "user", "assistant", "tool"]),
  content: z.string(),
});

/** The body of a request that creates a program. */
export const programBody = z.strictObject({
  partner: z.enum(PARTNERS),
  agent: name,
  team: name.optional(),
  class: z.enum(PROGRAM_CLASSES).default("standard"),
  budget_micros: z.number().int().nonnegative().max(Number.MAX_SAFE_INTEGER),
  parent: z.string().optional(),
  parallel: z.boolean().default(false),
  deadline_at_ms: z.number().int().positive().optional(),
});

const modelCallBody = z.strictObject({
  kind: z.literal("model"),
  model: name,
  messages: z.array(chatMessage).min(1).max(MAX_MESSAGES),
  max_tokens: z.number().int().min(1).max(MAX_TOKENS)
    .default(DEFAULT_MAX_TOKENS),
  stream: z.boolean().default(false),
});

const serviceCallBody = z.strictObject({
  kind: z.literal("service"),
  service: name,
  operation: name,
  body: z.unknown().optional(),
  idempotent: z.boolean().default(false),
  stream: z.boolean().default(false),
});

/** The body of a request that runs a call of a program. */
export const callBody = z.discriminatedUnion("kind", [
  modelCallBody,
  serviceCallBody,
]);

/** The body of a chat-completions request. Unknown options are ignored. */
export const chatBody = z.object({
  model: name,
  messages: z.array(chatMessage).min(1).max(MAX_MESSAGES),
  max_tokens: z.number().int().min(1).max(MAX_TOKENS).optional(),
  max_completion_tokens: z.number().int().min(1).max(MAX_TOKENS).optional(),
  stream: z.boolean().default(false),
});

/** The body of an operator's statement. */
export const operateBody = z.strictObject({
  statement: z.string().min(1).max(10_000),
  by: name,
});

/** Validates a parsed body; the failure lists each invalid path. */
export function validateBody<Body>(
  schema: z.ZodType<Body>,
  body: unknown,
): Result<Body, Failure> {
  const parsed = schema.safeParse(body);
  if (parsed.success) return ok(parsed.data);
  const detail = parsed.error.issues.map(formatIssue).join("; ");
  return err(createFailure("BodyInvalid", detail));
}

function formatIssue(issue: z.core.$ZodIssue): string {
  const path = issue.path.join(".");
  return path === "" ? issue.message : `${path}: ${issue.message}`;
}

/** Gets the maximum number of output tokens of a chat request. */
export function getMaxTokens(body: z.infer<typeof chatBody>): number {
  return body.max_completion_tokens ?? body.max_tokens ?? DEFAULT_MAX_TOKENS;
}
