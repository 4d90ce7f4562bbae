/**
 * Digests and ids of calls, and digests of their text.
 */
import { createHash } from "node:crypto";
import type { Call, ProgramId } from "@camphorlock/types";

const KEY_DIGITS = 16;

/** Computes the SHA-256 of a text as UTF-8, in hexadecimal. */
export function computeDigest(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}

/** Computes the digest of a call, to detect a reused idempotency key. */
export function computeCallDigest(call: Call): string {
  return computeDigest(JSON.stringify(call));
}

/**
 * Builds the id of a call from its program, key and run number.
 *
 * A key that is reused after its call ended as not run gets another number.
 */
export function buildCallId(
  programId: ProgramId,
  key: string,
  run: number,
): string {
  const digest = computeDigest(key).slice(0, KEY_DIGITS);
  return `${programId}.${digest}.${run}`;
}
