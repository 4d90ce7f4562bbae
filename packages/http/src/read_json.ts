/**
 * Reads of JSON documents that a schema checks.
 */
import {
  createFailure,
  type Failure,
  type ResultCodeName,
} from "@camphorlock/codes";
import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";
import type { PeerConnection } from "./peer_connection.ts";
import { runWhole, type WholeAnswer } from "./whole_answer.ts";

const READ_TIMEOUT_MS = 3_000;
const MAX_DOCUMENT_BYTES = 8 * 1024 * 1024;
const STATUS_OK = 200;

/** What to read, and how failures are named. */
export interface ReadJsonOptions<T> {
  readonly path: string;
  readonly schema: z.ZodType<T>;
  /** The result code of a peer that doesn't answer as it should. */
  readonly failure: ResultCodeName;
}

/** Reads a document. Fails with the code that the options name. */
export async function readJson<T>(
  connection: PeerConnection,
  options: ReadJsonOptions<T>,
): Promise<Result<T, Failure>> {
  const answer = await runWhole(
    connection,
    {
      method: "GET",
      path: options.path,
      headers: { accept: "application/json" },
      silenceTimeoutMs: READ_TIMEOUT_MS,
      freshConnection: false,
    },
    { totalTimeoutMs: READ_TIMEOUT_MS, maxBytes: MAX_DOCUMENT_BYTES },
  );
  return decodeJson(answer, options);
}

/** Parses JSON; `undefined` when the bytes aren't. */
export function parseJson(body: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(body).toString("utf8"));
  } catch {
    return undefined;
  }
}

function decodeJson<T>(
  answer: WholeAnswer,
  options: ReadJsonOptions<T>,
): Result<T, Failure> {
  if (answer.kind !== "answered") {
    return buildFailure(options, answer.detail);
  }
  if (answer.status !== STATUS_OK) {
    return buildFailure(options, `status ${answer.status}`);
  }
  const parsed = options.schema.safeParse(parseJson(answer.body));
  if (!parsed.success) return buildFailure(options, parsed.error.message);
  return ok(parsed.data);
}

function buildFailure<T>(
  options: ReadJsonOptions<T>,
  detail: string,
): Result<T, Failure> {
  return err(createFailure(options.failure, `${options.path}: ${detail}`));
}
