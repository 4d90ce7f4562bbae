/**
 * The routes of the HTTP API for callers.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import type {
  Call,
  CallerRequest,
  ProgramId,
  ProgramSpec,
} from "@camphorlock/types";
import { type Context, Hono } from "hono";
import { bodyLimit } from "hono/body-limit";
import { err, ok, Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import type { z } from "zod";
import { createChatFormat, renderChatCompletion } from "./chat.ts";
import type { CallerPort } from "./port.ts";
import {
  buildErrorResponse,
  buildOutcomeResponse,
  renderHistoryItem,
  renderProgram,
} from "./respond.ts";
import {
  callBody,
  chatBody,
  getMaxTokens,
  operateBody,
  programBody,
  validateBody,
} from "./schema.ts";
import {
  CALL_STREAM_FORMAT,
  type CallerSubmission,
  type FinalPart,
  runBuffered,
  runStreamed,
} from "./submit.ts";

/** The largest accepted request body, in bytes. */
export const MAX_BODY_BYTES = 4 * 1024 * 1024;

const IDEMPOTENCY_KEY_PATTERN = /^[\x21-\x7e]{1,200}$/;

/** Creates the caller API of a node. */
export function createCallerApp(port: CallerPort): Hono {
  const app = new Hono();
  app.use(bodyLimit({
    maxSize: MAX_BODY_BYTES,
    onError(context): Response {
      const detail = `the body is over ${MAX_BODY_BYTES} bytes`;
      return buildErrorResponse(context, createFailure("BodyTooLarge", detail));
    },
  }));
  app.get("/healthz", (context) => checkHealth(context, port));
  app.get("/metrics", (context) => context.text(port.renderMetrics()));
  addProgramRoutes(app, port);
  addCallRoutes(app, port);
  app.post("/v1/operate", (context) => runStatement(context, port));
  app.notFound((context) => {
    const detail = `${context.req.method} ${context.req.path}`;
    return buildErrorResponse(context, createFailure("PathUnknown", detail));
  });
  app.onError((error, context) => {
    return buildErrorResponse(
      context,
      createFailure("Internal", error.message),
    );
  });
  return app;
}

function addProgramRoutes(app: Hono, port: CallerPort): void {
  app.post("/v1/programs", (context) => createProgram(context, port));
  app.get("/v1/programs/:id", (context) => {
    const programId = context.req.param("id");
    return handleRequest(context, port, { kind: "show_program", programId });
  });
  app.get("/v1/programs/:id/history", (context) => {
    const programId = context.req.param("id");
    return handleRequest(context, port, { kind: "read_history", programId });
  });
  app.delete("/v1/programs/:id", (context) => {
    const programId = context.req.param("id");
    return handleRequest(context, port, { kind: "end_program", programId });
  });
}

function addCallRoutes(app: Hono, port: CallerPort): void {
  app.post("/v1/programs/:id/calls", (context) => {
    return runCall(context, port, context.req.param("id"));
  });
  app.get("/v1/programs/:id/calls/:key", (context) => {
    const programId = context.req.param("id");
    const key = context.req.param("key");
    return handleRequest(context, port, { kind: "show_call", programId, key });
  });
  app.post("/v1/chat/completions", (context) => runChat(context, port));
}

function checkHealth(context: Context, port: CallerPort): Response {
  const ready = port.checkReady();
  if (ready.isErr()) return buildErrorResponse(context, ready.error);
  return context.json({ status: "ready" });
}

async function createProgram(
  context: Context,
  port: CallerPort,
): Promise<Response> {
  const key = readIdempotencyKey(context);
  if (key.isErr()) return buildErrorResponse(context, key.error);
  const body = await readBody(context, programBody);
  if (body.isErr()) return buildErrorResponse(context, body.error);
  const { partner, parent } = body.value;
  const programId = port.createProgramId({
    partner,
    ...(parent === undefined ? {} : { parentId: parent }),
    ...(key.value === undefined ? {} : { key: key.value }),
  });
  if (programId.isErr()) return buildErrorResponse(context, programId.error);
  const spec = buildProgramSpec(programId.value, body.value);
  return handleRequest(context, port, { kind: "create_program", spec });
}

function buildProgramSpec(
  programId: ProgramId,
  body: z.infer<typeof programBody>,
): ProgramSpec {
  return {
    programId,
    partner: body.partner,
    agent: body.agent,
    programClass: body.class,
    budgetMicros: body.budget_micros,
    parallel: body.parallel,
    ...(body.team === undefined ? {} : { team: body.team }),
    ...(body.parent === undefined ? {} : { parentId: body.parent }),
    ...(body.deadline_at_ms === undefined
      ? {}
      : { deadlineAtMs: body.deadline_at_ms }),
  };
}

