/**
 * Transfers of a program's KV cache between engines.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import type { ProgramId } from "@camphorlock/types";
import {
  type BufferedResponse,
  type PeerConnection,
  runBufferedExchange,
} from "@camphorlock/http";
import { err, ok, type Result } from "neverthrow";

const TRANSFER_TIMEOUT_MS = 60_000;
const TRANSFER_SILENCE_TIMEOUT_MS = 5_000;
const MAX_KV_CACHE_BYTES = 256 * 1024 * 1024;
const TRANSFER_LIMITS = {
  totalTimeoutMs: TRANSFER_TIMEOUT_MS,
  maxBytes: MAX_KV_CACHE_BYTES,
};

/** Reads a program's KV cache. Fails with `TargetBroken`/`TargetRejected`. */
export async function readKvCache(
  connection: PeerConnection,
  programId: ProgramId,
): Promise<Result<Uint8Array, Failure>> {
  const response = await runBufferedExchange(
    connection,
    { ...buildTransferRequest(programId), method: "GET" },
    TRANSFER_LIMITS,
  );
  return decodeTransferResponse(response);
}

/** Writes a program's KV cache. Fails with `TargetBroken`/`TargetRejected`. */
export async function writeKvCache(
  connection: PeerConnection,
  memory: { readonly programId: ProgramId; readonly bytes: Uint8Array },
): Promise<Result<Uint8Array, Failure>> {
  const response = await runBufferedExchange(
    connection,
    {
      ...buildTransferRequest(memory.programId),
      method: "PUT",
      body: memory.bytes,
    },
    TRANSFER_LIMITS,
  );
  return decodeTransferResponse(response);
}

function buildTransferRequest(programId: ProgramId): {
  readonly path: string;
  readonly headers: Record<string, string>;
  readonly silenceTimeoutMs: number;
  readonly freshConnection: boolean;
} {
  return {
    path: `/v1/programs/${encodeURIComponent(programId)}/kv`,
    headers: { "content-type": "application/octet-stream" },
    silenceTimeoutMs: TRANSFER_SILENCE_TIMEOUT_MS,
    freshConnection: true,
  };
}

function decodeTransferResponse(
  response: BufferedResponse,
): Result<Uint8Array, Failure> {
  if (response.kind !== "answered") {
    return err(createFailure("TargetBroken", response.detail));
  }
  if (response.status < 200 || response.status >= 300) {
    const detail = `status ${response.status} to a KV cache transfer`;
    return err(createFailure("TargetRejected", detail));
  }
  return ok(response.body);
}
