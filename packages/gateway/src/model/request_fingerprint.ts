/**
 * Identifies what a request asks for, whoever sends it and however often: a
 * digest of its method, host, path and body. Ids, deadlines and other headers
 * differ between the attempts at one piece of work, so they don't count.
 */
import { createHash } from "node:crypto";

/** Characters of a fingerprint; 132 bits, so that no two requests share one. */
const FINGERPRINT_LENGTH = 22;

/** The parts of a request that make up its fingerprint. */
export interface FingerprintParts {
  readonly method: string | undefined;
  readonly host: string | undefined;
  readonly url: string | undefined;
  readonly body: Uint8Array;
}

/** Computes the fingerprint of a request. */
export function computeFingerprint(
  { method = "", host = "", url = "", body }: FingerprintParts,
): string {
  return createHash("sha256")
    // No part contains a line break, so that the parts can't be shifted.
    .update(`${method}\n${host.toLowerCase()}\n${url}\n`)
    .update(body)
    .digest("base64url")
    .slice(0, FINGERPRINT_LENGTH);
}
