/**
 * Moves of a program's KV cache between engines.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import type { ProgramId } from "@camphorlock/types";
import {
  type PeerConnection,
  runWhole,
  type WholeAnswer,
} from "@camphorlock/http";
import { err, ok, type Result } from "neverthrow";

const MOVE_TIMEOUT_MS = 60_000;
const MOVE_SILENCE_MS = 5_000;
const MAX_MEMORY_BYTES = 256 * 1024 * 1024;
const MEMORY_LIMITS = {
  totalTimeoutMs: MOVE_TIMEOUT_MS,
  maxBytes: MAX_MEMORY_BYTES,
};

/** Reads a program's KV cache. Fails with `TargetBroken`/`TargetRejected`. */
export async function readMemory(
  connection: PeerConnection,
  programId: ProgramId,
): Promise<Result<Uint8Array, Failure>> {
  const answer = await runWhole(
    connection,
    { ...buildMoveRequest(programId), method: "GET" },
    MEMORY_LIMITS,
  );
  return decodeMove(answer);
}

/** Writes a program's KV cache. Fails with `TargetBroken`/`TargetRejected`. */
export async function writeMemory(
  connection: PeerConnection,
  memory: { readonly programId: ProgramId; readonly bytes: Uint8Array },
): Promise<Result<Uint8Array, Failure>> {
  const answer = await runWhole(
    connection,
    {
      ...buildMoveRequest(memory.programId),
      method: "PUT",
      body: memory.bytes,
    },
    MEMORY_LIMITS,
  );
  return decodeMove(answer);
}

function buildMoveRequest(programId: ProgramId): {
  readonly path: string;
  readonly headers: Record<string, string>;
  readonly silenceTimeoutMs: number;
  readonly freshConnection: boolean;
} {
  return {
    path: `/v1/programs/${encodeURIComponent(programId)}/kv`,
    headers: { "content-type": "application/octet-stream" },
    silenceTimeoutMs: MOVE_SILENCE_MS,
    freshConnection: true,
  };
}

function decodeMove(answer: WholeAnswer): Result<Uint8Array, Failure> {
  if (answer.kind !== "answered") {
    return err(createFailure("TargetBroken", answer.detail));
  }
  if (answer.status < 200 || answer.status >= 300) {
    const detail = `status ${answer.status} to a KV cache move`;
    return err(createFailure("TargetRejected", detail));
  }
  return ok(answer.body);
}