async function runCall(
  context: Context,
  port: CallerPort,
  programId: ProgramId,
): Promise<Response> {
  const body = await readBody(context, callBody);
  if (body.isErr()) return buildErrorResponse(context, body.error);
  const call = buildCall(body.value);
  const submission = buildSubmission(context, programId, call);
  if (submission.isErr()) return buildErrorResponse(context, submission.error);
  if (body.value.stream) {
    return runStreamed(context, port, {
      submission: submission.value,
      format: CALL_STREAM_FORMAT,
    });
  }
  const finalPart = await runBuffered(port, submission.value);
  return buildFinalResponse(context, finalPart);
}

async function runChat(context: Context, port: CallerPort): Promise<Response> {
  const programId = context.req.header("Camphorlock-Program");
  if (programId === undefined) {
    const detail = "the Camphorlock-Program header is missing";
    return buildErrorResponse(context, createFailure("HeaderInvalid", detail));
  }
  const body = await readBody(context, chatBody);
  if (body.isErr()) return buildErrorResponse(context, body.error);
  const { model, messages, stream } = body.value;
  const maxTokens = getMaxTokens(body.value);
  const call: Call = { kind: "model", model, messages, maxTokens };
  const submission = buildSubmission(context, programId, call);
  if (submission.isErr()) return buildErrorResponse(context, submission.error);
  if (stream) {
    const format = createChatFormat(model);
    const options = { submission: submission.value, format };
    return runStreamed(context, port, options);
  }
  const finalPart = await runBuffered(port, submission.value);
  if (
    finalPart.kind === "outcome" && finalPart.outcome.status === "completed"
  ) {
    return context.json(
      renderChatCompletion(model, finalPart.callId, finalPart.outcome),
    );
  }
  return buildFinalResponse(context, finalPart);
}

function buildCall(body: z.infer<typeof callBody>): Call {
  if (body.kind === "model") {
    const { kind, model, messages, max_tokens } = body;
    return { kind, model, messages, maxTokens: max_tokens };
  }
  const { kind, service, operation, idempotent } = body;
  const text = JSON.stringify(body.body ?? null);
  return { kind, service, operation, body: text, idempotent };
}

function buildSubmission(
  context: Context,
  programId: ProgramId,
  call: Call,
): Result<CallerSubmission, Failure> {
  const key = readIdempotencyKey(context);
  if (key.isErr()) return err(key.error);
  const offset = readResumeOffset(context);
  if (offset.isErr()) return err(offset.error);
  return ok({
    request: {
      kind: "run_call",
      programId,
      key: key.value ?? randomUUID(),
      call,
      fromOffset: offset.value,
    },
    mayBeRepeat: key.value !== undefined,
  });
}

async function handleRequest(
  context: Context,
  port: CallerPort,
  request: CallerRequest,
): Promise<Response> {
  const finalPart = await runBuffered(port, { request, mayBeRepeat: true });
  return buildFinalResponse(context, finalPart);
}

function buildFinalResponse(context: Context, finalPart: FinalPart): Response {
  switch (finalPart.kind) {
    case "program":
      return context.json(renderProgram(finalPart.program));
    case "outcome":
      return buildOutcomeResponse(context, finalPart.callId, finalPart.outcome);
    case "running":
      return context.json({ status: "running", call: finalPart.callId }, 202);
    case "history": {
      const calls = finalPart.items.map(renderHistoryItem);
      return context.json({ program: finalPart.programId, calls });
    }
    case "refused":
      return buildErrorResponse(context, finalPart.failure);
  }
}

async function runStatement(
  context: Context,
  port: CallerPort,
): Promise<Response> {
  const body = await readBody(context, operateBody);
  if (body.isErr()) return buildErrorResponse(context, body.error);
  const result = await port.operate(body.value);
  if (result.isErr()) return buildErrorResponse(context, result.error);
  return context.json(result.value);
}

async function readBody<Body>(
  context: Context,
  schema: z.ZodType<Body>,
): Promise<Result<Body, Failure>> {
  const text = await context.req.text();
  return parseJson(text).andThen((body) => validateBody(schema, body));
}

const parseJson = Result.fromThrowable(
  (text: string): unknown => JSON.parse(text),
  (error) => createFailure("BodyInvalid", String(error)),
);

function readIdempotencyKey(
  context: Context,
): Result<string | undefined, Failure> {
  const key = context.req.header("Idempotency-Key");
  if (key === undefined || IDEMPOTENCY_KEY_PATTERN.test(key)) return ok(key);
  const detail = "Idempotency-Key must be 1 to 200 visible ASCII characters";
  return err(createFailure("HeaderInvalid", detail));
}

function readResumeOffset(context: Context): Result<number, Failure> {
  const text = context.req.header("Last-Event-ID") ??
    context.req.query("from_offset") ?? "0";
  const offset = Number(text);
  if (Number.isSafeInteger(offset) && offset >= 0) return ok(offset);
  const detail = "the resume offset must be a non-negative integer";
  return err(createFailure("HeaderInvalid", detail));
}
