/**
 * Reads JSON documents and validates them against a schema.
 */
import {
  createFailure,
  type Failure,
  type ResultCodeName,
} from "@camphorlock/codes";
import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";
import type { PeerConnection } from "./peer_connection.ts";
import {
  type BufferedResponse,
  runBufferedExchange,
} from "./buffered_response.ts";

const READ_TIMEOUT_MS = 3_000;
const MAX_DOCUMENT_BYTES = 8 * 1024 * 1024;
const STATUS_OK = 200;

/** The document to read, and the result code of a failure. */
export interface ReadJsonOptions<T> {
  readonly path: string;
  readonly schema: z.ZodType<T>;
  /** The result code for a missing or invalid response. */
  readonly failure: ResultCodeName;
}

/** Reads a document. Fails with the result code of the options. */
export async function readJson<T>(
  connection: PeerConnection,
  options: ReadJsonOptions<T>,
): Promise<Result<T, Failure>> {
  const response = await runBufferedExchange(
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
  return decodeJson(response, options);
}

/** Parses JSON; `undefined` if the bytes aren't valid JSON. */
export function parseJson(body: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(body).toString("utf8"));
  } catch {
    return undefined;
  }
}

function decodeJson<T>(
  response: BufferedResponse,
  options: ReadJsonOptions<T>,
): Result<T, Failure> {
  if (response.kind !== "answered") {
    return buildFailure(options, response.detail);
  }
  if (response.status !== STATUS_OK) {
    return buildFailure(options, `status ${response.status}`);
  }
  const parsed = options.schema.safeParse(parseJson(response.body));
  if (!parsed.success) return buildFailure(options, parsed.error.message);
  return ok(parsed.data);
}

function buildFailure<T>(
  options: ReadJsonOptions<T>,
  detail: string,
): Result<T, Failure> {
  return err(createFailure(options.failure, `${options.path}: ${detail}`));
}
