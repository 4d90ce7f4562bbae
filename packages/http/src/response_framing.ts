/**
 * What frames the body of a response: whether its end is marked, and how much
 * there may be beside it.
 */
import type { PeerHeaders } from "./peer_connection.ts";

/**
 * Bytes of a response beside its body: its head, and what frames the body. A
 * peer that fails may send such bytes without end.
 */
const MAX_FRAMING_BYTES = 262_144;
/** Framing of the smallest chunks, for each byte of the body. */
const FRAMING_PER_BODY_BYTE = 8;
/**
 * Whether the end of a response's body is marked in the response itself. One
 * that isn't looks complete wherever an orderly end cuts it.
 */
export function isDelimited(status: number, headers: PeerHeaders): boolean {
  if (status === 204 || status === 304) return true;
  return headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined;
}

/** Whether a response has too many bytes that aren't part of its body. */
export function isFramingExcessive(bytes: number, bodyBytes: number): boolean {
  const allowedBytes = MAX_FRAMING_BYTES + bodyBytes * FRAMING_PER_BODY_BYTE;
  return bytes - bodyBytes > allowedBytes;
}
